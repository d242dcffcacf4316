package pieces

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/juju/errors"
)

// Manifest lists the pieces of a document in their order.
type Manifest struct {
	Digests []Digest `cbor:"1,keyasint"`
	// Head and Tail are how many pieces stand before and after those that hold whole
	// elements. All are in the head where the document has no elements.
	Head int `cbor:"2,keyasint"`
	Tail int `cbor:"3,keyasint,omitempty"`
	// Bytes is the length of the document.
	Bytes int `cbor:"4,keyasint"`
}

// Check returns an error if the manifest cannot be that of a document.
func (m *Manifest) Check() error {
	if m.Head < 0 || m.Tail < 0 || m.Bytes < 0 || m.Head+m.Tail > len(m.Digests) {
		return errors.NotValidf("manifest of %d pieces with %d before and %d behind its elements", len(m.Digests), m.Head, m.Tail)
	}
	return nil
}

// Elements are the pieces that hold whole elements.
func (m *Manifest) Elements() []Digest { return m.Digests[m.Head : len(m.Digests)-m.Tail] }

// Frame are the pieces before and after those of the elements.
func (m *Manifest) OuterPieces() (head, tail []Digest) {
	return m.Digests[:m.Head], m.Digests[len(m.Digests)-m.Tail:]
}

// Root names the document by all that its manifest says.
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

// Missing lists the pieces that are not held, each once, in the order of the document.
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

// Join puts a document together of the pieces that came and those that were held, and returns
// all of them: what is held from now on.
func (m *Manifest) Join(came, held map[Digest][]byte) (document []byte, all map[Digest][]byte) {
	document, all = make([]byte, 0, m.Bytes), make(map[Digest][]byte, len(m.Digests))
	for _, d := range m.Digests {
		raw := came[d]
		if raw == nil {
			raw = held[d]
		}
		all[d] = raw
		document = append(document, raw...)
	}
	return document, all
}
