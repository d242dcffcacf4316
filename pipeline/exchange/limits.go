package exchange

import (
	"net/http"

	"go.uber.org/zap/zapcore"

	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/route/place"
)

// judged is what a request beyond its workspace's limit was judged by.
type judged struct {
	LimitAnswer
	units float64
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (j *judged) MarshalLogObject(e zapcore.ObjectEncoder) error {
	e.AddFloat64("units", j.units)
	e.AddFloat64("rate", j.Rate)
	e.AddBool("leased", j.Leased)
	e.AddString("by", j.By)
	e.AddUint64("version", j.Version)
	e.AddDuration("wait", j.Wait)
	return nil
}

// takeLimit takes the request's part of its workspace's limit. One that was passed on took it
// where it came in.
func (q *request) takeLimit() *refusal {
	w, limits := q.workspace, q.g.o.Limits
	if limits == nil || w == nil || w.Limit.Rate <= 0 || q.from != nil {
		return nil
	}
	units := w.Limit.Cost(q.call.PromptTokens, q.call.OutputTokens, q.call.Counted)
	a := limits.Take(q.ctx, w, units)
	if a.OK {
		q.units, q.limit = units, a
		return nil
	}
	return &refusal{status: http.StatusTooManyRequests, code: CodeLimit, retry: place.LimitRetryAfter(a.Wait), limit: &judged{LimitAnswer: a, units: units}}
}

// settleLimit gives back what a request took that has not run.
func (q *request) settleLimit() {
	if q.units > 0 && q.verdict == verdict.NotRun {
		q.g.o.Limits.Return(q.workspace, q.units, q.limit)
	}
}
