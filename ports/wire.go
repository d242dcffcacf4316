package ports

import (
	"net/http"

	"github.com/gullhaven/gullhaven/coord/verdict"
)

// Headers of requests to targets and between instances.
const (
	HeaderAttempt   = "Gullhaven-Attempt"
	HeaderPriority  = "Gullhaven-Priority"
	HeaderDeadline  = "Gullhaven-Deadline-Ms"
	HeaderVerdict   = "Gullhaven-Verdict"
	HeaderLastEvent = "Last-Event-ID"
)

// EndMark is the data of the last event of a streamed answer.
const EndMark = "[DONE]"

// ContentTypeEvents is the media type of a streamed answer.
const ContentTypeEvents = "text/event-stream"

// ContentTypeJSON is the media type of a whole answer.
const ContentTypeJSON = "application/json"

// CheckAttempt returns an error with CodeWrongAnswer if an answer names another attempt than a, as a second
// copy of an earlier answer on the connection does: nothing that it says, a rejection included, is about a.
// Targets that name none are trusted.
func CheckAttempt(a AttemptID, h http.Header) error {
	if got := h.Get(HeaderAttempt); got != "" && got != string(a) {
		return verdict.New(verdict.MayHaveRun, CodeWrongAnswer, "answer of another attempt")
	}
	return nil
}
