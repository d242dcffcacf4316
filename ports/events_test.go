package ports_test

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/gullhaven/gullhaven/ports"
)

// endless gives one line over and over, without the blank line that ends an
// event, up to a bound that keeps a failing test from taking all memory.
type endless struct {
	line string
	left int
}

func (e *endless) Read(p []byte) (int, error) {
	if e.left <= 0 {
		return 0, io.EOF
	}
	n := copy(p, strings.Repeat(e.line, max(1, len(p)/len(e.line))))
	n -= n % len(e.line)
	e.left -= n
	return n, nil
}

// Symptom: an instance runs out of memory. Events: an engine that went wrong
// sends data lines and never ends the event. Cause: lines that were bounded each,
// but not together.
func TestEventsAreBounded(t *testing.T) {
	r := ports.NewEventReader(&endless{line: "data: x\n", left: 16 * ports.MaxEventBytes})
	defer r.Release()
	if _, err := r.Next(); !errors.Is(err, ports.ErrEventTooLong) {
		t.Errorf("%v, want %v", err, ports.ErrEventTooLong)
	}
}
