package loads

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/coord/link"
	"github.com/gullhaven/gullhaven/coord/ring"
	"github.com/gullhaven/gullhaven/ports"
	"github.com/gullhaven/gullhaven/route"
)

// Channel is the link channel of observations.
const Channel = "loads"

const (
	// ringSize bounds the messages and poll results that wait for the loop. A
	// dropped observation is replaced by the next one.
	ringSize = 1024
	// pollTimeout bounds one poll.
	pollTimeout = 500 * time.Millisecond
	// eventInterval is the time between two reads of an engine's cache events.
	eventInterval = time.Second
)

// Sink receives the observations; *pipeline.Routing implements it.
type Sink interface {
	Report(route.Report)
	CacheEvent(route.CacheEvent)
	SetTargets([]route.TargetSpec)
}

// Options of a Service.
type Options struct {
	Self    string
	Hub     *link.Hub
	Engines ports.Engines
	Sink    Sink
	Log     *zap.Logger
}

// pollResult is the result of a poll.
type pollResult struct {
	target string
	report ports.LoadReport
	events []ports.CacheEvent
	err    error
}

// Service runs a Table with one loop, and one goroutine for each pending poll.
type Service struct {
	o           Options
	inbox       *ring.Ring[[]byte]
	pollResults *ring.Ring[pollResult]

	mu              sync.Mutex
	table           *Table
	specs           []route.TargetSpec
	members         []string
	publishedStates map[route.TargetID]route.State
	events          map[string]eventCursor
}

// eventCursor is the position up to which the events of an engine were read.
type eventCursor struct {
	seq    uint64
	readAt time.Time
}

// New returns a Service and registers its channel at the hub.
func New(o Options) *Service {
	s := &Service{
		o:               o,
		inbox:           ring.New[[]byte](ringSize),
		pollResults:     ring.New[pollResult](ringSize),
		table:           NewTable(o.Self),
		publishedStates: map[route.TargetID]route.State{},
		events:          map[string]eventCursor{},
	}
	o.Hub.Handle(Channel, s.receive)
	return s
}

// SetTargets replaces the targets of the region: specs are all targets, engines the
// ones to poll.
func (s *Service) SetTargets(specs []route.TargetSpec, engines []Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.specs = specs
	s.table.SetTargets(engines)
	s.overlay(time.Now(), true)
}

// SetMembers replaces the live instances of the region, this one included.
func (s *Service) SetMembers(members []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members = members
	s.table.SetMembers(members)
}

// SetLeaving replaces the targets that the platform lists as leaving.
func (s *Service) SetLeaving(ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.SetLeaving(ids)
	s.overlay(time.Now(), false)
}

// LastObservation returns the last observation of an engine and when it was received or made
// here; zero values if there is none.
func (s *Service) LastObservation(target string) (Observation, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.LastObservation(target)
}

// States returns the targets of the region with their states in force.
func (s *Service) States() []route.TargetSpec {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Overlay(time.Now(), s.specs)
}

// UnknownTargets returns the number of rows dropped as their target is not in the bundle.
func (s *Service) UnknownTargets() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.UnknownTargets()
}

// Refused returns the number of messages and poll results dropped as their ring was full.
func (s *Service) Refused() uint64 { return s.inbox.Stats().Refused + s.pollResults.Stats().Refused }

func (s *Service) receive(_ string, data []byte) { s.inbox.TryPush(data) }

// Run polls and shares until ctx ends.
func (s *Service) Run(ctx context.Context) {
	poll := time.NewTicker(PollInterval / 4)
	defer poll.Stop()
	share := time.NewTicker(tickInterval)
	defer share.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-poll.C:
			s.pollDue(ctx)
		case <-share.C:
			s.share()
		case data := <-s.inbox.C():
			s.handleMessage(data)
		case p := <-s.pollResults.C():
			s.handlePollResult(p)
		}
	}
}

func (s *Service) pollDue(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, t := range s.table.Due(now) {
		cursor := s.events[t.ID]
		withEvents := now.Sub(cursor.readAt) >= eventInterval
		if withEvents {
			cursor.readAt = now
			s.events[t.ID] = cursor
		}
		go s.poll(ctx, t, cursor.seq, withEvents)
	}
	s.overlay(now, false)
}

// poll polls one engine, and reads its cache events after a sequence number if withEvents.
func (s *Service) poll(ctx context.Context, t Target, after uint64, withEvents bool) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	engine := s.o.Engines.Engine(t.Address)
	p := pollResult{target: t.ID}
	p.report, p.err = engine.Load(ctx)
	if p.err == nil && withEvents {
		// Events are hints: without them affinity uses this instance's own attempts.
		p.events, _ = engine.CacheEvents(ctx, after)
	}
	s.pollResults.TryPush(p)
}

// handlePollResult applies the result of a poll. The other members get it with the next share.
func (s *Service) handlePollResult(p pollResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if o, known := s.table.HandlePoll(now, p.target, p.report, p.err); known {
		s.learn(now, o)
	}
	for _, e := range p.events {
		s.learnEvent(cacheEvent{p.target, e})
		s.table.QueueEvent(p.target, e)
	}
}

// share sends what is due to the other members.
func (s *Service) share() {
	s.mu.Lock()
	data, err := s.table.Share(time.Now())
	members := slices.Clone(s.members)
	s.mu.Unlock()
	if err != nil {
		s.o.Log.Error("cannot encode load observations", zap.Error(err))
		return
	}
	if data == nil {
		return
	}
	for _, m := range members {
		if m != s.o.Self {
			s.o.Hub.Send(m, Channel, data)
		}
	}
}

// handleMessage applies a message of another member.
func (s *Service) handleMessage(data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	observations, events, err := s.table.HandleMessage(now, data)
	if err != nil {
		s.o.Log.Debug("malformed load observations", zap.Error(err))
		return
	}
	for _, o := range observations {
		s.learn(now, o)
	}
	for _, e := range events {
		s.learnEvent(e)
	}
}

func (s *Service) learn(now time.Time, o Observation) {
	if o.State != route.Down {
		s.o.Sink.Report(ReportOf(now, o))
	}
	s.overlay(now, false)
}

// learnEvent also moves the cursor on, so that the next owner goes on from here.
func (s *Service) learnEvent(e cacheEvent) {
	cursor := s.events[e.target]
	cursor.seq = max(cursor.seq, e.event.Seq)
	s.events[e.target] = cursor
	s.o.Sink.CacheEvent(route.CacheEvent{
		Target:  route.TargetID(e.target),
		Seq:     e.event.Seq,
		Stored:  e.event.Stored,
		Evicted: e.event.Evicted,
	})
}

// overlay passes the targets to routing if a state changed, or in any case with force.
func (s *Service) overlay(now time.Time, force bool) {
	specs := s.table.Overlay(now, s.specs)
	changed := force
	for _, spec := range specs {
		if old, known := s.publishedStates[spec.ID]; !known || old != spec.State {
			s.publishedStates[spec.ID] = spec.State
			changed = true
			if known {
				s.o.Log.Info("target changed state", zap.String("target", string(spec.ID)), zap.Stringer("state", spec.State))
			}
		}
	}
	if changed {
		s.o.Sink.SetTargets(specs)
	}
}
