package bundle

import (
	"crypto/ed25519"
	"encoding/base64"
	stderrors "errors"
	"fmt"

	"github.com/juju/errors"
)

// Signed is a bundle with the sign-offs of operators.
type Signed struct {
	Bundle     Bundle      `json:"bundle"`
	Signatures []Signature `json:"signatures"`
}

// Signature is one operator's sign-off of version, parent and digest.
type Signature struct {
	// Operator is the id of the signer.
	Operator string `json:"operator"`
	// Value is an Ed25519 signature, standard base64 (64 bytes decoded).
	Value string `json:"value"`
}

// ErrSignOffs marks a bundle without enough valid sign-offs.
const ErrSignOffs = errors.ConstError("not enough valid sign-offs")

// signaturePurpose prevents the use of a signature for another purpose.
const signaturePurpose = "gullhaven bundle sign-off 1"

// Trust is the set of operators who may sign a bundle and the number of sign-offs
// that it needs.
type Trust struct {
	Operators []Operator
	// SignOffs is the number of distinct operators who must sign; at least 1.
	SignOffs int
}

// NextTrust returns whose sign-offs the bundle after this one needs.
func (b *Bundle) NextTrust() Trust {
	return Trust{Operators: b.Operators, SignOffs: b.SignOffs}
}

// Identity identifies a bundle. Operators sign it, and acceptance compares it.
type Identity struct {
	Version uint64 `json:"version"`
	Parent  Digest `json:"parent,omitempty"`
	Digest  Digest `json:"digest"`
}

// Identity returns the identity of the bundle.
func (b *Bundle) Identity() (Identity, error) {
	digest, err := b.Digest()
	if err != nil {
		return Identity{}, err
	}
	return Identity{Version: b.Version, Parent: b.Parent, Digest: digest}, nil
}

// message returns the text that is signed.
func (id Identity) message() []byte {
	return fmt.Appendf(nil, "%s\nversion %d\nparent %q\ndigest %q\n", signaturePurpose, id.Version, id.Parent, id.Digest)
}

// Sign makes the sign-off of an operator with its private key.
func Sign(id Identity, operator string, key ed25519.PrivateKey) Signature {
	return Signature{
		Operator: operator,
		Value:    base64.StdEncoding.EncodeToString(ed25519.Sign(key, id.message())),
	}
}

// Verify checks that enough distinct operators of trust have signed. The error
// wraps ErrSignOffs and gives the reason for each signature that doesn't count. A
// key counts once, even under two ids; otherwise one person could sign for two.
func Verify(id Identity, signatures []Signature, trust Trust) error {
	counted := map[string]bool{}
	var reasons []error
	for _, signature := range signatures {
		key, err := trust.check(id, signature)
		switch {
		case err != nil:
			reasons = append(reasons, errors.Annotatef(err, "operator %q", signature.Operator))
		case counted[key]:
			reasons = append(reasons, errors.Errorf("operator %q: counted already", signature.Operator))
		default:
			counted[key] = true
		}
	}
	needed := max(trust.SignOffs, 1)
	if len(counted) >= needed {
		return nil
	}
	tooFew := errors.Annotatef(ErrSignOffs, "%d of %d", len(counted), needed)
	return stderrors.Join(append([]error{tooFew}, reasons...)...)
}

// check verifies one signature and returns the public key of its operator.
func (t Trust) check(id Identity, signature Signature) (string, error) {
	operator, known := t.operator(signature.Operator)
	if !known {
		return "", errors.New("is not among the operators who may sign this version")
	}
	key, err := ParsePublicKey(operator.PublicKey)
	if err != nil {
		return "", err
	}
	value, err := base64.StdEncoding.DecodeString(signature.Value)
	if err != nil {
		return "", errors.Annotate(err, "signature")
	}
	if !ed25519.Verify(key, id.message(), value) {
		return "", errors.New("the signature is not that of this bundle by this operator's key")
	}
	return string(key), nil
}

// operator returns the operator with this id.
func (t Trust) operator(id string) (Operator, bool) {
	for _, operator := range t.Operators {
		if operator.ID == id {
			return operator, true
		}
	}
	return Operator{}, false
}

// ParsePublicKey decodes an Ed25519 public key in standard base64.
func ParsePublicKey(text string) (ed25519.PublicKey, error) {
	key, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return nil, errors.Annotate(err, "public key")
	}
	if len(key) != ed25519.PublicKeySize {
		return nil, errors.Errorf("public key: has %d bytes, but must have %d", len(key), ed25519.PublicKeySize)
	}
	return key, nil
}
