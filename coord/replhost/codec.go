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

// payloads packs messages by receiver, in their order.
func payloads(messages []replog.Message, send func(to string, payload []byte)) error {
	byNode := map[string][]replog.Message{}
	var order []string
	for _, m := range messages {
		if byNode[m.To.ID] == nil {
			order = append(order, m.To.ID)
		}
		byNode[m.To.ID] = append(byNode[m.To.ID], m)
	}
	for _, to := range order {
		b, err := cbor.Marshal(byNode[to])
		if err != nil {
			return errors.Annotate(err, "encode messages")
		}
		send(to, b)
	}
	return nil
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
