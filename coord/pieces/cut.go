package pieces

import (
	"encoding/binary"

	"github.com/juju/errors"
)

// Bounds of a piece of elements, in bytes before compression. With elements of 200 to 300
// bytes a piece contains some tens of them and is sent as one short message, and the digests
// of a manifest are a few thousandths of the document.
const (
	minElementPieceBytes = 4 << 10
	maxElementPieceBytes = 16 << 10
	// cutDivisor is how many elements beyond minElementPieceBytes a piece contains on
	// average.
	cutDivisor = 8
	// outerPieceBytes is the length of the pieces outside the elements.
	outerPieceBytes = 8 << 10
)

// Layout gives the offsets of a document's elements, in bytes.
type Layout struct {
	// Start is where the first element begins; Ends are where each one ends, including the
	// separator before the next one. Without Ends the document has no elements.
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
		return errors.NotValidf("elements from %d to %d in a document of %d bytes", l.Start, last, length)
	}
	return nil
}

// Document is a document in packed pieces, in the order of the manifest. It must not be
// changed in place.
type Document struct {
	Manifest Manifest `cbor:"1,keyasint"`
	Packed   [][]byte `cbor:"2,keyasint"`
}

// Source is a document in pieces that are not packed.
type Source struct {
	Manifest Manifest
	raw      [][]byte
}

// Cut cuts a document into pieces. If elements are added, changed or removed, the pieces that
// contain none of them and do not adjoin theirs stay the same, as a rule. The Source refers
// to the bytes of document, which must not be changed. Cut returns an error if the layout
// does not fit the document.
func Cut(document []byte, l Layout) (*Source, error) {
	if err := l.check(len(document)); err != nil {
		return nil, err
	}
	s := &Source{Manifest: Manifest{Bytes: len(document)}}
	if len(l.Ends) == 0 {
		s.cutOuter(document)
		s.Manifest.Head = len(s.raw)
		return s, nil
	}
	s.cutOuter(document[:l.Start])
	s.Manifest.Head = len(s.raw)
	s.cutElements(document, l)
	before := len(s.raw)
	s.cutOuter(document[l.Ends[len(l.Ends)-1]:])
	s.Manifest.Tail = len(s.raw) - before
	return s, nil
}

func (s *Source) add(raw []byte) {
	s.raw = append(s.raw, raw)
	s.Manifest.Digests = append(s.Manifest.Digests, DigestOf(raw))
}

func (s *Source) cutOuter(part []byte) {
	for len(part) > 0 {
		n := min(len(part), outerPieceBytes)
		s.add(part[:n])
		part = part[n:]
	}
}

// cutElements ends a piece of at least minElementPieceBytes after an element whose digest is
// divisible by cutDivisor, whatever precedes that element, and ends a piece before an element
// that would make it longer than maxElementPieceBytes.
func (s *Source) cutElements(document []byte, l Layout) {
	begin, last := l.Start, l.Start
	for _, end := range l.Ends {
		if end-begin > maxElementPieceBytes && last > begin {
			s.add(document[begin:last])
			begin = last
		}
		digest := DigestOf(document[last:end])
		if end-begin >= minElementPieceBytes && binary.BigEndian.Uint64(digest[:])%cutDivisor == 0 {
			s.add(document[begin:end])
			begin = end
		}
		last = end
	}
	if last > begin {
		s.add(document[begin:last])
	}
}

// Pack returns the document with all pieces packed.
func (s *Source) Pack() *Document {
	d := &Document{Manifest: s.Manifest, Packed: make([][]byte, 0, len(s.raw))}
	for _, raw := range s.raw {
		d.Packed = append(d.Packed, Pack(raw))
	}
	return d
}

// PackPieces returns the wanted pieces, packed, each once, in document order.
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

// Join returns the whole document. The error wraps ErrDamaged.
func (d *Document) Join() ([]byte, error) {
	if len(d.Packed) != len(d.Manifest.Digests) {
		return nil, errors.Annotatef(ErrDamaged, "%d pieces instead of %d", len(d.Packed), len(d.Manifest.Digests))
	}
	out := make([]byte, 0, d.Manifest.Bytes)
	for k, packed := range d.Packed {
		raw, digest, err := Unpack(packed)
		if err != nil {
			return nil, err
		}
		if digest != d.Manifest.Digests[k] {
			return nil, errors.Annotatef(ErrDamaged, "piece %s instead of %s", digest, d.Manifest.Digests[k])
		}
		out = append(out, raw...)
	}
	return out, nil
}

// ByDigest returns the packed pieces by their digests.
func (d *Document) ByDigest() map[Digest][]byte {
	out := make(map[Digest][]byte, len(d.Packed))
	for k, packed := range d.Packed {
		out[d.Manifest.Digests[k]] = packed
	}
	return out
}
