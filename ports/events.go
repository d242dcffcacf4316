package ports

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"sync"
)

// eventReadBufferBytes is the read buffer of one open stream; longer lines are
// collected in a growing buffer.
const eventReadBufferBytes = 2 << 10

// MaxEventBytes bounds one line of a stream, and the data of one event over all
// its lines. Without it, an engine that never ends an event would use up all memory.
const MaxEventBytes = 1 << 20

// ErrEventTooLong is returned for a line or an event above MaxEventBytes.
var ErrEventTooLong = errors.New("event too long")

var eventReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, eventReadBufferBytes) }}

// Event is one server-sent event. Its slices are valid until the next call of Next.
type Event struct {
	ID   []byte
	Name []byte
	Data []byte
}

// EventReader reads server-sent events (WHATWG HTML, section 9.2). Comments,
// retry fields and unknown fields are skipped.
type EventReader struct {
	r        *bufio.Reader
	id       []byte
	name     []byte
	data     []byte
	longLine []byte
}

// NewEventReader returns a reader of the events in r.
func NewEventReader(r io.Reader) *EventReader {
	b := eventReaders.Get().(*bufio.Reader)
	b.Reset(r)
	return &EventReader{r: b}
}

// Release returns the buffers to their pool. The reader must not be used afterwards.
func (e *EventReader) Release() {
	if e.r == nil {
		return
	}
	e.r.Reset(nil)
	eventReaders.Put(e.r)
	e.r = nil
}

// Buffered reports whether another whole event has been read already. A part of
// one does not count, as its rest may take long.
func (e *EventReader) Buffered() bool {
	if e.r == nil || e.r.Buffered() == 0 {
		return false
	}
	b, _ := e.r.Peek(e.r.Buffered())
	return bytes.Contains(b, []byte("\n\n"))
}

// Next returns the next event with data. An event that is unfinished at io.EOF is
// dropped. The error is ErrEventTooLong for a line or event above MaxEventBytes.
func (e *EventReader) Next() (Event, error) {
	if e.r == nil {
		return Event{}, io.ErrClosedPipe
	}
	e.id, e.name, e.data = e.id[:0], e.name[:0], e.data[:0]
	fields := 0
	for {
		line, err := e.readLine()
		if err != nil {
			return Event{}, err
		}
		if len(line) == 0 {
			if fields > 0 {
				return Event{ID: e.id, Name: e.name, Data: e.data}, nil
			}
			continue
		}
		fields += e.parseField(line)
		if len(e.data) > MaxEventBytes {
			return Event{}, ErrEventTooLong
		}
	}
}

// parseField parses one line and returns the number of data lines in it, 0 or 1.
func (e *EventReader) parseField(line []byte) int {
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

func (e *EventReader) readLine() ([]byte, error) {
	part, err := e.r.ReadSlice('\n')
	if err == nil {
		return trimLineEnd(part), nil
	}
	e.longLine = e.longLine[:0]
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(e.longLine) > MaxEventBytes {
			return nil, ErrEventTooLong
		}
		e.longLine = append(e.longLine, part...)
		part, err = e.r.ReadSlice('\n')
	}
	if err != nil {
		return nil, err
	}
	e.longLine = append(e.longLine, part...)
	return trimLineEnd(e.longLine), nil
}

func trimLineEnd(line []byte) []byte {
	line = bytes.TrimSuffix(line, []byte{'\n'})
	return bytes.TrimSuffix(line, []byte{'\r'})
}
