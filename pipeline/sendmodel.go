package pipeline

import (
	"context"
	"errors"
	"io"

	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/ports"
)

// maxResumes bounds how often one answer's stream is taken up again.
const maxResumes = 2

// opened is an attempt whose first chunk came, or its failure.
type opened struct {
	attempt *attempt
	stream  ports.Stream
	first   ports.Chunk
	err     error
}

// sendModel sends a completion and relays its answer.
func (f *Attempts) sendModel(x *Exchange, a *attempt) error {
	var o opened
	if x.Once || a.decision.HedgeAt.IsZero() {
		o = f.open(x.Ctx, completionOf(x, a), a)
	} else {
		o = f.openHedged(x, a)
	}
	x.target = o.attempt.decision.Target
	err := f.passOn(x, o)
	f.end(x, o.attempt, err)
	return err
}

func (f *Attempts) passOn(x *Exchange, o opened) error {
	if o.err != nil {
		return f.firstChunkLost(x, o)
	}
	f.routing.FirstToken(o.attempt.route)
	return f.relay(x, o)
}

func completionOf(x *Exchange, a *attempt) ports.Completion {
	return ports.Completion{
		Attempt:  a.sent,
		Chat:     x.Kind == KindChat,
		Stream:   x.Request.Stream,
		Body:     x.Body,
		Priority: x.Terms.Priority,
		Deadline: x.Deadline,
		Once:     x.Once,
	}
}

// open sends and waits for the first chunk.
func (f *Attempts) open(ctx context.Context, m ports.Completion, a *attempt) opened {
	o := opened{attempt: a}
	o.stream, o.err = f.deps.Engines.Engine(a.target.Address).Complete(ctx, m)
	if o.err != nil {
		f.countWrong(o.err)
		return o
	}
	o.first, o.err = o.stream.Next()
	if o.err == io.EOF {
		o.err = verdict.New(verdict.Ran, ports.CodeTarget, "the target gave an empty answer")
	}
	if o.err != nil {
		f.closeStream(o.stream)
		o.stream = nil
	}
	return o
}

// firstChunkLost takes up work that may run only once and whose answer broke
// off before its first chunk. Other work is sent anew instead.
func (f *Attempts) firstChunkLost(x *Exchange, o opened) error {
	if !x.Once || !x.streamed() || !resumable(o.err) {
		return o.err
	}
	return f.relay(x, o)
}

// relay passes an answer on and takes it up again when its stream is cut.
func (f *Attempts) relay(x *Exchange, o opened) error {
	r := newRelay(x, o.attempt)
	r.moving = moving{f: f, x: x}
	err := o.err
	if err == nil {
		r.stream = o.stream
		err = r.pass(o.first)
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

// resume takes up the stream after the last chunk passed on. It reports false
// if the engine can't.
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
	return r.pass(first), true
}

// resumable reports whether the rest of an answer may still be had.
func resumable(err error) bool {
	var e *verdict.Error
	if !errors.As(err, &e) {
		return false
	}
	return e.Code == ports.CodeCut || e.Code == ports.CodeGap
}

func (f *Attempts) closeStream(s ports.Stream) {
	c := s.Counts()
	m := f.deps.Metrics
	m.Duplicates.Inc(int64(c.Duplicates))
	m.Reordered.Inc(int64(c.Reordered))
	m.Foreign.Inc(int64(c.Foreign))
	_ = s.Close()
}

func (f *Attempts) countWrong(err error) {
	if asError(err).Code == ports.CodeWrongAnswer {
		f.deps.Metrics.WrongAnswers.Inc(1)
	}
}
