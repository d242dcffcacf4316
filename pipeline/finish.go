package pipeline

import (
	"errors"
	"net/http"
	"time"

	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/route"
)

// Outcome is what an Observer is told of a request.
type Outcome struct {
	ID        string
	Workspace string
	// Service is empty if it was not found out.
	Service string
	Arrival time.Time
	// FirstByte is the time from arrival to the first byte of the answer; 0 if
	// there was none. Took is the time to the end.
	FirstByte, Took time.Duration
	// AtTarget is the time from sending to end, summed over all sendings of this
	// instance, hedges and moves included; 0 if nothing was sent.
	TargetTime time.Duration
	// Chunks passed on.
	Chunks  int
	Verdict verdict.Verdict
	// Code is empty for a whole answer.
	Code verdict.Code
	// Target is empty if nothing was sent; Region is where it was spilled to.
	Target      route.TargetID
	SpillRegion string
	// Peer is the instance that passed the request on; empty for a caller's own.
	Peer string
	// Kept says that the answer was whole, in time, and within the objective of
	// its service.
	MetObjective bool
}

// Counted reports whether the request says something of the service: one that
// failed by its caller's own doing does not.
func (o Outcome) CountsForObjective() bool {
	if o.Code == "" {
		return true
	}
	status := StatusOf(o.Code)
	return status < http.StatusBadRequest || status >= http.StatusInternalServerError
}

// Observer is told of each request's end. It must not block.
type Observer interface {
	Observe(o Outcome)
}

// Finish tells the caller a refusal, and counts each request's end.
type Finish struct{ deps *Deps }

// Serve runs the request and ends it.
func (f *Finish) Serve(x *Exchange, next Handler) error {
	f.deps.Metrics.Requests.Inc(1)
	err := next(x)
	if err == nil {
		f.whole(x)
		return nil
	}
	e := x.final(asError(err))
	f.count(e)
	f.observe(x, e)
	f.tell(x, e)
	return nil
}

// asError takes any error as one with a verdict. One without is a fault of
// ours, and says nothing of what ran.
func asError(err error) *verdict.Error {
	var e *verdict.Error
	if errors.As(err, &e) {
		return e
	}
	return &verdict.Error{Verdict: verdict.MayHaveRun, Code: CodeInternal, Message: "internal error", Err: err}
}

func (f *Finish) tell(x *Exchange, e *verdict.Error) {
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
	// An answer of known form that broke off can only be told from a whole one
	// by a broken connection.
	panic(http.ErrAbortHandler)
}

func (f *Finish) whole(x *Exchange) {
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
		TargetTime:  x.atTarget,
		Verdict:     verdict.Ran,
		Target:      x.target,
		SpillRegion: x.region,
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
	o.MetObjective = e == nil && x.inTime(now) && x.keptObjective(o)
	if f.deps.Observer != nil {
		f.deps.Observer.Observe(o)
	}
}

// inTime reports whether an answer that ended now kept what its request asked.
func (x *Exchange) inTime(now time.Time) bool {
	return !now.After(x.Deadline) && (x.FirstTokenBy.IsZero() || !x.firstByte.After(x.FirstTokenBy))
}

// keptObjective compares an answer with its service's objective: the first byte
// by itself, the time between chunks by its mean.
func (x *Exchange) keptObjective(o Outcome) bool {
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
