package exchange

import (
	"net/http"
	"strconv"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/route/place"
)

// refusal ends a request without a target's answer.
type refusal struct {
	status int
	code   verdict.Code
	// retry says when to come back; only where the request has not run.
	retry time.Duration
	// close has the connection closed: what follows on it cannot be trusted.
	close bool
	// limit is set where the workspace is over its limit.
	limit *judged
}

// refuse writes a final answer of the system's own. 429 and 503 promise that the
// request has not run and never will.
func (q *request) refuse(f *refusal) {
	h := q.w.Header()
	if q.from != nil && q.verdict == verdict.NotRun {
		h.Set(headerRefused, string(f.code))
		if q.arrived() {
			h.Set(headerArrived, "1")
		}
	}
	if f.status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	if f.close {
		h.Set("Connection", "close")
	}
	if f.retry > 0 {
		h.Set("Retry-After", strconv.FormatFloat(f.retry.Seconds(), 'f', 2, 64))
	}
	if q.call.ID != "" {
		h.Set("X-Request-Id", q.call.ID)
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	body := string(f.code) + "\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	q.w.WriteHeader(f.status)
	// The caller may have left; there is nothing more to tell it.
	_, _ = q.w.Write([]byte(body))
	q.count(f)
	q.tell(f)
}

// tell logs a final answer of the system's own, with what it was judged by.
func (q *request) tell(f *refusal) {
	more := zap.Skip()
	if f.limit != nil {
		more = zap.Object("limit", f.limit)
	}
	q.g.o.Log.Info("refused", zap.String("id", q.call.ID), zap.Int("status", f.status), zap.String("code", string(f.code)),
		zap.Stringer("verdict", q.verdict), zap.Int("sends", q.sends), zap.Duration("after", time.Since(q.began)),
		zap.String("service", q.service), zap.String("workspace", q.workspaceName()), zap.Bool("passed", q.from != nil), more)
}

// count counts a final answer of the system's own.
func (q *request) count(f *refusal) {
	m := q.g.o.Metrics
	switch {
	case q.verdict == verdict.Ran:
		m.FailedRan.Inc(1)
	case q.verdict == verdict.MayHaveRun:
		m.FailedMayHaveRun.Inc(1)
	default:
		m.Refused.Inc(1)
		q.reason(f.code).Inc(1)
	}
}

// reason is the counter of a refusal.
func (q *request) reason(code verdict.Code) gometrics.Counter {
	m := q.g.o.Metrics
	switch code {
	case CodeNoTarget:
		return m.RefusedNoTarget
	case CodeNoView:
		return m.RefusedNoView
	case CodeLeaving:
		return m.RefusedLeaving
	case CodeKiller:
		return m.RefusedKiller
	case CodeOverloaded:
		return m.RefusedOverloaded
	case CodeKey:
		return m.RefusedKey
	case CodeLimit:
		return m.RefusedLimit
	case CodeNoHome:
		return m.RefusedNoHome
	}
	return m.RefusedOther
}

// giveUp gives the final answer when no attempt has ended in one.
func (q *request) giveUp(code verdict.Code) {
	switch {
	case q.begun:
		// The answer must not look complete.
		q.g.o.Metrics.CutAnswers.Inc(1)
		q.g.o.Log.Info("broke off", zap.String("id", q.call.ID), zap.String("code", string(code)),
			zap.Duration("after", time.Since(q.began)), zap.Int("sends", q.sends))
		panic(http.ErrAbortHandler)
	case q.r.Context().Err() != nil:
		q.g.o.Metrics.CallersGone.Inc(1)
		q.g.o.Log.Debug("caller left", zap.String("id", q.call.ID), zap.Duration("after", time.Since(q.began)))
		panic(http.ErrAbortHandler)
	case q.held != nil:
		q.deliver(q.held)
	case q.verdict == verdict.NotRun:
		q.refuse(&refusal{status: http.StatusServiceUnavailable, code: code, retry: place.RetryAfter(place.Busy, time.Until(q.until))})
	case time.Now().Before(q.until):
		q.refuse(&refusal{status: http.StatusBadGateway, code: code})
	default:
		q.refuse(&refusal{status: http.StatusGatewayTimeout, code: code})
	}
}
