package ports

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"sync"
)

// eventBufferBytes is the read buffer of one open stream; longer lines are
// gathered in a buffer that grows.
const eventBufferBytes = 2 << 10

// MaxEventBytes bounds one line of a stream, and the data of one event over all
// its lines. An engine that never ends an event would else take all memory.
const MaxEventBytes = 1 << 20

// ErrEventTooLong is returned for a line or an event above MaxEventBytes.
var ErrEventTooLong = errors.New("event too long")

var eventReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, eventBufferBytes) }}

// Event is one server-sent event; its slices are valid until the next Next.
type Event struct {
	ID   []byte
	Name []byte
	Data []byte
}

// EventReader reads server-sent events (WHATWG HTML, section 9.2). Comments,
// retry fields and unknown fields are skipped.
type EventReader struct {
	r    *bufio.Reader
	id   []byte
	name []byte
	data []byte
	long []byte
}

// NewEventReader reads events from r.
func NewEventReader(r io.Reader) *EventReader {
	b := eventReaders.Get().(*bufio.Reader)
	b.Reset(r)
	return &EventReader{r: b}
}

// Release gives the buffers back; the reader must not be used afterwards.
func (e *EventReader) Release() {
	if e.r == nil {
		return
	}
	e.r.Reset(nil)
	eventReaders.Put(e.r)
	e.r = nil
}

// Buffered reports whether a further whole event has been read already. Bytes of
// a part of one don't count: its rest may be long in coming.
func (e *EventReader) Buffered() bool {
	if e.r == nil || e.r.Buffered() == 0 {
		return false
	}
	b, _ := e.r.Peek(e.r.Buffered())
	return bytes.Contains(b, []byte("\n\n"))
}

// Next returns the next event that has data. io.EOF may come in the middle of
// an event; the unfinished event is dropped then.
func (e *EventReader) Next() (Event, error) {
	if e.r == nil {
		return Event{}, io.ErrClosedPipe
	}
	e.id, e.name, e.data = e.id[:0], e.name[:0], e.data[:0]
	fields := 0
	for {
		line, err := e.line()
		if err != nil {
			return Event{}, err
		}
		if len(line) == 0 {
			if fields > 0 {
				return Event{ID: e.id, Name: e.name, Data: e.data}, nil
			}
			continue
		}
		fields += e.field(line)
		if len(e.data) > MaxEventBytes {
			return Event{}, ErrEventTooLong
		}
	}
}

// field takes one line in and returns the number of data lines in it, 0 or 1.
func (e *EventReader) field(line []byte) int {
	name, value, _ := bytes.Cut(line, []byte{':'})
	value = bytes.TrimPrefix(value, []byte{' '})
	switch string(name) {
	case "id":
		e.id = append(e.id[:0], value...)
	case "event":
		e.name = append(e.name[:0], value...)
	case "data":
		if len(e.data) > 0 {
			e.data = append(e.data, '\n')
		}
		e.data = append(e.data, value...)
		return 1
	}
	return 0
}

func (e *EventReader) line() ([]byte, error) {
	part, err := e.r.ReadSlice('\n')
	if err == nil {
		return trimEnd(part), nil
	}
	e.long = e.long[:0]
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(e.long) > MaxEventBytes {
			return nil, ErrEventTooLong
		}
		e.long = append(e.long, part...)
		part, err = e.r.ReadSlice('\n')
	}
	if err != nil {
		return nil, err
	}
	e.long = append(e.long, part...)
	return trimEnd(e.long), nil
}

func trimEnd(line []byte) []byte {
	line = bytes.TrimSuffix(line, []byte{'\n'})
	return bytes.TrimSuffix(line, []byte{'\r'})
}
