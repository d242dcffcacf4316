package pieces

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/juju/errors"
)

// Manifest lists the pieces of a document in their order.
type Manifest struct {
	Digests []Digest `cbor:"1,keyasint"`
	// Head and Tail are the numbers of pieces before and after those that contain the
	// elements. In a document without elements all pieces are in the head.
	Head int `cbor:"2,keyasint"`
	Tail int `cbor:"3,keyasint,omitempty"`
	// Bytes is the length of the document.
	Bytes int `cbor:"4,keyasint"`
}

// Check returns an error if the manifest is inconsistent.
func (m *Manifest) Check() error {
	if m.Head < 0 || m.Tail < 0 || m.Bytes < 0 || m.Head+m.Tail > len(m.Digests) {
		return errors.NotValidf("manifest of %d pieces with %d before and %d after the elements", len(m.Digests), m.Head, m.Tail)
	}
	return nil
}

// Elements returns the digests of the pieces that contain the elements.
func (m *Manifest) Elements() []Digest { return m.Digests[m.Head : len(m.Digests)-m.Tail] }

// OuterPieces returns the digests of the pieces before and after those of the elements.
func (m *Manifest) OuterPieces() (head, tail []Digest) {
	return m.Digests[:m.Head], m.Digests[len(m.Digests)-m.Tail:]
}

// Root returns the digest of the whole manifest, which identifies the document.
func (m *Manifest) Root() Digest {
	h := sha256.New()
	for _, n := range []int{m.Head, m.Tail, m.Bytes} {
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(n)))
	}
	for _, d := range m.Digests {
		_, _ = h.Write(d[:])
	}
	return Digest(h.Sum(nil)[:len(Digest{})])
}

// Missing returns the pieces that are not held, each once, in document order.
func (m *Manifest) Missing(held func(Digest) bool) []Digest {
	var out []Digest
	seen := map[Digest]bool{}
	for _, d := range m.Digests {
		if !seen[d] && !held(d) {
			out = append(out, d)
		}
		seen[d] = true
	}
	return out
}

// Join assembles a document from received and held pieces, both unpacked. It returns the
// document and all of its pieces, which the host holds from now on. Each piece must be in one
// of the maps.
func (m *Manifest) Join(received, held map[Digest][]byte) (document []byte, all map[Digest][]byte) {
	document, all = make([]byte, 0, m.Bytes), make(map[Digest][]byte, len(m.Digests))
	for _, d := range m.Digests {
		raw := received[d]
		if raw == nil {
			raw = held[d]
		}
		all[d] = raw
		document = append(document, raw...)
	}
	return document, all
}
