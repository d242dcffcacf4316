package exchange

import (
	"net/http"

	"github.com/gullhaven/gullhaven/coord/verdict"
)

// ending is how a request ends that has no complete answer of a target.
type ending uint8

const (
	// endRefused: a status of this system is written.
	endRefused ending = iota
	// endFailedAnswer: the failure that a target has answered is written.
	endFailedAnswer
	// endBrokenOff: the connection is closed within the answer, which must not look complete.
	endBrokenOff
	// endCallerLeft: nothing is written.
	endCallerLeft
)

// progress is what has happened to a request so far, as far as it decides what may still be written to
// its caller.
type progress struct {
	// headWritten says that the head of an answer was written, callerLeft that nobody reads any more.
	headWritten, callerLeft bool
	// failedAnswer says that a target has answered with a failure that was kept.
	failedAnswer bool
	// verdict is joined over all attempts.
	verdict verdict.Verdict
	// expired says that the deadline has passed.
	expired bool
}

// ending returns how the request ends.
func (p progress) ending() ending {
	switch {
	case p.headWritten:
		return endBrokenOff
	case p.callerLeft:
		return endCallerLeft
	case p.failedAnswer:
		return endFailedAnswer
	}
	return endRefused
}

// allowed returns the refusal that may be written in place of f. A request that may have run gets neither
// a status that promises the contrary nor a time to come back, and no status that denies the request
// either: callers do not retry after those.
func (p progress) allowed(f *refusal) *refusal {
	if p.verdict == verdict.NotRun {
		return f
	}
	status := http.StatusBadGateway
	if p.expired {
		status = http.StatusGatewayTimeout
	}
	return &refusal{status: status, code: f.code, close: f.close}
}
