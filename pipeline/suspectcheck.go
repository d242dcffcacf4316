package pipeline

import (
	"time"

	"github.com/gullhaven/gullhaven/ports"
)

// SuspectCheck refuses requests that are known to take targets down.
type SuspectCheck struct {
	suspects ports.Suspects
	now      func() time.Time
}

// Serve asks by digest, so that a resend under another id is recognised.
func (f *SuspectCheck) Serve(x *Exchange, next Handler) error {
	if f.suspects != nil && f.suspects.Check(f.now(), x.Digest) == ports.SuspectRefused {
		return refuseSuspect()
	}
	return next(x)
}

func refuseSuspect() error {
	return refuse(CodeSuspected, "this request was running at targets that broke down")
}
