package pipeline

import (
	"sync/atomic"
	"time"

	"github.com/gullhaven/gullhaven/coord/verdict"
)

// overloadRetryAfter is the retry delay given by a full instance.
const overloadRetryAfter = time.Second

type inFlight struct {
	n   atomic.Int64
	max int64
}

// Admission bounds the requests in flight, and with them the instance's memory.
// It refuses all requests while no bundle is in force.
type Admission struct{ flight *inFlight }

// Serve counts the request as in flight until it ends.
func (f *Admission) Serve(x *Exchange, next Handler) error {
	defer f.flight.n.Add(-1)
	if f.flight.n.Add(1) > f.flight.max {
		return &verdict.Error{Code: CodeOverloaded, Message: "too many requests under way here", RetryAfter: overloadRetryAfter}
	}
	if x.View == nil {
		return &verdict.Error{Code: CodeNoBundle, Message: "no bundle is in force yet", RetryAfter: overloadRetryAfter}
	}
	return next(x)
}
