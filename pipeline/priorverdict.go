package pipeline

import (
	"github.com/gullhaven/gullhaven/coord/claim"
	"github.com/gullhaven/gullhaven/coord/verdict"
)

// Floor sets what earlier sendings of the same key may have reached.
//
// A resend that is refused here, say for its workspace's limit, wasn't run by
// this sending, but the one before may have. "Not run" would then be a wrong
// word about the request. So it is said only if the caller marked the sending
// as the first one, sent no key, or the claim's owner knows better.
type PriorVerdict struct{}

// Serve sets x.Floor from headers alone.
func (*PriorVerdict) Serve(x *Exchange, next Handler) error {
	h := x.R.Header
	mark := sendingMark(h.Get(HeaderResend))
	if mark == claim.Resend || (h.Get(HeaderIdempotencyKey) != "" && mark != claim.First) {
		x.PriorVerdict = verdict.MayHaveRun
	}
	return next(x)
}

// sendingMark reads the resend header: "true", "false", or nothing known.
func sendingMark(text string) claim.Sending {
	switch text {
	case "true":
		return claim.Resend
	case "false":
		return claim.First
	}
	return claim.Unmarked
}
