package pipeline

import (
	"context"
	"errors"
	"io"

	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/ports"
)

// maxResumes bounds how often one answer's stream is resumed.
const maxResumes = 2

// openResult is an attempt with its first chunk, or with the error instead.
type openResult struct {
	attempt *attempt
	stream  ports.Stream
	first   ports.Chunk
	err     error
}

// sendModel sends a completion and relays its answer.
func (f *Attempts) sendModel(x *Exchange, a *attempt) error {
	var o openResult
	if x.Once || a.decision.HedgeAt.IsZero() {
		o = f.open(x.Ctx, completionOf(x, a), a)
	} else {
		o = f.openHedged(x, a)
	}
	x.target = o.attempt.decision.Target
	err := f.relayOpened(x, o)
	f.end(x, o.attempt, err)
	return err
}

func (f *Attempts) relayOpened(x *Exchange, o openResult) error {
	if o.err != nil {
		return f.resumeBeforeFirstChunk(x, o)
	}
	f.routing.FirstToken(o.attempt.route)
	return f.relay(x, o)
}

func completionOf(x *Exchange, a *attempt) ports.Completion {
	return ports.Completion{
		Attempt:  a.engineID,
		Chat:     x.Kind == KindChat,
		Stream:   x.Request.Stream,
		Body:     x.Body,
		Priority: x.Terms.Priority,
		Deadline: x.Deadline,
		Once:     x.Once,
	}
}

// open sends a completion and waits for the first chunk.
func (f *Attempts) open(ctx context.Context, m ports.Completion, a *attempt) openResult {
	o := openResult{attempt: a}
	o.stream, o.err = f.deps.Engines.Engine(a.target.Address).Complete(ctx, m)
	if o.err != nil {
		f.countWrongAnswer(o.err)
		return o
	}
	o.first, o.err = o.stream.Next()
	if o.err == io.EOF {
		o.err = verdict.New(verdict.Ran, ports.CodeTargetError, "the target gave an empty answer")
	}
	if o.err != nil {
		f.closeStream(o.stream)
		o.stream = nil
	}
	return o
}

// resumeBeforeFirstChunk resumes a stream that broke off before its first chunk,
// where the request may run at most once. Other requests are retried instead.
func (f *Attempts) resumeBeforeFirstChunk(x *Exchange, o openResult) error {
	if !x.Once || !x.streamed() || !resumable(o.err) {
		return o.err
	}
	return f.relay(x, o)
}

// relay relays an answer to the caller and resumes it when its stream is cut.
func (f *Attempts) relay(x *Exchange, o openResult) error {
	r := newRelay(x, o.attempt)
	r.moving = moving{f: f, x: x}
	err := o.err
	if err == nil {
		r.stream = o.stream
		err = r.relayStream(o.first)
		f.closeStream(r.stream)
	}
	for n := 0; n < maxResumes && x.streamed() && resumable(err) && x.Ctx.Err() == nil; n++ {
		resumed, ok := f.resume(x, o.attempt, r)
		if !ok {
			return err
		}
		err = resumed
	}
	return err
}

// resume resumes the stream after the last chunk that was relayed, and relays
// the rest. It reports false if the engine can't resume it.
func (f *Attempts) resume(x *Exchange, a *attempt, r *relay) (error, bool) {
	engine := f.deps.Engines.Engine(a.target.Address)
	stream, err := engine.Resume(x.Ctx, completionOf(x, a), r.last)
	if err != nil {
		return nil, false
	}
	r.stream = stream
	defer func() { f.closeStream(r.stream) }()
	f.deps.Metrics.Resumes.Inc(1)
	first, err := stream.Next()
	if err == io.EOF {
		return r.end(), true
	}
	if err != nil {
		return err, true
	}
	return r.relayStream(first), true
}

// resumable reports whether the engine may still have the rest of an answer.
func resumable(err error) bool {
	var e *verdict.Error
	if !errors.As(err, &e) {
		return false
	}
	return e.Code == ports.CodeStreamCut || e.Code == ports.CodeStreamGap
}

func (f *Attempts) closeStream(s ports.Stream) {
	c := s.Counts()
	m := f.deps.Metrics
	m.Duplicates.Inc(int64(c.Duplicates))
	m.Reordered.Inc(int64(c.Reordered))
	m.Foreign.Inc(int64(c.Foreign))
	_ = s.Close()
}

func (f *Attempts) countWrongAnswer(err error) {
	if asError(err).Code == ports.CodeWrongAnswer {
		f.deps.Metrics.WrongAnswers.Inc(1)
	}
}
