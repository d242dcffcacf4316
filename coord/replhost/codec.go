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

// maxElements bounds the array lengths in a message or record.
const maxElements = 1 << 20

var decoding = mustMode(cbor.DecOptions{MaxArrayElements: maxElements}.DecMode())

func mustMode(m cbor.DecMode, err error) cbor.DecMode {
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}

// maxPackedBytes bounds the entry and snapshot data of the messages that are packed into
// one payload. A longer message is sent alone: heartbeats packed with it would be delayed
// at a transport that lets short payloads overtake long ones.
const maxPackedBytes = 12 << 10

// messageBatch is one payload's messages to a node. bytes is the length of their entry
// and snapshot data.
type messageBatch struct {
	to       string
	messages []replog.Message
	bytes    int
}

// sendMessages packs messages by receiver, in order, and sends the payloads.
func sendMessages(messages []replog.Message, send func(to string, payload []byte)) error {
	for _, p := range packMessages(messages) {
		b, err := cbor.Marshal(p.messages)
		if err != nil {
			return errors.Annotate(err, "encode messages")
		}
		send(p.to, b)
	}
	return nil
}

func packMessages(messages []replog.Message) []*messageBatch {
	var out []*messageBatch
	open := map[string]*messageBatch{}
	for _, m := range messages {
		n := dataBytes(&m)
		p := open[m.To.ID]
		if p == nil || p.bytes > 0 && p.bytes+n > maxPackedBytes || n > maxPackedBytes && len(p.messages) > 0 {
			p = &messageBatch{to: m.To.ID}
			open[m.To.ID] = p
			out = append(out, p)
		}
		p.messages = append(p.messages, m)
		p.bytes += n
	}
	return out
}

// dataBytes returns the length of a message's entries and snapshot, in bytes.
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
