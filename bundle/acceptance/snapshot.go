package acceptance

import (
	"bytes"
	"crypto/sha256"

	"github.com/juju/errors"

	"github.com/gullhaven/gullhaven/bundle"
)

// snapshot is the encoded form of a machine's whole state.
type snapshot struct {
	Applied uint64         `json:"applied"`
	History bundle.History `json:"history"`
	// Bundle is the one in force and Signatures its sign-offs; empty before the first.
	Bundle     []byte             `json:"bundle,omitempty"`
	Signatures []bundle.Signature `json:"signatures,omitempty"`
}

// Snapshot encodes the whole state, preceded by its SHA-256 sum.
func (m *Machine) Snapshot() ([]byte, error) {
	s := snapshot{Applied: m.applied}
	if m.accepted != nil {
		whole, err := m.current.Bundle.MarshalBinary()
		if err != nil {
			return nil, err
		}
		s.History = m.accepted.History
		s.Bundle = whole
		s.Signatures = m.current.Signatures
	}
	data, err := codec.Marshal(s)
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(data)
	return append(sum[:], data...), nil
}

// verifySum verifies the sum of a snapshot and returns the content.
func verifySum(data []byte) ([]byte, error) {
	if len(data) < sha256.Size {
		return nil, errors.Annotatef(ErrSnapshot, "only %d bytes", len(data))
	}
	content := data[sha256.Size:]
	if sum := sha256.Sum256(content); !bytes.Equal(sum[:], data[:sha256.Size]) {
		return nil, errors.Annotate(ErrSnapshot, "the sum differs")
	}
	return content, nil
}

// damaged wraps an error so that it is an ErrSnapshot.
func damaged(err error) error {
	return errors.Annotate(errors.WithType(err, ErrSnapshot), string(ErrSnapshot))
}

// Restore makes a machine from a snapshot. The error for a damaged one wraps
// ErrSnapshot; damage never results in another bundle in force.
func Restore(data []byte) (*Machine, error) {
	content, err := verifySum(data)
	if err != nil {
		return nil, err
	}
	var s snapshot
	if err := reader.Unmarshal(content, &s); err != nil {
		return nil, damaged(err)
	}
	m := &Machine{applied: s.Applied}
	if err := s.History.Check(); err != nil {
		return nil, damaged(err)
	}
	if len(s.History.Sums) == 0 {
		return m, nil
	}
	current := &bundle.Signed{Signatures: s.Signatures}
	if err := current.Bundle.UnmarshalBinary(s.Bundle); err != nil {
		return nil, damaged(err)
	}
	id, err := current.Bundle.Identity()
	if err != nil {
		return nil, damaged(err)
	}
	version, digest := s.History.Last()
	if id.Version != version || id.Digest != digest {
		return nil, errors.Annotatef(ErrSnapshot, "it holds version %d, but its history ends with %d", id.Version, version)
	}
	m.accepted = &bundle.AcceptanceState{Trust: current.Bundle.NextTrust(), History: s.History}
	m.current = current
	return m, nil
}
