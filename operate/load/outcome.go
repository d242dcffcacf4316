package load

import (
	"time"

	"github.com/gullhaven/gullhaven/coord/verdict"
)

// Kind is how a sending ended.
type Kind uint8

// Kinds of ends. Those from Unmarked on must never happen.
const (
	// Answered whole.
	Answered Kind = iota
	// Refused with a typed error before an answer began.
	Refused
	// CutWithEvent: the stream ended with an error event.
	CutWithEvent
	// Broken: the connection broke, as it does when an instance is killed.
	Broken
	// Unreached: no instance took a connection.
	Unreached
	// Unsent: no sender was free.
	Unsent
	// Unfinished when the run was ended.
	Unfinished
	// Unmarked: a stream ended cleanly with neither end mark nor error event.
	Unmarked
	// Wrong: the answer is not whole, or not the one to its own request.
	Wrong
	// BadRefusal: a refusal that is not of the promised form.
	BadRefusal
	kinds
)

var kindNames = [kinds]string{
	"answered", "refused", "cut_with_event", "broken", "unreached", "unsent", "unfinished",
	"ended_without_mark", "wrong_answer", "bad_refusal",
}

// String returns the name in reports.
func (k Kind) String() string { return kindNames[k] }

// outcome is the end of one sending.
type outcome struct {
	kind Kind
	side Dest
	// resend marks sendings after a key's first.
	resend bool
	// began is when the sending began.
	began time.Time
	// wait is from the planned arrival to the sending.
	wait time.Duration
	// first, whole are from the sending to the first token and to the end.
	first, whole time.Duration
	// between are the times between tokens.
	between []time.Duration
	tokens  int
	// late: whole, but after the deadline.
	late bool
	// code and verdict of a refusal or error event.
	code    verdict.Code
	verdict verdict.Verdict
	// moved counts instances that were left because they took no connection,
	// and redirects by a refusal that named another region.
	moved, redirected int
	// note says what was wrong.
	note string
	// at is the instance.
	at string
	// plain is the answer of a plain service.
	plain *plainAnswer
}

// end closes an outcome.
func (o *outcome) end(k Kind, note string) *outcome {
	o.kind, o.note = k, note
	return o
}
