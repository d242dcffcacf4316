package pieces

import (
	"encoding/binary"

	"github.com/juju/errors"
)

// Bounds of a piece of elements, in bytes before compression. With elements of 200 to 300
// bytes a piece holds some tens of them and goes as one short message, and the digests of a
// manifest are a few thousandths of the document.
const (
	leastBytes = 4 << 10
	mostBytes  = 16 << 10
	// cutOneIn is how many elements beyond leastBytes stand in a piece on average.
	cutOneIn = 8
	// frameBytes is the length of a piece of what is no element.
	frameBytes = 8 << 10
)

// Layout says where a document's elements are.
type Layout struct {
	// Start is where the first one begins, Ends where each ends with what separates it from
	// the next. No Ends means that the document has none.
	Start int
	Ends  []int
}

func (l *Layout) check(length int) error {
	last := l.Start
	for _, end := range l.Ends {
		if end <= last {
			return errors.NotValidf("element that ends at %d after %d", end, last)
		}
		last = end
	}
	if l.Start < 0 || last > length {
		return errors.NotValidf("elements from %d to %d of %d bytes", l.Start, last, length)
	}
	return nil
}

// Document is a document in pieces, each packed, in the order of the manifest. It is never
// changed in place.
type Document struct {
	Manifest Manifest `cbor:"1,keyasint"`
	Packed   [][]byte `cbor:"2,keyasint"`
}

// Source is a document in pieces that are not packed yet.
type Source struct {
	Manifest Manifest
	raw      [][]byte
}

// Cut cuts a document. Where elements are added, changed or taken out, other pieces than
// theirs stay the same.
func Cut(document []byte, l Layout) (*Source, error) {
	if err := l.check(len(document)); err != nil {
		return nil, err
	}
	s := &Source{Manifest: Manifest{Bytes: len(document)}}
	if len(l.Ends) == 0 {
		s.cutFrame(document)
		s.Manifest.Head = len(s.raw)
		return s, nil
	}
	s.cutFrame(document[:l.Start])
	s.Manifest.Head = len(s.raw)
	s.cutElements(document, l)
	before := len(s.raw)
	s.cutFrame(document[l.Ends[len(l.Ends)-1]:])
	s.Manifest.Tail = len(s.raw) - before
	return s, nil
}

func (s *Source) add(raw []byte) {
	s.raw = append(s.raw, raw)
	s.Manifest.Digests = append(s.Manifest.Digests, DigestOf(raw))
}

func (s *Source) cutFrame(part []byte) {
	for len(part) > 0 {
		n := min(len(part), frameBytes)
		s.add(part[:n])
		part = part[n:]
	}
}

// cutElements ends a piece behind elements whose content says so, whatever stands before
// them.
func (s *Source) cutElements(document []byte, l Layout) {
	begin, last := l.Start, l.Start
	for _, end := range l.Ends {
		if end-begin > mostBytes && last > begin {
			s.add(document[begin:last])
			begin = last
		}
		digest := DigestOf(document[last:end])
		if end-begin >= leastBytes && binary.BigEndian.Uint64(digest[:])%cutOneIn == 0 {
			s.add(document[begin:end])
			begin = end
		}
		last = end
	}
	if last > begin {
		s.add(document[begin:last])
	}
}

// Pack packs all pieces.
func (s *Source) Pack() *Document {
	d := &Document{Manifest: s.Manifest, Packed: make([][]byte, 0, len(s.raw))}
	for _, raw := range s.raw {
		d.Packed = append(d.Packed, Pack(raw))
	}
	return d
}

// PackOf packs some of the pieces, in the order of the document.
func (s *Source) PackPieces(wanted []Digest) [][]byte {
	want := make(map[Digest]bool, len(wanted))
	for _, d := range wanted {
		want[d] = true
	}
	var out [][]byte
	for k, d := range s.Manifest.Digests {
		if want[d] {
			out = append(out, Pack(s.raw[k]))
			delete(want, d)
		}
	}
	return out
}

// Join returns the document as it was cut. The error wraps ErrDamaged.
func (d *Document) Join() ([]byte, error) {
	if len(d.Packed) != len(d.Manifest.Digests) {
		return nil, errors.Annotatef(ErrDamaged, "%d pieces of %d", len(d.Packed), len(d.Manifest.Digests))
	}
	out := make([]byte, 0, d.Manifest.Bytes)
	for k, packed := range d.Packed {
		raw, digest, err := Unpack(packed)
		if err != nil {
			return nil, err
		}
		if digest != d.Manifest.Digests[k] {
			return nil, errors.Annotatef(ErrDamaged, "%s for %s", digest, d.Manifest.Digests[k])
		}
		out = append(out, raw...)
	}
	return out, nil
}

// ByDigest finds the packed pieces.
func (d *Document) ByDigest() map[Digest][]byte {
	out := make(map[Digest][]byte, len(d.Packed))
	for k, packed := range d.Packed {
		out[d.Manifest.Digests[k]] = packed
	}
	return out
}
