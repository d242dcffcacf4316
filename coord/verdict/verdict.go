// Package verdict says whether a request may have run.
//
// A request can have several attempts: retries of one instance, a hedge, a resend
// of its caller to another instance. Each attempt ends with a Verdict, and the
// verdict of the request is the join over all of them. The order is NotRun <
// MayHaveRun < Ran and a joined verdict only rises, so that "not run" is never
// reported to a caller while any attempt can have reached a target.
package verdict

import (
	"fmt"
	"time"
)

// Verdict says whether a request may have run at a target.
type Verdict uint8

const (
	// NotRun: no attempt reached a target. The caller may safely send it again.
	NotRun Verdict = iota
	// MayHaveRun: at least one attempt can have reached a target and its outcome
	// is not known.
	MayHaveRun
	// Ran: a target is known to have run the request.
	Ran
)

var names = [...]string{NotRun: "not_run", MayHaveRun: "may_have_run", Ran: "ran"}

// Join returns the higher of two verdicts.
func (v Verdict) Join(o Verdict) Verdict { return max(v, o) }

// SafeToRetry reports whether a non-idempotent request may be sent again.
func (v Verdict) SafeToRetry() bool { return v == NotRun }

// String returns the wire name: not_run, may_have_run or ran.
func (v Verdict) String() string {
	if int(v) < len(names) {
		return names[v]
	}
	return fmt.Sprintf("verdict(%d)", uint8(v))
}

// MarshalText returns the wire name; an unknown value is an error.
func (v Verdict) MarshalText() ([]byte, error) {
	if int(v) >= len(names) {
		return nil, fmt.Errorf("unknown verdict %d", uint8(v))
	}
	return []byte(names[v]), nil
}

// UnmarshalText parses a wire name; any other text is an error.
func (v *Verdict) UnmarshalText(b []byte) error {
	for i, n := range names {
		if n == string(b) {
			*v = Verdict(i)
			return nil
		}
	}
	return fmt.Errorf("unknown verdict %q", b)
}

// Code is the machine-readable cause of a refusal or failure, for example
// "deadline_unmeetable".
type Code string

// Error is a refusal or failure of a request with its verdict.
type Error struct {
	// Verdict is joined over all attempts known where the error was created.
	Verdict Verdict
	// Code is the cause; it is stable across releases.
	Code Code
	// Message is a human-readable explanation.
	Message string
	// RetryAfter is the time until a retry may succeed; zero means that waiting makes
	// no difference.
	RetryAfter time.Duration
	// Err is the underlying error, if any. It must never be shown to callers.
	Err error
}

// New returns an Error without an underlying error.
func New(v Verdict, code Code, message string) *Error {
	return &Error{Verdict: v, Code: code, Message: message}
}

// Error returns the code, the verdict and the message in one line.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Code, e.Verdict, e.Message)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// Raise returns a copy of the error with the verdict joined with v; e is unchanged.
func (e *Error) Raise(v Verdict) *Error {
	c := *e
	c.Verdict = e.Verdict.Join(v)
	return &c
}
