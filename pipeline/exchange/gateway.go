package exchange

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/bundle/routes"
	"github.com/gullhaven/gullhaven/metrics"
	"github.com/gullhaven/gullhaven/ports/rawhttp"
	"github.com/gullhaven/gullhaven/route/pick"
	"github.com/gullhaven/gullhaven/route/place"
)

// Options of a Gateway.
type Options struct {
	// Self is the id of this instance.
	Self    string
	Region  string
	Dialect Dialect
	Pool    *pick.Pool
	// Decider, if set, is asked before Pool.
	Decider Decider
	// Killers, if set, has requests refused that crash their targets.
	Killers Killers
	// Limits, if set, has requests refused that are beyond their workspace's limit.
	Limits Limits
	// Targets and Peers send to targets and to instances of other regions.
	Targets, Peers *rawhttp.Client
	Retries        RetryLimits
	Rand           *rand.Rand
	Metrics        *metrics.SiteEntry
	// Log tells of failures and changes, Ordinary of each request that was answered.
	Log, Ordinary *zap.Logger
}

// Gateway serves requests.
type Gateway struct {
	o    Options
	view atomic.Pointer[View]
	// begun is closed at the first view.
	begun     chan struct{}
	beginOnce sync.Once
	// startWait is place.StartWait but in tests.
	startWait time.Duration
	draining  atomic.Bool
	// ends is when this instance ends, by the steady clock; nil while it takes all.
	ends     atomic.Pointer[time.Time]
	inFlight atomic.Int64

	// avoid holds until when each peer that could not be reached is left out.
	avoid sync.Map
	// refusing holds until when each service of a region is left out that has refused, and
	// leaveOut for how long: place.RefusedFor but in tests.
	refusing sync.Map
	leaveOut time.Duration
	// trips are those to other regions, and reach which of them can be reached.
	trips place.RoundTrips
	reach place.Reachability
	// asked counts the requests of each route by name.
	asked sync.Map

	repeats *repeats

	mu sync.Mutex // guards o.Rand
}

// New makes a Gateway that refuses all until it has a view.
func New(o Options) *Gateway {
	return &Gateway{
		o: o, begun: make(chan struct{}), startWait: place.StartWait, leaveOut: place.RefusedFor, repeats: newRepeats(o.Retries, time.Now()),
	}
}

// SetView replaces the view.
func (g *Gateway) SetView(v *View) {
	g.view.Store(v)
	g.beginOnce.Do(func() { close(g.begun) })
}

// firstView is the view, which a request waits for at a start; nil if it does not come soon.
func (g *Gateway) firstView(ctx context.Context) *View {
	if v := g.View(); v != nil {
		return v
	}
	timer := time.NewTimer(g.startWait)
	defer timer.Stop()
	select {
	case <-g.begun:
	case <-timer.C:
	case <-ctx.Done():
	}
	return g.View()
}

// View returns the view; nil before the first.
func (g *Gateway) View() *View { return g.view.Load() }

// Drain has each further answer close its connection.
func (g *Gateway) Drain() { g.draining.Store(true) }

// RefuseStreams has each further stream refused that may last beyond the end of this
// instance. Callers are told to come back at once, to another instance.
func (g *Gateway) RefuseStreams(end time.Time) { g.ends.Store(&end) }

// RefusesStreams reports whether RefuseStreams was called.
func (g *Gateway) RefusesStreams() bool { return g.ends.Load() != nil }

// cutsOff reports whether the end of this instance may cut a request off.
func (g *Gateway) cutsOff(q *request) bool {
	ends := g.ends.Load()
	if ends == nil || q.route.Kind != routes.Stream {
		return false
	}
	return ends.Sub(q.began) < q.route.Timeout
}

// InFlight is the number of requests in progress.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// RouteWeight is how much a route is used: 1 and the number of its requests here. Routes
// that only stand in the configuration weigh little.
func (g *Gateway) RouteWeight(route string) int {
	if n, ok := g.asked.Load(route); ok {
		return 1 + int(n.(*atomic.Int64).Load())
	}
	return 1
}

func (g *Gateway) countRoute(route string) {
	n, ok := g.asked.Load(route)
	if !ok {
		n, _ = g.asked.LoadOrStore(route, &atomic.Int64{})
	}
	n.(*atomic.Int64).Add(1)
}

// avoidPeer is how long an instance of another region that could not be reached is left
// out: about until the core instances know that it is gone. Without it each request that
// has to cross waits for a connection to it.
const avoidPeer = 2500 * time.Millisecond

func (g *Gateway) avoided(now time.Time, address string) bool {
	until, ok := g.avoid.Load(address)
	return ok && now.Before(until.(time.Time))
}

func (g *Gateway) unreachable(now time.Time, address string) {
	g.avoid.Store(address, now.Add(avoidPeer))
}

// refused notes that a region has turned a request for a service away.
func (g *Gateway) refused(now time.Time, by RegionService) {
	g.refusing.Store(by, now.Add(g.leaveOut))
}

// hasRefused reports whether a region has turned away a request for a service lately.
func (g *Gateway) hasRefused(now time.Time, by RegionService) bool {
	until, ok := g.refusing.Load(by)
	return ok && now.Before(until.(time.Time))
}

// uniform draws a number.
func (g *Gateway) uniform() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.o.Rand.Uint64()
}

// ServeHTTP serves a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.o.Metrics.Requests.Inc(1)
	g.serve(w, r, nil)
}

// PassedOn serves requests of entry instances of other regions.
func (g *Gateway) PassedOn() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.o.Metrics.PassedOn.Inc(1)
		p, err := readPassed(r.Header)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		g.serve(w, r, p)
	})
}
