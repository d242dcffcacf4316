// Package suspects shares among a region's instances which requests may take
// targets down, and gives a suspect a target of its own (package coord/suspect).
//
// The first relay of the region owns the lone runs: it keeps one target free at
// every instance before it lets a suspect run there.
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
	// servers is how many calls of each kind are taken in at once.
	servers = 8
	// publishTimeout bounds the wait for the others to know of a crash. The
	// requests in flight are held up by it, once for each crash.
	publishTimeout = 300 * time.Millisecond
	// holdTimeout bounds the wait for the others to keep a target free.
	holdTimeout = 500 * time.Millisecond
	// loneTime bounds a lone run with the wait for its target.
	loneTime = 2 * time.Minute
	// idleInterval is the time between two looks at a target that is to be idle.
	idleInterval = 50 * time.Millisecond
	// expireInterval is the time between two rounds of forgetting.
	expireInterval = time.Second
)

// Region is what the service reads of the region.
type Region interface {
	// Others are the live instances but this one; Owner owns the lone runs.
	Others() []string
	Owner() string
	// Life numbers the lives of a target, alike at all instances.
	Life(target string) uint64
	// Candidates are the warm targets of a service, least loaded first.
	Candidates(service string) []string
	// Idle asks a target itself whether it runs nothing.
	Idle(ctx context.Context, target string) bool
}

// Holder keeps targets free of other requests; *pipeline.Routing is one.
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

// attempt is a sending under way.
type attempt struct {
	number suspect.Attempt
	target string
}

// Service is the running exchange.
type Service struct {
	o Options

	mu       sync.Mutex
	table    *suspect.Table
	attempts map[ports.AttemptID]attempt
	next     suspect.Attempt
	holds    map[string]time.Time
}

// New makes a Service and registers it at the link.
func New(o Options) *Service {
	s := &Service{
		o:        o,
		table:    suspect.New(suspect.DefaultConfig()),
		attempts: map[ports.AttemptID]attempt{},
		holds:    map[string]time.Time{},
	}
	o.Hub.Serve(channelEntries, servers, s.serveEntries)
	o.Hub.Serve(channelReserve, servers, s.serveReserve)
	o.Hub.Serve(channelRelease, servers, s.serveRelease)
	o.Hub.Serve(channelHold, servers, s.serveHold)
	return s
}

// short is the form of a digest that tables keep.
func short(d ports.Digest) suspect.Digest { return suspect.Digest(d[:len(suspect.Digest{})]) }

// Check tells how a request may run.
func (s *Service) Check(_ time.Time, d ports.Digest) ports.Suspicion {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.table.Decide(short(d)) {
	case suspect.RunAlone:
		return ports.SuspectAlone
	case suspect.Refuse:
		return ports.SuspectRefused
	default:
		return ports.SuspectNone
	}
}

// Started records a sending of this instance.
func (s *Service) Started(_ time.Time, id ports.AttemptID, target string, d ports.Digest, alone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	s.attempts[id] = attempt{number: s.next, target: target}
	s.table.Sent(s.next, short(d), target, alone)
}

// Ended records its end. What a crash made known is published before it
// returns, for a resend may come to any instance as soon as the caller knows.
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
		crash := suspect.Crash{Target: a.target, Incarnation: s.o.Region.Life(a.target)}
		entries = s.table.Crashed(now, crash)
	}
	entries = append(entries, s.table.Ended(now, a.number, e == ports.AttemptFinished)...)
	s.mu.Unlock()
	if e == ports.AttemptCrashed && len(entries) > 0 {
		s.o.Log.Warn("target broke off", zap.String("target", a.target), zap.Int("suspects", len(entries)))
	}
	s.publish(entries)
}

// Run forgets what is over until ctx ends.
func (s *Service) Run(ctx context.Context) { duty.Every(ctx, expireInterval, s.expire) }

func (s *Service) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Expire(now)
	for target, until := range s.holds {
		if now.After(until) {
			delete(s.holds, target)
		}
	}
	s.applyHolds()
}

// Joined sends all that is known to an instance that has just come.
func (s *Service) Joined(id string) {
	s.mu.Lock()
	entries := s.table.Entries()
	s.mu.Unlock()
	if len(entries) == 0 || id == s.o.Self {
		return
	}
	go s.tell(id, channelEntries, entries, publishTimeout)
}

// Len is the number of entries held.
func (s *Service) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Len()
}

// publish tells the others, and returns when they know or after a bounded time.
func (s *Service) publish(entries []suspect.Entry) {
	if len(entries) == 0 {
		return
	}
	s.toAll(channelEntries, entries, publishTimeout)
}

// toAll calls all other instances and reports whether each one answered.
func (s *Service) toAll(channel string, v any, timeout time.Duration) bool {
	others := s.o.Region.Others()
	answers := make(chan bool, len(others))
	for _, id := range others {
		go func() { answers <- s.tell(id, channel, v, timeout) }()
	}
	all := true
	for range others {
		all = <-answers && all
	}
	return all
}

// tell calls one instance and reports whether it answered.
func (s *Service) tell(id, channel string, v any, timeout time.Duration) bool {
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
	news := s.table.Merge(time.Now(), entries)
	s.mu.Unlock()
	if len(news) > 0 {
		go s.publish(news)
	}
	return nil, nil
}
