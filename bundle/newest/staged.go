package newest

import (
	"github.com/gullhaven/gullhaven/coord/pieces"
)

// maxStagedBytes bounds the packed size of the pieces that wait for an offer. It is twice the
// longest configuration, if that can't be compressed.
const maxStagedBytes = 8 << 20

// staged holds pieces of configurations that were not offered yet, oldest first. They stay if an
// offer is late or is retried; newer pieces displace those that are never offered.
type staged struct {
	list  []stagedPiece
	bytes int
}

type stagedPiece struct {
	digest pieces.Digest
	packed []byte
}

// add adds pieces. It skips one that can't be unpacked: all members skip it alike, and the
// result of its offer lists it as missing. Beyond maxStagedBytes it removes the oldest pieces.
func (s *staged) add(packed [][]byte) {
	known := make(map[pieces.Digest]bool, len(s.list))
	for _, p := range s.list {
		known[p.digest] = true
	}
	for _, p := range packed {
		_, digest, err := pieces.Unpack(p)
		if err != nil || known[digest] {
			continue
		}
		known[digest] = true
		s.list = append(s.list, stagedPiece{digest, p})
		s.bytes += len(p)
	}
	for s.bytes > maxStagedBytes {
		s.bytes -= len(s.list[0].packed)
		s.list = s.list[1:]
	}
}

// remove removes pieces that are part of a configuration now.
func (s *staged) remove(digests []pieces.Digest) {
	used := make(map[pieces.Digest]bool, len(digests))
	for _, d := range digests {
		used[d] = true
	}
	var kept staged
	for _, p := range s.list {
		if !used[p.digest] {
			kept.list = append(kept.list, p)
			kept.bytes += len(p.packed)
		}
	}
	*s = kept
}

func (s *staged) packed() [][]byte {
	out := make([][]byte, 0, len(s.list))
	for _, p := range s.list {
		out = append(out, p.packed)
	}
	return out
}
