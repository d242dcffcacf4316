package bundle

import (
	"encoding/json"

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

// Encode writes a bundle or a signed bundle as indented JSON, for files and
// for the operators' interface.
func Encode[T Bundle | Signed](document *T) ([]byte, error) {
	data, err := json.MarshalIndent(document, "", "  ")
	if err != nil {
		return nil, err
	}
	return append(data, '\n'), nil
}
