package pipeline

import (
	"sync/atomic"
	"time"

	"github.com/gullhaven/gullhaven/coord/verdict"
)

// overloadedRetry is when to come back to a full instance.
const overloadedRetry = time.Second

type inFlight struct {
	n   atomic.Int64
	max int64
}

// Admission bounds the requests under way, and with them the memory of the
// instance. It refuses all while no bundle is in force.
type Admission struct{ flight *inFlight }

// Serve counts the request while it is under way.
func (f *Admission) Serve(x *Exchange, next Handler) error {
	defer f.flight.n.Add(-1)
	if f.flight.n.Add(1) > f.flight.max {
		return &verdict.Error{Code: CodeOverloaded, Message: "too many requests under way here", RetryAfter: overloadedRetry}
	}
	if x.View == nil {
		return &verdict.Error{Code: CodeNoBundle, Message: "no bundle is in force yet", RetryAfter: overloadedRetry}
	}
	return next(x)
}
