package pipeline

import (
	"github.com/gullhaven/gullhaven/coord/claim"
	"github.com/gullhaven/gullhaven/coord/verdict"
)

// PriorVerdict sets the verdict that earlier requests with the same idempotency
// key may have reached.
//
// If a resend is refused here, for example by its workspace's limit, this
// attempt did not run, but an earlier one may have, and the verdict "not run"
// would be wrong. So it is given only if the caller marked the request as the
// first one, sent no key, or the claim's owner knows that nothing ran.
type PriorVerdict struct{}

// Serve sets x.PriorVerdict, from headers alone.
func (*PriorVerdict) Serve(x *Exchange, next Handler) error {
	h := x.R.Header
	mark := parseMark(h.Get(HeaderResend))
	if mark == claim.Resend || (h.Get(HeaderIdempotencyKey) != "" && mark != claim.First) {
		x.PriorVerdict = verdict.MayHaveRun
	}
	return next(x)
}

// parseMark reads the resend header: "true" is a resend, "false" a first request;
// anything else is unmarked.
func parseMark(text string) claim.Mark {
	switch text {
	case "true":
		return claim.Resend
	case "false":
		return claim.First
	}
	return claim.Unmarked
}
