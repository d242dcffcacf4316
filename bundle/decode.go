package bundle

import (
	"encoding/json"
	"slices"

	"github.com/gullhaven/gullhaven/bundle/strict"
)

// MaxBytes bounds a bundle document: about ten times one with 10,000
// workspaces and 690 targets.
const MaxBytes = 64 << 20

// Problem is one fault at one path of a bundle.
type Problem = strict.Problem

// Problems are all faults of a bundle; it is the error type of Decode.
type Problems = strict.Problems

// Decode reads a bundle from JSON. Unknown, repeated and wrongly typed fields
// are errors; the error is of type Problems and names all of them. It does not
// Check.
func Decode(data []byte) (*Bundle, error) {
	b := new(Bundle)
	if err := decode(data, b); err != nil {
		return nil, err
	}
	return b, nil
}

// DecodeSigned reads a signed bundle from JSON, like Decode.
func DecodeSigned(data []byte) (*Signed, error) {
	s := new(Signed)
	if err := decode(data, s); err != nil {
		return nil, err
	}
	return s, nil
}

// decode reads a document of bounded size.
func decode(data []byte, into any) error {
	if len(data) > MaxBytes {
		return Problems{{Message: "larger than a bundle may be"}}
	}
	return strict.Decode(data, into)
}

// Encode writes a bundle as indented JSON that Decode reads.
func Encode(b *Bundle) ([]byte, error) {
	return encode(withLists(*b))
}

// EncodeSigned writes a signed bundle as indented JSON that DecodeSigned reads.
func EncodeSigned(s *Signed) ([]byte, error) {
	return encode(Signed{Bundle: withLists(s.Bundle), Signatures: orEmpty(s.Signatures)})
}

// encode ends the document with a line feed, as files do.
func encode(document any) ([]byte, error) {
	data, err := json.MarshalIndent(document, "", "  ")
	if err != nil {
		return nil, err
	}
	return append(data, '\n'), nil
}

// withLists replaces absent lists by empty ones. The encoder would write null
// for them, which Decode refuses.
func withLists(b Bundle) Bundle {
	b.Operators = orEmpty(b.Operators)
	b.Regions = orEmpty(slices.Clone(b.Regions))
	for i := range b.Regions {
		b.Regions[i].Zones = orEmpty(b.Regions[i].Zones)
	}
	b.Models = orEmpty(slices.Clone(b.Models))
	for i := range b.Models {
		b.Models[i].Versions = orEmpty(b.Models[i].Versions)
	}
	b.Services = orEmpty(b.Services)
	b.Targets = orEmpty(b.Targets)
	b.Workspaces = orEmpty(slices.Clone(b.Workspaces))
	for i := range b.Workspaces {
		b.Workspaces[i].KeyHashes = orEmpty(b.Workspaces[i].KeyHashes)
	}
	return b
}

// orEmpty is the list, or an empty one where there is none.
func orEmpty[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}
