package load

import (
	"time"

	"github.com/gullhaven/gullhaven/coord/verdict"
)

// Kind is how an attempt ended.
type Kind uint8

// Kinds of outcomes. Those from Unmarked on are faults of the gateway.
const (
	// Answered: the answer is complete.
	Answered Kind = iota
	// Refused with a typed error before the answer began.
	Refused
	// CutWithEvent: the stream ended with an error event.
	CutWithEvent
	// Broken: the connection broke, as when an instance is killed.
	Broken
	// Unreached: no instance accepted a connection.
	Unreached
	// Unsent: no sender was free at the arrival.
	Unsent
	// Unfinished when the run ended.
	Unfinished
	// Unmarked: a stream ended cleanly with neither end mark nor error event.
	Unmarked
	// Wrong: the answer is incomplete or belongs to another request.
	Wrong
	// BadRefusal: a refusal not in the documented form.
	BadRefusal
	kindCount
)

var kindNames = [kindCount]string{
	"answered", "refused", "cut_with_event", "broken", "unreached", "unsent", "unfinished",
	"ended_without_mark", "wrong_answer", "bad_refusal",
}

// String returns the kind's name in reports.
func (k Kind) String() string { return kindNames[k] }

// outcome is the result of one attempt.
type outcome struct {
	kind Kind
	dest Dest
	// resend marks attempts after the first of a key.
	resend bool
	// began is when the attempt began.
	began time.Time
	// startDelay is the time from the planned arrival to the attempt.
	startDelay time.Duration
	// firstToken and total are the times from the start of the attempt to the first
	// token and to the end.
	firstToken, total time.Duration
	// betweenTokens are the times between tokens.
	betweenTokens []time.Duration
	tokens        int
	// late: answered, but after the deadline.
	late bool
	// code and verdict of a refusal or error event.
	code    verdict.Code
	verdict verdict.Verdict
	// failovers counts instances that were skipped because they accepted no
	// connection, redirected the redirects by a refusal that named another region.
	failovers, redirected int
	// note says what went wrong.
	note string
	// instance is the address that was asked.
	instance string
	// plain is the answer of a plain service, if any.
	plain *plainAnswer
}

// end sets kind and note.
func (o *outcome) end(k Kind, note string) *outcome {
	o.kind, o.note = k, note
	return o
}
