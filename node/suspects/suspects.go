// Package suspects shares among a region's instances which requests may have crashed
// targets (suspects), and runs a suspect alone on a target (package coord/suspect).
//
// The first relay of the region owns the lone runs: before a suspect runs on a target,
// the owner has every instance hold the target, that is, send no other requests to it.
package suspects

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/coord/link"
	"github.com/gullhaven/gullhaven/coord/suspect"
	"github.com/gullhaven/gullhaven/node/duty"
	"github.com/gullhaven/gullhaven/ports"
	"github.com/gullhaven/gullhaven/route"
)

// Link channels.
const (
	channelEntries = "suspects"
	channelReserve = "suspects-reserve"
	channelRelease = "suspects-release"
	channelHold    = "suspects-hold"
)

const (
	// serveWorkers is the number of calls of each kind that are served concurrently.
	serveWorkers = 8
	// publishTimeout bounds the wait for the others to learn of a crash. It delays
	// the requests in flight, once for each crash.
	publishTimeout = 300 * time.Millisecond
	// holdTimeout bounds the wait for the others to hold a target.
	holdTimeout = 500 * time.Millisecond
	// loneRunTimeout bounds a lone run including the wait for its target.
	loneRunTimeout = 2 * time.Minute
	// idleInterval is the time between two checks whether a target is idle.
	idleInterval = 50 * time.Millisecond
	// expireInterval is the time between two expirations of entries and holds.
	expireInterval = time.Second
)

// Region is the state of the region that the service reads.
type Region interface {
	// Others returns the live instances except this one.
	Others() []string
	// Owner returns the instance that owns the lone runs, "" if none is known.
	Owner() string
	// Incarnation returns the number of a target's incarnation, the same at all
	// instances.
	Incarnation(target string) uint64
	// Candidates returns the warm targets of a service, least loaded first.
	Candidates(service string) []string
	// Idle asks a target whether it runs nothing.
	Idle(ctx context.Context, target string) bool
}

// Holder excludes targets from routing of other requests; *pipeline.Routing implements it.
type Holder interface {
	SetReserved(targets []route.TargetID)
}

// Options of a Service.
type Options struct {
	Self   string
	Hub    *link.Hub
	Region Region
	Holder Holder
	Log    *zap.Logger
}

// attempt is an attempt in progress.
type attempt struct {
	number suspect.Attempt
	target string
}

// Service exchanges suspects with the region's instances, and grants lone runs at the owner.
type Service struct {
	o Options

	mu        sync.Mutex
	table     *suspect.Table
	attempts  map[ports.AttemptID]attempt
	next      suspect.Attempt
	heldUntil map[string]time.Time
}

// New returns a Service and registers its channels at the hub.
func New(o Options) *Service {
	s := &Service{
		o:         o,
		table:     suspect.New(suspect.DefaultConfig()),
		attempts:  map[ports.AttemptID]attempt{},
		heldUntil: map[string]time.Time{},
	}
	o.Hub.Serve(channelEntries, serveWorkers, s.serveEntries)
	o.Hub.Serve(channelReserve, serveWorkers, s.serveReserve)
	o.Hub.Serve(channelRelease, serveWorkers, s.serveRelease)
	o.Hub.Serve(channelHold, serveWorkers, s.serveHold)
	return s
}

// shortDigest returns the prefix of a digest that tables use.
func shortDigest(d ports.Digest) suspect.Digest { return suspect.Digest(d[:len(suspect.Digest{})]) }

// Check reports how a request may run: normally, alone, or not at all.
func (s *Service) Check(now time.Time, d ports.Digest) ports.Suspicion {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.table.Decide(now, shortDigest(d)) {
	case suspect.RunAlone:
		return ports.SuspectAlone
	case suspect.Refuse:
		return ports.SuspectRefused
	default:
		return ports.SuspectNone
	}
}

// Started records the start of an attempt of this instance; alone is set for a lone run.
func (s *Service) Started(_ time.Time, id ports.AttemptID, target string, d ports.Digest, alone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	s.attempts[id] = attempt{number: s.next, target: target}
	s.table.Started(s.next, shortDigest(d), target, alone)
}

// Ended records the end of an attempt. Entries that result from a crash are published
// before it returns, as a retry may reach any instance as soon as the caller knows.
func (s *Service) Ended(now time.Time, id ports.AttemptID, e ports.AttemptEnd) {
	s.mu.Lock()
	a, known := s.attempts[id]
	delete(s.attempts, id)
	if !known {
		s.mu.Unlock()
		return
	}
	var entries []suspect.Entry
	if e == ports.AttemptCrashed {
		crash := suspect.Crash{Target: a.target, Incarnation: s.o.Region.Incarnation(a.target)}
		entries = s.table.Crashed(now, crash)
	}
	entries = append(entries, s.table.Ended(now, a.number, e == ports.AttemptFinished)...)
	s.mu.Unlock()
	if e == ports.AttemptCrashed && len(entries) > 0 {
		s.o.Log.Warn("target crashed during an attempt", zap.String("target", a.target), zap.Int("suspects", len(entries)))
	}
	s.publish(entries)
}

// Run expires entries and holds until ctx ends.
func (s *Service) Run(ctx context.Context) { duty.Every(ctx, expireInterval, s.expire) }

func (s *Service) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Expire(now)
	for target, until := range s.heldUntil {
		if now.After(until) {
			delete(s.heldUntil, target)
		}
	}
	s.updateReserved()
}

// Joined sends all entries to an instance that has just joined. It doesn't wait.
func (s *Service) Joined(id string) {
	s.mu.Lock()
	entries := s.table.Entries()
	s.mu.Unlock()
	if len(entries) == 0 || id == s.o.Self {
		return
	}
	go s.call(id, channelEntries, entries, publishTimeout)
}

// Len returns the number of entries.
func (s *Service) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Len()
}

// publish sends entries to the others, and returns when they have answered or after
// publishTimeout.
func (s *Service) publish(entries []suspect.Entry) {
	if len(entries) == 0 {
		return
	}
	s.callAll(channelEntries, entries, publishTimeout)
}

// callAll calls all other instances concurrently and reports whether all answered.
func (s *Service) callAll(channel string, v any, timeout time.Duration) bool {
	others := s.o.Region.Others()
	answers := make(chan bool, len(others))
	for _, id := range others {
		go func() { answers <- s.call(id, channel, v, timeout) }()
	}
	allAnswered := true
	for range others {
		allAnswered = <-answers && allAnswered
	}
	return allAnswered
}

// call calls one instance and reports whether it answered.
func (s *Service) call(id, channel string, v any, timeout time.Duration) bool {
	data, err := cbor.Marshal(v)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_, err = s.o.Hub.Call(ctx, id, channel, data)
	return err == nil
}

func (s *Service) serveEntries(_ context.Context, _ string, data []byte) ([]byte, error) {
	var entries []suspect.Entry
	if err := cbor.Unmarshal(data, &entries); err != nil {
		return nil, err
	}
	s.mu.Lock()
	added := s.table.Merge(time.Now(), entries)
	s.mu.Unlock()
	if len(added) > 0 {
		go s.publish(added)
	}
	return nil, nil
}
