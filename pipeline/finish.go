package pipeline

import (
	"errors"
	"net/http"
	"time"

	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/route"
)

// Outcome describes a request that has ended.
type Outcome struct {
	ID        string
	Workspace string
	// Service is empty if the request ended before it was known.
	Service string
	Arrival time.Time
	// FirstByte is the time from arrival to the first byte of the answer; 0 if
	// there was none. Took is the time from arrival to the end.
	FirstByte, Took time.Duration
	// TargetTime is the time from start to end, summed over all attempts of this
	// instance, hedges and moves included; 0 if there was none.
	TargetTime time.Duration
	// Chunks is the number of chunks relayed to the caller.
	Chunks  int
	Verdict verdict.Verdict
	// Code is empty for a whole answer.
	Code verdict.Code
	// Target is empty if nothing was sent to one. SpillRegion is the region that
	// the request was spilled to, if any.
	Target      route.TargetID
	SpillRegion string
	// Peer is the instance that forwarded the request; empty for a caller's own.
	Peer string
	// MetObjective says that the answer was whole, in time, and within the
	// objective of its service.
	MetObjective bool
}

// CountsForObjective reports whether the request counts for or against its
// service's objective. One that failed by its caller's own fault does not.
func (o Outcome) CountsForObjective() bool {
	if o.Code == "" {
		return true
	}
	status := StatusOf(o.Code)
	return status < http.StatusBadRequest || status >= http.StatusInternalServerError
}

// Observer receives the outcome of each request. Observe must not block.
type Observer interface {
	Observe(o Outcome)
}

// Finish sends refusals and failures to the caller, and counts and reports each
// request's end.
type Finish struct{ deps *Deps }

// Serve runs the request and finishes it. It always returns nil.
func (f *Finish) Serve(x *Exchange, next Handler) error {
	f.deps.Metrics.Requests.Inc(1)
	err := next(x)
	if err == nil {
		f.succeeded(x)
		return nil
	}
	e := x.finalError(asError(err))
	f.count(e)
	f.observe(x, e)
	f.respond(x, e)
	return nil
}

// asError returns err as a *verdict.Error. An error without a verdict is an
// internal fault, after which the request may have run.
func asError(err error) *verdict.Error {
	var e *verdict.Error
	if errors.As(err, &e) {
		return e
	}
	return &verdict.Error{Verdict: verdict.MayHaveRun, Code: CodeInternal, Message: "internal error", Err: err}
}

func (f *Finish) respond(x *Exchange, e *verdict.Error) {
	if !x.headWritten {
		WriteRefusal(x.W, e)
		return
	}
	f.deps.Metrics.CutAnswers.Inc(1)
	if x.streamed() {
		_, _ = x.W.Write(errorEvent(e))
		_ = http.NewResponseController(x.W).Flush()
		return
	}
	// Only a broken connection tells the caller that an answer whose head was
	// sent is not whole.
	panic(http.ErrAbortHandler)
}

func (f *Finish) succeeded(x *Exchange) {
	f.deps.Metrics.Answered.Inc(1)
	if x.replayed {
		f.deps.Metrics.Replayed.Inc(1)
	}
	f.observe(x, nil)
}

func (f *Finish) count(e *verdict.Error) {
	m := f.deps.Metrics
	switch {
	case e.Code == CodeCallerGone:
		m.CallersGone.Inc(1)
	case e.Verdict == verdict.NotRun:
		m.Refused.Inc(1)
	case e.Verdict == verdict.MayHaveRun:
		m.FailedMayHaveRun.Inc(1)
	default:
		m.FailedRan.Inc(1)
	}
}

func (f *Finish) observe(x *Exchange, e *verdict.Error) {
	now := f.deps.Now()
	o := Outcome{
		ID:          x.ID,
		Arrival:     x.Arrival,
		Took:        now.Sub(x.Arrival),
		Chunks:      x.chunks,
		TargetTime:  x.targetTime,
		Verdict:     verdict.Ran,
		Target:      x.target,
		SpillRegion: x.spillRegion,
		Peer:        x.Peer,
	}
	if !x.firstByte.IsZero() {
		o.FirstByte = x.firstByte.Sub(x.Arrival)
		f.deps.Metrics.FirstByteTime.Update(o.FirstByte)
	}
	f.deps.Metrics.Chunks.Inc(int64(x.chunks))
	if e != nil {
		o.Verdict, o.Code = e.Verdict, e.Code
	} else {
		f.deps.Metrics.AnswerTime.Update(o.Took)
	}
	if x.Workspace != nil {
		o.Workspace = x.Workspace.ID
	}
	if x.Service != nil {
		o.Service = x.Service.ID
	}
	o.MetObjective = e == nil && x.inTime(now) && x.metObjective(o)
	if f.deps.Observer != nil {
		f.deps.Observer.Observe(o)
	}
}

// inTime reports whether an answer that ended at now met the deadline and the
// first-token time of its request.
func (x *Exchange) inTime(now time.Time) bool {
	return !now.After(x.Deadline) && (x.FirstTokenBy.IsZero() || !x.firstByte.After(x.FirstTokenBy))
}

// metObjective reports whether an answer met its service's objective for the
// time to the first byte and for the mean time between chunks.
func (x *Exchange) metObjective(o Outcome) bool {
	objective := x.Service.Objective
	if first := objective.FirstTokenMillis; first > 0 && o.FirstByte > millis(first) {
		return false
	}
	if between := objective.BetweenTokensMillis; between > 0 && x.streamed() && o.Chunks > 1 {
		return (o.Took-o.FirstByte)/time.Duration(o.Chunks-1) <= millis(between)
	}
	return true
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
