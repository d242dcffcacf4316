package newest

import (
	"github.com/gullhaven/gullhaven/coord/pieces"
)

// maxStaged bounds the pieces that wait for an offer, in bytes as they are packed: twice the
// longest configuration that cannot be compressed.
const maxStaged = 8 << 20

// staged are pieces of configurations that were not offered yet, oldest first. They stay
// where an offer comes late or is made again; those that nobody offers give way to newer ones.
type staged struct {
	list  []stagedPiece
	bytes int
}

type stagedPiece struct {
	digest pieces.Digest
	packed []byte
}

// add takes in pieces. One that cannot be read is left out: all members leave it out alike,
// and its offer tells that it is missing.
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
	for s.bytes > maxStaged {
		s.bytes -= len(s.list[0].packed)
		s.list = s.list[1:]
	}
}

// drop forgets pieces that stand in a configuration now.
func (s *staged) drop(digests []pieces.Digest) {
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
