package bundle

import (
	"encoding/json"
	"slices"

	"github.com/gullhaven/gullhaven/bundle/strict"
)

// MaxBytes bounds an encoded bundle. It is about ten times the size of one with
// 10,000 workspaces and 690 targets.
const MaxBytes = 64 << 20

// Problem is one problem at one path of a bundle.
type Problem = strict.Problem

// Problems are all problems of a bundle. It is the error type of Decode.
type Problems = strict.Problems

// Decode decodes a bundle from JSON. Unknown, repeated and wrongly typed fields
// are errors; the error is of type Problems and lists all of them. Decode does not
// call Check.
func Decode(data []byte) (*Bundle, error) {
	b := new(Bundle)
	if err := decode(data, b); err != nil {
		return nil, err
	}
	return b, nil
}

// DecodeSigned decodes a signed bundle from JSON, like Decode. It does not verify
// the signatures.
func DecodeSigned(data []byte) (*Signed, error) {
	s := new(Signed)
	if err := decode(data, s); err != nil {
		return nil, err
	}
	return s, nil
}

// decode decodes a document of up to MaxBytes.
func decode(data []byte, into any) error {
	if len(data) > MaxBytes {
		return Problems{{Message: "larger than a bundle may be"}}
	}
	return strict.Decode(data, into)
}

// Encode encodes a bundle as indented JSON for Decode.
func Encode(b *Bundle) ([]byte, error) {
	return encode(withLists(*b))
}

// EncodeSigned encodes a signed bundle as indented JSON for DecodeSigned.
func EncodeSigned(s *Signed) ([]byte, error) {
	return encode(Signed{Bundle: withLists(s.Bundle), Signatures: emptyIfNil(s.Signatures)})
}

// encode encodes a document as indented JSON with a final line feed.
func encode(document any) ([]byte, error) {
	data, err := json.MarshalIndent(document, "", "  ")
	if err != nil {
		return nil, err
	}
	return append(data, '\n'), nil
}

// withLists returns a copy with empty lists for nil ones, which the encoder would
// write as null and Decode would refuse.
func withLists(b Bundle) Bundle {
	b.Operators = emptyIfNil(b.Operators)
	b.Regions = emptyIfNil(slices.Clone(b.Regions))
	for i := range b.Regions {
		b.Regions[i].Zones = emptyIfNil(b.Regions[i].Zones)
	}
	b.Models = emptyIfNil(slices.Clone(b.Models))
	for i := range b.Models {
		b.Models[i].Versions = emptyIfNil(b.Models[i].Versions)
	}
	b.Services = emptyIfNil(b.Services)
	b.Targets = emptyIfNil(b.Targets)
	b.Workspaces = emptyIfNil(slices.Clone(b.Workspaces))
	for i := range b.Workspaces {
		b.Workspaces[i].KeyHashes = emptyIfNil(b.Workspaces[i].KeyHashes)
	}
	return b
}

// emptyIfNil returns list, or an empty one if it is nil.
func emptyIfNil[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}
