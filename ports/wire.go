package ports

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
