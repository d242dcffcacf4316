package registry

import (
	"bytes"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

const (
	// Tag is the first byte of a command. No CBOR map and no JSON text begins
	// with it, so a log that holds entries of those kinds can hold commands too.
	Tag byte = 0x00
	// MaxGroups bounds the number of names in the table.
	MaxGroups = 1 << 12
	// MaxNameBytes bounds the length of a name.
	MaxNameBytes = 256
	// MaxReplaced bounds the replaced numbers kept for a name. A number that was
	// dropped counts as a new one, which has to wait.
	MaxReplaced = 64
	// MaxLifetime bounds the lifetime of records.
	MaxLifetime = 30 * 24 * time.Hour
)

// Register is the command that requests a group's right to serve.
type Register struct {
	// Name is the group's name, the same after each loss.
	Name string `cbor:"1,keyasint"`
	// Group is the number that the log was formed under; not 0.
	Group uint64 `cbor:"2,keyasint"`
	// Now is the proposer's clock in Unix milliseconds.
	Now int64 `cbor:"3,keyasint"`
	// LifetimeSeconds is the longest lifetime of records that the proposer
	// knows of; 0 if it knows none.
	LifetimeSeconds uint32 `cbor:"4,keyasint"`
}

// Reply is the kind of a Result.
type Reply uint8

const (
	// Invalid: the command was malformed, see Message. Nothing changed.
	Invalid Reply = iota
	// Granted: the group may serve after Wait.
	Granted
	// Replaced: another group has taken the name since; this one must never serve.
	Replaced
	// Full: there is no room for another name. Nothing changed.
	Full
)

var replyNames = [...]string{Invalid: "invalid", Granted: "granted", Replaced: "replaced", Full: "full"}

// String returns the name of a reply in lower case.
func (r Reply) String() string {
	if int(r) < len(replyNames) {
		return replyNames[r]
	}
	return "unknown"
}

// Result is the result of a Register.
type Result struct {
	Reply Reply `cbor:"1,keyasint"`
	// Group is the number that holds the name now.
	Group uint64 `cbor:"2,keyasint"`
	// Lost is the number of the group whose state was lost; 0 if none was.
	Lost uint64 `cbor:"3,keyasint,omitempty"`
	// WaitSeconds is how long the group must not serve after it received the result.
	WaitSeconds uint32 `cbor:"4,keyasint,omitempty"`
	// BlockedUntil is the end of the wait by the table's clock, in Unix milliseconds,
	// for reports; 0 without a wait.
	BlockedUntil int64 `cbor:"5,keyasint,omitempty"`
	// Losses is how often the state under the name was lost.
	Losses uint32 `cbor:"6,keyasint,omitempty"`
	// Message says what is malformed, for Invalid.
	Message string `cbor:"7,keyasint,omitempty"`
}

// Wait returns how long the group must not serve after it received the result.
func (r Result) Wait() time.Duration { return time.Duration(r.WaitSeconds) * time.Second }

// Encode returns a command as an entry for the log.
func Encode(r Register) ([]byte, error) {
	body, err := cbor.Marshal(r)
	if err != nil {
		return nil, errors.Annotate(err, "registration")
	}
	return append([]byte{Tag}, body...), nil
}

// IsCommand reports whether an entry of a shared log is a command of this package.
func IsCommand(entry []byte) bool { return bytes.HasPrefix(entry, []byte{Tag}) }

// Decode decodes and checks a command. It returns an error for an entry without Tag,
// malformed CBOR or a field out of bounds.
func Decode(entry []byte) (Register, error) {
	var r Register
	if !IsCommand(entry) {
		return r, errors.NotValidf("registration without its tag")
	}
	if err := cbor.Unmarshal(entry[1:], &r); err != nil {
		return r, errors.Annotate(err, "registration")
	}
	return r, r.check()
}

func (r *Register) check() error {
	if r.Name == "" || len(r.Name) > MaxNameBytes {
		return errors.NotValidf("name of %d bytes", len(r.Name))
	}
	if r.Group == 0 {
		return errors.NotValidf("group 0")
	}
	if time.Duration(r.LifetimeSeconds)*time.Second > MaxLifetime {
		return errors.NotValidf("lifetime of %d s", r.LifetimeSeconds)
	}
	return nil
}

// DecodeResult decodes what Apply returned.
func DecodeResult(b []byte) (Result, error) {
	var r Result
	err := cbor.Unmarshal(b, &r)
	return r, errors.Annotate(err, "result of a registration")
}
