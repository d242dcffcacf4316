package ports_test

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/gullhaven/gullhaven/ports"
)

// endlessReader repeats one line without the blank line that ends an event, up to a
// bound that keeps a failing test from using up all memory.
type endlessReader struct {
	line string
	left int
}

func (e *endlessReader) Read(p []byte) (int, error) {
	if e.left <= 0 {
		return 0, io.EOF
	}
	n := copy(p, strings.Repeat(e.line, max(1, len(p)/len(e.line))))
	n -= n % len(e.line)
	e.left -= n
	return n, nil
}

// Guards against an instance that runs out of memory: a faulty engine sends data lines
// and never ends the event, and only each line is bounded, not their sum.
func TestEventsAreBounded(t *testing.T) {
	r := ports.NewEventReader(&endlessReader{line: "data: x\n", left: 16 * ports.MaxEventBytes})
	defer r.Release()
	if _, err := r.Next(); !errors.Is(err, ports.ErrEventTooLong) {
		t.Errorf("%v, want %v", err, ports.ErrEventTooLong)
	}
}
