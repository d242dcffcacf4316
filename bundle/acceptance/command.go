package acceptance

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/gullhaven/gullhaven/bundle"
)

// command is one entry of the replicated log: a signed bundle, as a delta if its
// parent is known. A whole bundle of 10,000 workspaces takes megabytes, too much
// for each of 2,500 changes a day over a slow link.
type command struct {
	Identity   bundle.Identity    `json:"id"`
	Signatures []bundle.Signature `json:"signatures"`
	// Delta turns the parent into the bundle; empty if Whole is set.
	Delta []byte `json:"delta,omitempty"`
	Whole []byte `json:"whole,omitempty"`
}

// codec encodes commands and snapshots deterministically, so that every voter
// writes the same bytes.
var codec = newCodec()

func newCodec() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // The options are constants of the library.
	}
	return mode
}

// reader refuses encodings that codec can't have written.
var reader = newReader()

func newReader() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		IndefLength:       cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err) // The options are constants of the library.
	}
	return mode
}

// Command encodes a proposal for the log. It contains a delta if the bundle in
// force at this instance is the parent, and the whole bundle otherwise.
func (m *Machine) Command(s *bundle.Signed) ([]byte, error) {
	id, err := s.Bundle.Identity()
	if err != nil {
		return nil, err
	}
	c := command{Identity: id, Signatures: s.Signatures}
	if m.current != nil && s.Bundle.Parent == m.Identity().Digest {
		err = c.setDelta(&m.current.Bundle, &s.Bundle)
	} else {
		c.Whole, err = s.Bundle.MarshalBinary()
	}
	if err != nil {
		return nil, err
	}
	return codec.Marshal(c)
}

// setDelta encodes the change from one bundle to another.
func (c *command) setDelta(from, to *bundle.Bundle) error {
	delta, err := bundle.DeltaOf(from, to)
	if err != nil {
		return err
	}
	c.Delta, err = delta.MarshalBinary()
	return err
}

// decodeCommand decodes what Command returned.
func decodeCommand(data []byte) (*command, error) {
	c := new(command)
	if err := reader.Unmarshal(data, c); err != nil {
		return nil, errors.Annotate(err, "command")
	}
	return c, nil
}

// verifiedBundle decodes the signed bundle and verifies that its content has the
// identity that the command claims. It doesn't verify the sign-offs.
func (c *command) verifiedBundle(inForce *bundle.Signed) (*bundle.Signed, error) {
	next, err := c.decodeBundle(inForce)
	if err != nil {
		return nil, err
	}
	id, err := next.Identity()
	if err != nil {
		return nil, err
	}
	if id != c.Identity {
		return nil, errors.New("the content is not that of the digest")
	}
	return &bundle.Signed{Bundle: *next, Signatures: c.Signatures}, nil
}

// decodeBundle decodes the whole bundle or applies the delta to the one in force.
func (c *command) decodeBundle(inForce *bundle.Signed) (*bundle.Bundle, error) {
	if len(c.Delta) == 0 {
		b := new(bundle.Bundle)
		return b, b.UnmarshalBinary(c.Whole)
	}
	if inForce == nil {
		return nil, errors.New("a change without a bundle to change")
	}
	delta := new(bundle.Delta)
	if err := delta.UnmarshalBinary(c.Delta); err != nil {
		return nil, err
	}
	return delta.Apply(&inForce.Bundle)
}
