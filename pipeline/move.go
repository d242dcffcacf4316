package pipeline

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/gullhaven/gullhaven/ports"
	"github.com/gullhaven/gullhaven/route"
)

const (
	// moveTime bounds the pause of a stream that is being moved. If the move
	// takes longer the stream goes on where it is.
	moveTime = 3 * time.Second
	// moveAgain is the time between two tries to move a stream.
	moveAgain = time.Second
	// maxMoveTries bounds the tries that ask engines for something.
	maxMoveTries = 3
	// maxMoves bounds the streams of one instance that are being moved at once:
	// all those of a target become due in the same moment.
	maxMoves = 8
)

// errMoveTime is the cause of a move that took too long.
var errMoveTime = errors.New("the move took too long")

// moving takes the stream of one answer off a target that is leaving.
//
// A planned change waits for the requests in progress at its target, and a very
// long answer would hold it up for as long as it runs. So an answer that still
// runs when the bundle's drain_s has passed goes on at another target, which
// takes its KV cache over.
//
// The relay reads nothing more at the old engine from the export on. What the
// old engine makes after that may differ from what the new one makes (sampling),
// so the two must not be mixed: either the new engine goes on right after the
// last chunk passed on, or the move is given up and the old stream, which was
// open all the time, is read on. The old attempt is cancelled only when the
// first chunk of the new one is here.
type moving struct {
	f     *Attempts
	x     *Exchange
	tries int
	// after is when the next try may be made.
	after time.Time
}

// due reports whether the stream of attempt a is to be moved now. It is asked
// after each chunk; with no target leaving it costs one atomic load.
func (m *moving) due(a *attempt) bool {
	if m.f == nil {
		return false // passed on from another region, which moves it
	}
	since, leaving := m.f.routing.leavingSince(a.decision.Target)
	if !leaving || m.x.Once || a.alone || m.tries >= maxMoveTries {
		return false
	}
	drain := time.Duration(m.f.view().Bundle.Rules.DrainSeconds) * time.Second
	now := m.f.deps.Now()
	return !now.Before(since.Add(drain)) && !now.Before(m.after)
}

// moved is a stream that was taken up elsewhere.
type moved struct {
	attempt *attempt
	stream  ports.Stream
	first   ports.Chunk
	// ended says that the end mark came in place of a first chunk.
	ended bool
}

// try moves the stream of a, of which chunk last was passed on. It reports
// false if the stream stays where it is.
func (m *moving) try(a *attempt, last uint64) (moved, bool) {
	select {
	case m.f.moves <- struct{}{}:
		defer func() { <-m.f.moves }()
	default:
		return moved{}, false
	}
	m.after = m.f.deps.Now().Add(moveAgain)
	b, ok := m.place(a)
	if !ok {
		return moved{}, false
	}
	m.tries++
	got, err := m.takeUp(a, b, last)
	if err != nil {
		m.stay(b, err)
		return moved{}, false
	}
	m.f.deps.Metrics.MovedStreams.Inc(1)
	return got, true
}

// place chooses another target of this region.
func (m *moving) place(a *attempt) (*attempt, bool) {
	f := m.f
	b := f.newAttempt(m.rest(a))
	b.sent = a.sent
	b.decision = f.routing.Decide(b.route, b.query)
	if b.decision.Action != route.Send {
		return nil, false
	}
	if f.mayStart(m.x, b) != nil {
		f.routing.Ended(route.End{Attempt: b.route, Outcome: route.Cancelled, CachedTokens: -1})
		return nil, false
	}
	return b, true
}

// rest is the rest of the request as routing takes it: no prompt to prefill, and
// the answer less what was passed on.
func (m *moving) rest(a *attempt) *route.Request {
	q := *a.query
	q.PromptTokens = 1
	q.OutputTokens = max(1, q.OutputTokens-m.x.chunks)
	q.Prefix = nil
	q.FirstTokenBy = time.Time{}
	q.Regions = []string{m.x.View.Region}
	q.Forwarded = true
	q.Tried = append(m.f.routing.Reserved(), a.decision.Target)
	return &q
}

// takeUp brings the KV cache over and waits for the first chunk after last.
func (m *moving) takeUp(a, b *attempt, last uint64) (moved, error) {
	ctx, cancel := context.WithCancelCause(m.x.Ctx)
	t := time.AfterFunc(moveTime, func() { cancel(errMoveTime) })
	got, err := m.bring(ctx, a, b, last)
	inTime := t.Stop()
	switch {
	case err == nil && inTime:
		return got, nil
	case err == nil:
		m.f.closeStream(got.stream)
		err = errMoveTime
	case !inTime:
		// What the cancelling made of the calls is no fault of the engines.
		err = errMoveTime
	}
	cancel(err)
	return moved{}, err
}

func (m *moving) bring(ctx context.Context, a, b *attempt, last uint64) (moved, error) {
	old, next := m.f.deps.Engines.Engine(a.target.Address), m.f.deps.Engines.Engine(b.target.Address)
	kv, err := old.ExportKV(ctx, a.sent)
	if err != nil {
		return moved{}, notStarted(err)
	}
	defer kv.Close()
	m.f.start(m.x, b)
	if err := next.ImportKV(ctx, b.sent, kv); err != nil {
		return moved{}, err
	}
	stream, err := next.Resume(ctx, completionOf(m.x, b), last)
	if err != nil {
		return moved{}, err
	}
	got := moved{attempt: b, stream: stream}
	got.first, err = stream.Next()
	got.ended = err == io.EOF
	if err != nil && !got.ended {
		m.f.closeStream(stream)
		return moved{}, err
	}
	return got, nil
}

// moveNotStarted marks a move that ended before the new engine was asked.
type moveNotStarted struct{ cause error }

func notStarted(cause error) error { return &moveNotStarted{cause: cause} }

// Error tells the cause.
func (e *moveNotStarted) Error() string { return "move not started: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *moveNotStarted) Unwrap() error { return e.cause }

// stay ends the attempt at the target that the stream did not get to, and has
// its engine forget what was imported.
func (m *moving) stay(b *attempt, err error) {
	m.f.deps.Metrics.FailedMoves.Inc(1)
	var early *moveNotStarted
	if errors.As(err, &early) {
		m.f.routing.Ended(route.End{Attempt: b.route, Outcome: route.Cancelled, CachedTokens: -1})
		return
	}
	m.f.end(m.x, b, err)
	m.cancel(b)
}

// cancel ends an attempt at its engine, apart from the request. The closed
// connection does so as a rule; an engine behind a proxy may not see that.
func (m *moving) cancel(a *attempt) {
	ctx, done := context.WithTimeout(context.WithoutCancel(m.x.Ctx), moveTime)
	engine, sent := m.f.deps.Engines.Engine(a.target.Address), a.sent
	go func() {
		defer done()
		_ = engine.Cancel(ctx, sent)
	}()
}

// leave ends the attempt that was moved away from, as given up by this side.
func (m *moving) leave(a *attempt, stream ports.Stream) {
	f := m.f
	f.closeStream(stream)
	m.cancel(a)
	f.routing.Ended(route.End{Attempt: a.route, Outcome: route.Cancelled, OutputTokens: a.tokens, CachedTokens: -1})
	f.left(m.x, a, ports.AttemptOther)
}
