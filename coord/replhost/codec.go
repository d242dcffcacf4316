package replhost

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/gullhaven/gullhaven/coord/replog"
	"github.com/gullhaven/gullhaven/coord/wal"
)

// Types of the records in the write-ahead log.
const (
	recordHardState uint8 = 1
	recordEntry     uint8 = 2
)

// maxElements bounds the lists in a message or record.
const maxElements = 1 << 20

var decoding = mustMode(cbor.DecOptions{MaxArrayElements: maxElements}.DecMode())

func mustMode(m cbor.DecMode, err error) cbor.DecMode {
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}

// packBytes bounds the entries that are packed with other messages into one payload. A
// longer message goes alone: heartbeats that were packed with it would wait behind it at a
// transport that lets short payloads overtake long ones.
const packBytes = 12 << 10

// parcel is what goes to one node in one payload.
type parcel struct {
	to       string
	messages []replog.Message
	bytes    int
}

// payloads packs messages by receiver, in their order.
func payloads(messages []replog.Message, send func(to string, payload []byte)) error {
	for _, p := range pack(messages) {
		b, err := cbor.Marshal(p.messages)
		if err != nil {
			return errors.Annotate(err, "encode messages")
		}
		send(p.to, b)
	}
	return nil
}

func pack(messages []replog.Message) []*parcel {
	var out []*parcel
	open := map[string]*parcel{}
	for _, m := range messages {
		n := dataBytes(&m)
		p := open[m.To.ID]
		if p == nil || p.bytes > 0 && p.bytes+n > packBytes || n > packBytes && len(p.messages) > 0 {
			p = &parcel{to: m.To.ID}
			open[m.To.ID] = p
			out = append(out, p)
		}
		p.messages = append(p.messages, m)
		p.bytes += n
	}
	return out
}

// dataBytes is the length of what a message carries.
func dataBytes(m *replog.Message) int {
	n := 0
	for i := range m.Entries {
		n += len(m.Entries[i].Data)
	}
	if m.Snapshot != nil {
		n += len(m.Snapshot.Data)
	}
	return n
}

func decodeMessages(payload []byte) ([]replog.Message, error) {
	var messages []replog.Message
	err := decoding.Unmarshal(payload, &messages)
	return messages, errors.Annotate(err, "decode messages")
}

func record(kind uint8, v any) (wal.Record, error) {
	b, err := cbor.Marshal(v)
	return wal.Record{Type: kind, Data: b}, errors.Annotate(err, "encode record")
}
