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
	// moveTimeout bounds the pause of a stream that is being moved. If the move
	// takes longer, the stream continues at its old target.
	moveTimeout = 3 * time.Second
	// moveRetryInterval is the time between two attempts to move a stream.
	moveRetryInterval = time.Second
	// maxMoveAttempts bounds the attempts to move one stream that call an engine.
	maxMoveAttempts = 3
	// maxMoves bounds the streams of one instance that are being moved at once,
	// as all streams of a target become due at the same time.
	maxMoves = 8
)

// errMoveTimeout is the cause of a move that took longer than moveTimeout.
var errMoveTimeout = errors.New("the move took too long")

// moving moves the stream of one answer off a target that is leaving.
//
// A planned change waits for the requests in progress at its target, and a very
// long answer would delay it for as long as it runs. So an answer that still
// runs when the bundle's drain_s has passed continues at another target, which
// imports its KV cache.
//
// From the export on, the relay reads nothing more from the old engine. What the
// old engine generates after that may differ from what the new one generates
// (sampling), so the two must not be mixed: either the new engine continues right
// after the last chunk that was relayed, or the move is given up and reading of
// the old stream, which stayed open, continues. The old attempt is cancelled only
// when the first chunk of the new one has come.
type moving struct {
	f        *Attempts
	x        *Exchange
	attempts int
	// retryAt is the earliest time of the next attempt.
	retryAt time.Time
}

// due reports whether the stream of attempt a is to be moved now. It is called
// after each chunk; with no target leaving it costs one atomic load.
func (m *moving) due(a *attempt) bool {
	if m.f == nil {
		return false // the answer of another region, which moves it
	}
	since, leaving := m.f.routing.leavingSince(a.decision.Target)
	if !leaving || m.x.Once || a.alone || m.attempts >= maxMoveAttempts {
		return false
	}
	drain := time.Duration(m.f.view().Bundle.Rules.DrainSeconds) * time.Second
	now := m.f.deps.Now()
	return !now.Before(since.Add(drain)) && !now.Before(m.retryAt)
}

// moved is a stream that was resumed at another target.
type moved struct {
	attempt *attempt
	stream  ports.Stream
	first   ports.Chunk
	// ended says that the end mark came instead of a first chunk.
	ended bool
}

// try moves the stream of a, whose last relayed chunk has the number last. It
// reports false if the stream stays at its target.
func (m *moving) try(a *attempt, last uint64) (moved, bool) {
	select {
	case m.f.moves <- struct{}{}:
		defer func() { <-m.f.moves }()
	default:
		return moved{}, false
	}
	m.retryAt = m.f.deps.Now().Add(moveRetryInterval)
	b, ok := m.chooseTarget(a)
	if !ok {
		return moved{}, false
	}
	m.attempts++
	got, err := m.transferWithTimeout(a, b, last)
	if err != nil {
		m.abandon(b, err)
		return moved{}, false
	}
	m.f.deps.Metrics.MovedStreams.Inc(1)
	return got, true
}

// chooseTarget chooses another target of this region.
func (m *moving) chooseTarget(a *attempt) (*attempt, bool) {
	f := m.f
	b := f.newAttempt(m.remainingRequest(a))
	b.engineID = a.engineID
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

// remainingRequest returns the rest of the request as routing takes it: no prompt
// to prefill, and the answer without the chunks that were relayed.
func (m *moving) remainingRequest(a *attempt) *route.Request {
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

// transferWithTimeout runs transfer for moveTimeout at most.
func (m *moving) transferWithTimeout(a, b *attempt, last uint64) (moved, error) {
	ctx, cancel := context.WithCancelCause(m.x.Ctx)
	t := time.AfterFunc(moveTimeout, func() { cancel(errMoveTimeout) })
	got, err := m.transfer(ctx, a, b, last)
	inTime := t.Stop()
	switch {
	case err == nil && inTime:
		return got, nil
	case err == nil:
		m.f.closeStream(got.stream)
		err = errMoveTimeout
	case !inTime:
		// An error that comes from the cancellation is no fault of the engines.
		err = errMoveTimeout
	}
	cancel(err)
	return moved{}, err
}

// transfer copies the KV cache to the new engine, resumes the stream there and
// waits for the first chunk after last.
func (m *moving) transfer(ctx context.Context, a, b *attempt, last uint64) (moved, error) {
	old, next := m.f.deps.Engines.Engine(a.target.Address), m.f.deps.Engines.Engine(b.target.Address)
	kv, err := old.ExportKV(ctx, a.engineID)
	if err != nil {
		return moved{}, notStarted(err)
	}
	defer kv.Close()
	m.f.start(m.x, b)
	if err := next.ImportKV(ctx, b.engineID, kv); err != nil {
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

// moveNotStarted marks a move that ended before the new engine was called.
type moveNotStarted struct{ cause error }

func notStarted(cause error) error { return &moveNotStarted{cause: cause} }

// Error returns the message with the cause.
func (e *moveNotStarted) Error() string { return "move not started: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *moveNotStarted) Unwrap() error { return e.cause }

// abandon ends the attempt at the target that the stream was not moved to, and
// has its engine drop what was imported.
func (m *moving) abandon(b *attempt, err error) {
	m.f.deps.Metrics.FailedMoves.Inc(1)
	var early *moveNotStarted
	if errors.As(err, &early) {
		m.f.routing.Ended(route.End{Attempt: b.route, Outcome: route.Cancelled, CachedTokens: -1})
		return
	}
	m.f.end(m.x, b, err)
	m.cancel(b)
}

// cancel ends an attempt at its engine, in a goroutine. A closed connection
// usually does so too, but an engine behind a proxy may not see that.
func (m *moving) cancel(a *attempt) {
	ctx, done := context.WithTimeout(context.WithoutCancel(m.x.Ctx), moveTimeout)
	engine, engineID := m.f.deps.Engines.Engine(a.target.Address), a.engineID
	go func() {
		defer done()
		_ = engine.Cancel(ctx, engineID)
	}()
}

// releaseSource ends the attempt that the stream was moved from, as cancelled.
func (m *moving) releaseSource(a *attempt, stream ports.Stream) {
	f := m.f
	f.closeStream(stream)
	m.cancel(a)
	f.routing.Ended(route.End{Attempt: a.route, Outcome: route.Cancelled, OutputTokens: a.tokens, CachedTokens: -1})
	f.leftTarget(m.x, a, ports.AttemptOther)
}
