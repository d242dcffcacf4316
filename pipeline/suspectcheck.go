package pipeline

import (
	"time"

	"github.com/gullhaven/gullhaven/ports"
)

// SuspectCheck refuses poison requests: those known to crash targets.
type SuspectCheck struct {
	suspects ports.Suspects
	now      func() time.Time
}

// Serve checks the digest, so that it also finds a resend under another id.
func (f *SuspectCheck) Serve(x *Exchange, next Handler) error {
	if f.suspects != nil && f.suspects.Check(f.now(), x.Digest) == ports.SuspectRefused {
		return refuseSuspect()
	}
	return next(x)
}

func refuseSuspect() error {
	return refuse(CodeSuspected, "this request was running at targets that broke down")
}
