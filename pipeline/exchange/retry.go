package exchange

import (
	"time"

	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/coord/verdict"
)

// mayRetry reports whether another attempt may follow a failed one; if not, it returns the
// refusal code.
func (q *request) mayRetry() (verdict.Code, bool) {
	now := time.Now()
	if q.hedge != nil && q.endCode(now) == "" {
		// It was counted when it was sent.
		return "", true
	}
	if code, ok := q.mayRunAgain(now); !ok {
		return code, false
	}
	if q.reachedTarget() && !q.tryRetry(now) {
		return CodeNoTarget, false
	}
	q.g.o.Metrics.Retries.Inc(1)
	return "", true
}

// endCode returns the code of what has ended the request from outside; empty if nothing has.
func (q *request) endCode(now time.Time) verdict.Code {
	switch {
	case q.g.ended.Err() != nil:
		return CodeLeaving
	case q.r.Context().Err() != nil && q.forwarded != nil:
		return CodeSenderLeft
	case q.r.Context().Err() != nil:
		return CodeCallerLeft
	case q.ctx.Err() != nil || !now.Before(q.deadline):
		return CodeTimeout
	}
	return ""
}

// mayRunAgain is mayRetry without the retry budget.
func (q *request) mayRunAgain(now time.Time) (verdict.Code, bool) {
	if code := q.endCode(now); code != "" {
		return code, false
	}
	switch {
	case q.verdict != verdict.NotRun && (!q.route.Repeatable() || q.runs >= q.maxRuns && len(q.returnTo) == 0):
		return CodeTargetLost, false
	case q.begun && q.origin.Software == "":
		return CodeUnknownStream, false
	case q.attemptCount >= maxAttempts:
		return CodeNoTarget, false
	case q.g.o.PoisonRequests != nil && q.runs > 0 && !q.g.o.PoisonRequests.MayRetry(q.content()):
		return CodePoison, false
	}
	return "", true
}

// tryRetry reports whether the retry budget of the service allows another attempt, and counts it
// if so.
func (q *request) tryRetry(now time.Time) bool {
	d := q.g.retries.tryRetry(now, q.service, q.view.EntryInstances)
	if d.logDue {
		q.g.o.Log.Info("repeats", zap.String("service", q.service), zap.Bool("allowed", d.allowed), zap.Int("firsts", d.use.FirstAttempts),
			zap.Int("extras", d.use.Retries), zap.Float64("left", d.use.Remaining), zap.Int("unearned", d.unearned), zap.Int("entries", q.view.EntryInstances), zap.Duration("age", d.uptime))
	}
	if !d.allowed {
		q.g.o.Metrics.RetriesDenied.Inc(1)
		return false
	}
	q.g.o.Log.Debug("repeat counted", zap.String("id", q.call.ID), zap.String("service", q.service))
	return true
}

// reachedTarget reports whether an attempt has reached a target, even if the target rejected it.
func (q *request) reachedTarget() bool { return q.rejected || q.runs > 0 }
