package exchange

import (
	"net/http"

	"go.uber.org/zap/zapcore"

	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/route/place"
)

// limitRefusal is the decision that refused a request, with the units that it needed.
type limitRefusal struct {
	LimitDecision
	units float64
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (j *limitRefusal) MarshalLogObject(e zapcore.ObjectEncoder) error {
	e.AddFloat64("units", j.units)
	e.AddFloat64("rate", j.Rate)
	e.AddBool("leased", j.Leased)
	e.AddString("by", j.DecidedBy)
	e.AddUint64("version", j.Version)
	e.AddDuration("wait", j.RetryAfter)
	return nil
}

// consumeLimit consumes the request's units of its workspace's limit. A forwarded request has
// consumed them at the instance that received it from the caller.
func (q *request) consumeLimit() *refusal {
	w, limits := q.workspace, q.g.o.Limits
	if limits == nil || w == nil || w.Limit.Rate <= 0 || q.forwarded != nil {
		return nil
	}
	units := w.Limit.Cost(q.call.PromptTokens, q.call.OutputTokens, q.call.HasTokenCounts)
	a := limits.Consume(q.ctx, w, units)
	if a.Allowed {
		q.limitUnits, q.limitDecision = units, a
		return nil
	}
	return &refusal{status: http.StatusTooManyRequests, code: CodeOverLimit, retryAfter: place.LimitRetryAfter(a.RetryAfter), limit: &limitRefusal{LimitDecision: a, units: units}}
}

// refundLimit refunds the units of a request that has not run.
func (q *request) refundLimit() {
	if q.limitUnits > 0 && q.verdict == verdict.NotRun {
		q.g.o.Limits.Refund(q.workspace, q.limitUnits, q.limitDecision)
	}
}
