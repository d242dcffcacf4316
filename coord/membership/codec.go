package membership

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

const (
	// headerBytes bounds the encoding of a message without updates, digests
	// and the bytes of Target.
	headerBytes = 40
	// maxUpdate bounds an encoded update, in bytes.
	maxUpdate = 320
	// maxID bounds an id in bytes, so that an update that only names two ids
	// is short.
	maxID = 64
	// minMaxBytes is the least Config.MaxBytes: every message must hold two
	// updates ahead of queued ones, an id and all digests.
	minMaxBytes = headerBytes + maxID + 2*maxUpdate
	// maxUpdates bounds the updates of a decoded message.
	maxUpdates = 1024
)

var (
	encoder = must(cbor.EncOptions{}.EncMode())
	decoder = must(cbor.DecOptions{MaxArrayElements: maxUpdates, MaxNestedLevels: 8}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Encode returns the wire form (CBOR) of a message.
func Encode(m Message) ([]byte, error) {
	b, err := encoder.Marshal(&m)
	return b, errors.Annotate(err, "membership message")
}

// Decode reads the wire form. It returns an error for malformed input and for
// updates over the bounds.
func Decode(b []byte) (Message, error) {
	var m Message
	if err := decoder.Unmarshal(b, &m); err != nil {
		return Message{}, errors.Annotate(err, "membership message")
	}
	if m.Kind > SyncPush {
		return Message{}, errors.NotValidf("membership message of kind %d", m.Kind)
	}
	if len(m.Target) > maxID || len(m.Digests) != 0 && len(m.Digests) != buckets {
		return Message{}, errors.NotValidf("membership message with a target of %d bytes and %d digests", len(m.Target), len(m.Digests))
	}
	for i := range m.Updates {
		if err := checkUpdate(m.Updates[i]); err != nil {
			return Message{}, err
		}
	}
	return m, nil
}

// checkUpdate returns an error for an update that is malformed or over the
// bounds of a message.
func checkUpdate(u Update) error {
	switch {
	case u.ID == "" || len(u.ID) > maxID || len(u.By) > maxID:
		return errors.NotValidf("update with ids of %d and %d bytes", len(u.ID), len(u.By))
	case u.State > Left:
		return errors.NotValidf("update with state %d", u.State)
	case (u.State == Alive) != (u.Info != nil):
		return errors.NotValidf("%v update with info given: %v (must be true for alive updates only)", u.State, u.Info != nil)
	case u.Info != nil && len(u.Info.Meta) > MaxMeta:
		return errors.NotValidf("meta of %d bytes (at most %d)", len(u.Info.Meta), MaxMeta)
	}
	if n := updateSize(&u); n > maxUpdate {
		return errors.NotValidf("update of %d bytes (at most %d)", n, maxUpdate)
	}
	return nil
}

// updateSize returns the exact length of an encoded update, in bytes.
func updateSize(u *Update) int {
	n := 1 + 1 + uintSize(u.Incarnation) + textSize(u.ID) + textSize(u.By) + 1
	if u.Info == nil {
		return n
	}
	i := u.Info
	n += textSize(i.Region) + textSize(i.Zone) + textSize(i.Address)
	n += uintSize(uint64(len(i.Roles))) + uintSize(uint64(len(i.Meta))) + len(i.Meta)
	for _, r := range i.Roles {
		n += textSize(r)
	}
	return n
}

func textSize(s string) int { return uintSize(uint64(len(s))) + len(s) }

// uintSize returns the length of the CBOR head of a number, in bytes.
func uintSize(v uint64) int {
	switch {
	case v < 24:
		return 1
	case v < 1<<8:
		return 2
	case v < 1<<16:
		return 3
	case v < 1<<32:
		return 5
	}
	return 9
}
