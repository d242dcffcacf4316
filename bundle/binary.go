package bundle

import (
	"github.com/juju/errors"
)

// MarshalBinary encodes the whole bundle in canonical CBOR, for the replicated log
// and for snapshots.
func (b *Bundle) MarshalBinary() ([]byte, error) {
	return canonicalMode.Marshal((*plainBundle)(b))
}

// UnmarshalBinary decodes what MarshalBinary returned. The error wraps ErrDamaged.
func (b *Bundle) UnmarshalBinary(data []byte) error {
	if len(data) > MaxBytes {
		return damaged(errors.Errorf("%d bytes are too many", len(data)))
	}
	var fresh plainBundle
	if err := sectionReader.Unmarshal(data, &fresh); err != nil {
		return damaged(err)
	}
	*b = Bundle(fresh)
	return nil
}

// plainBundle has no methods, so that the codec doesn't call them recursively.
type plainBundle Bundle
