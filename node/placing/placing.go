// Package placing runs a region's placement.Planner: it polls the engines, sends
// orders and warm-ups, and passes their results to the planner.
//
// The service runs at each voter of the region's group; only the leader polls and
// sends orders. One loop owns the planner. Each pending poll, order and warm-up has
// a goroutine, whose result returns through a bounded ring. If the ring is full the
// result is dropped; the planner then counts the order as unanswered, which is safe.
package placing

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/bundle"
	"github.com/gullhaven/gullhaven/coord/replhost"
	"github.com/gullhaven/gullhaven/coord/replog"
	"github.com/gullhaven/gullhaven/coord/ring"
	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/placement"
	"github.com/gullhaven/gullhaven/ports"
)

const (
	// ringSize bounds the results that wait for the loop.
	ringSize = 4096
	// defaultTick is the time between two checks of the lease.
	defaultTick = 100 * time.Millisecond
	// pollTimeout bounds one poll.
	pollTimeout = time.Second
)

// Leadership tells whether this instance leads its region.
type Leadership interface {
	// Term returns the fencing number under which this instance was the leader at
	// a moment after the call began, so that no newer leader existed before the
	// call. ok is false if it is not the leader.
	Term() (fence uint64, ok bool)
}

// GroupLeadership is the leadership of a region's replicated group.
type GroupLeadership struct{ Node *replhost.Node }

// Term returns the term of the group's log while its lease is held. The term is
// read before and after the lease: if it were read once, the lease could belong to
// another term, with other leaders in between. A leader has committed in its term
// before it has a lease.
func (g GroupLeadership) Term() (uint64, bool) {
	before, ok := g.leads()
	if !ok || g.Node.LeaseUntil().IsZero() {
		return 0, false
	}
	after, ok := g.leads()
	return after, ok && before == after
}

func (g GroupLeadership) leads() (uint64, bool) {
	s := g.Node.Status()
	return s.Core.Term, s.State == replhost.Running && s.Core.Role == replog.Leader
}

// Options of a Service.
type Options struct {
	Region     string
	Engines    ports.Engines
	Leadership Leadership
	Log        *zap.Logger
	// Planner sets the planner's times; its Region is overwritten by the one above.
	Planner placement.Options
	// Tick is the time between two checks of the lease; default 100 ms.
	Tick time.Duration
}

// Service runs a Planner.
type Service struct {
	o       Options
	results *ring.Ring[placement.Event]
	// desired waits for the loop; a later bundle replaces it.
	desired atomic.Pointer[placement.Desired]

	mu      sync.Mutex
	planner *placement.Planner
	logged  loggedStatus
}

// loggedStatus is the status that was logged last.
type loggedStatus struct {
	leading bool
	targets map[string]placement.TargetStatus
}

// New returns a Service.
func New(o Options) *Service {
	if o.Tick <= 0 {
		o.Tick = defaultTick
	}
	o.Planner.Region = o.Region
	return &Service{
		o:       o,
		results: ring.New[placement.Event](ringSize),
		planner: placement.New(o.Planner),
		logged:  loggedStatus{targets: map[string]placement.TargetStatus{}},
	}
}

// SetBundle replaces the bundle in force. It may be called from any goroutine.
func (s *Service) SetBundle(b *bundle.Bundle) {
	d := placement.DesiredFor(b, s.o.Region)
	s.desired.Store(&d)
}

// Status returns the planner's state.
func (s *Service) Status() placement.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.planner.Status()
}

// ResultStats returns the counters of the ring of results.
func (s *Service) ResultStats() ring.Stats { return s.results.Stats() }

// Run polls and sends orders while this instance is the leader, until ctx ends. It
// returns once all pending calls have ended.
func (s *Service) Run(ctx context.Context) {
	var pending sync.WaitGroup
	defer pending.Wait()
	tick := time.NewTicker(s.o.Tick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if d := s.desired.Swap(nil); d != nil {
				s.step(ctx, &pending, placement.SetDesired{Desired: *d})
			}
			s.step(ctx, &pending, s.lease())
			s.report()
		case e := <-s.results.C():
			s.step(ctx, &pending, e)
		}
	}
}

// lease returns the leadership as an event. The time is read before the leadership.
func (s *Service) lease() placement.Event {
	at := time.Now()
	if fence, ok := s.o.Leadership.Term(); ok {
		return placement.LeaseHeld{Fence: fence, At: at}
	}
	return placement.LeaseLost{}
}

// step steps the planner and starts the effects that it returns. The clock is read
// before the planner decides and again right before each order is written, as the
// process may have been suspended in between for any time.
func (s *Service) step(ctx context.Context, pending *sync.WaitGroup, e placement.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, effect := range s.planner.Step(time.Now(), e) {
		pending.Go(func() { s.results.TryPush(s.execute(ctx, effect)) })
	}
}

// execute executes one effect and returns its result.
func (s *Service) execute(ctx context.Context, effect placement.Effect) placement.Event {
	switch e := effect.(type) {
	case placement.Send:
		return s.send(ctx, e)
	case placement.WarmUp:
		return s.warmUp(ctx, e)
	case placement.Poll:
		return s.poll(ctx, e)
	}
	return placement.Tick{}
}

func (s *Service) poll(ctx context.Context, p placement.Poll) placement.Event {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	r, err := s.o.Engines.Engine(p.Address).Load(ctx)
	if err != nil {
		return placement.Observed{Target: p.Target, PolledAt: p.PolledAt}
	}
	return placement.Observed{Target: p.Target, PolledAt: p.PolledAt, Report: &r}
}

// send sends an order. The engine's client rejects one that has expired right before
// it is written, and stops waiting at its expiry.
func (s *Service) send(ctx context.Context, e placement.Send) placement.Event {
	_, err := s.o.Engines.Engine(e.Address).Order(ctx, e.Order)
	return placement.OrderEnded{Target: e.Target, ID: e.Order.ID, Outcome: outcomeOf(err)}
}

// outcomeOf returns the outcome of an order. An order that isn't known to have missed
// the engine counts as unanswered, as it may have reached it.
func outcomeOf(err error) placement.Outcome {
	var e *verdict.Error
	switch {
	case err == nil:
		return placement.OrderAccepted
	case !errors.As(err, &e):
		return placement.OrderUnanswered
	case e.Code == ports.CodeOldFence:
		return placement.OrderOldFence
	case e.Code == ports.CodeOrderExpired:
		return placement.OrderExpired
	case e.Verdict != verdict.NotRun:
		return placement.OrderUnanswered
	case e.Code == ports.CodeInvalid:
		return placement.OrderInvalid
	default:
		return placement.OrderNotSent
	}
}

// warmUpRequest is a minimal request of the OpenAI API.
type warmUpRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// warmUp sends one short request to an engine and reads the whole answer.
func (s *Service) warmUp(ctx context.Context, e placement.WarmUp) placement.Event {
	ctx, cancel := context.WithTimeout(ctx, s.planner.Options().WarmUpTime)
	defer cancel()
	end := placement.WarmUpEnded{Target: e.Target, Number: e.Number, Outcome: placement.WarmUpFailed}
	body, err := json.Marshal(warmUpRequest{Model: e.Service, Prompt: "warm-up", MaxTokens: 1, Stream: true})
	if err != nil {
		return end
	}
	stream, err := s.o.Engines.Engine(e.Address).Complete(ctx, ports.Completion{
		Attempt: ports.AttemptID("warm-up-" + e.Target + "-" + strconv.FormatUint(e.Number, 10) + "-" + strconv.FormatInt(time.Now().UnixNano(), 36)),
		Stream:  true,
		Body:    body,
	})
	if err == nil {
		err = readAll(stream)
	}
	end.Outcome = warmUpOutcomeOf(err)
	return end
}

// readAll reads a stream to its end; nil means that the answer was complete.
func readAll(stream ports.Stream) error {
	defer stream.Close()
	for {
		if _, err := stream.Next(); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
	}
}

func warmUpOutcomeOf(err error) placement.WarmUpOutcome {
	var e *verdict.Error
	switch {
	case err == nil:
		return placement.WarmUpAnswered
	case errors.As(err, &e) && e.Code == ports.CodeRejected:
		return placement.WarmUpRefused
	default:
		return placement.WarmUpFailed
	}
}

// report logs changes of the planner's status.
func (s *Service) report() {
	status := s.Status()
	if status.Leading != s.logged.leading {
		s.logged.leading = status.Leading
		s.o.Log.Info("placement leadership changed", zap.Bool("leading", status.Leading), zap.Uint64("fence", status.Fence))
	}
	for _, t := range status.Targets {
		old := s.logged.targets[t.Target]
		if old.Phase == t.Phase && (old.Blocked == t.Blocked || !needsOperator(t.Blocked)) {
			continue
		}
		s.logged.targets[t.Target] = t
		s.o.Log.Info("placement of a target changed", zap.String("target", t.Target),
			zap.String("phase", string(t.Phase)), zap.String("blocked", string(t.Blocked)))
	}
}

// needsOperator reports whether a target may stay blocked until an operator acts.
func needsOperator(b placement.Blocked) bool {
	return b == placement.BlockedDrainOverdue || b == placement.BlockedDrainedElsewhere
}
