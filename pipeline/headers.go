package pipeline

// Headers that callers send, see docs/API.md.
const (
	HeaderAuthorization  = "Authorization"
	HeaderDeadline       = "Gullhaven-Deadline-Ms"
	HeaderFirstToken     = "Gullhaven-First-Token-Ms"
	HeaderPriority       = "Gullhaven-Priority"
	HeaderResidency      = "Gullhaven-Residency"
	HeaderService        = "Gullhaven-Service"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderIdempotent     = "Gullhaven-Idempotent"
	HeaderResend         = "Gullhaven-Resend"
)

// HeaderHop is sent between instances only.
const HeaderHop = "Gullhaven-Hop"

// Headers of an instance's responses.
const (
	HeaderRequestID  = "Gullhaven-Request-Id"
	HeaderVerdict    = "Gullhaven-Verdict"
	HeaderRegions    = "Gullhaven-Regions"
	HeaderReplayed   = "Gullhaven-Replayed"
	HeaderRetryAfter = "Retry-After"
)
