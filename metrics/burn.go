package metrics

import (
	"time"

	"github.com/gullhaven/gullhaven/operate/burn"
)

// Burn feeds a burn.History from a request path that tells only whether the
// objective was kept. A host that uses served.Observer, which knows the cause
// and the workspace, needs none.
type Burn struct {
	history *burn.History
}

// NewBurn makes an empty history.
func NewBurn() *Burn { return &Burn{history: burn.NewHistory("", "", 0)} }

// Observe takes the end of one request. A missed one counts as late, as nothing
// else is known of it.
func (b *Burn) Observe(now time.Time, service string, kept bool) {
	e := burn.Event{Service: service, Cause: burn.Kept}
	if !kept {
		e.Cause = burn.Late
	}
	b.history.Observe(now, e)
}

// Snapshot is the history now, as that of an instance.
func (b *Burn) Snapshot(now time.Time, instance, region string) burn.Snapshot {
	s := b.history.Snapshot(now)
	for i := range s.Parts {
		s.Parts[i].Instance, s.Parts[i].Region = instance, region
	}
	return s
}
