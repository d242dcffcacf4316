package exchange

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/coord/drain"
	"github.com/gullhaven/gullhaven/coord/memory"
	"github.com/gullhaven/gullhaven/coord/retry"
	"github.com/gullhaven/gullhaven/metrics"
	"github.com/gullhaven/gullhaven/ports/rawhttp"
	"github.com/gullhaven/gullhaven/route/pick"
	"github.com/gullhaven/gullhaven/route/place"
)

// Options of a Gateway.
type Options struct {
	// Self is the id of this instance, and Region its region.
	Self    string
	Region  string
	Dialect Dialect
	Pool    *pick.Pool
	// GroupOwner, if set, is asked before Pool.
	GroupOwner GroupOwner
	// Admission, if set, decides whether requests are admitted for which this instance itself chose the
	// target, and GroupOwner is asked to decide for the others. Without it, a request is refused if the
	// work queued ahead takes longer than the route's Aim.
	Admission AdmissionControl
	// UrgentFirst ranks the requests of a workspace by the priorities of their routes as well.
	UrgentFirst bool
	// PromisedReturns says that callers of refused requests may be promised a place, and that they must
	// come to the same group of targets again.
	PromisedReturns bool
	// PoisonRequests, if set, refuses requests that crash their targets.
	PoisonRequests PoisonRequests
	// Streams, if set, knows what began the streams that callers take up. Without it, those that a
	// caller names are refused.
	Streams Streams
	// Limits, if set, refuses requests that exceed their workspace's limit.
	Limits Limits
	// Targets and Peers send to targets and to instances of other regions.
	Targets, Peers *rawhttp.Client
	// Memory bounds what all requests hold together; default one of memory.DefaultLimit of its own.
	Memory *memory.Budget
	// Retries bounds the retries of all instances together.
	Retries RetryLimits
	// Rand must not be used elsewhere; the Gateway guards it with a mutex of its own.
	Rand    *rand.Rand
	Metrics *metrics.SiteEntry
	// Log gets failures and changes, AccessLog a line for each answered request.
	Log, AccessLog *zap.Logger
}

// Gateway serves the requests of callers and those that other regions forward. It is safe for
// concurrent use.
type Gateway struct {
	o    Options
	view atomic.Pointer[View]
	// viewSet is closed when the first view is set.
	viewSet     chan struct{}
	viewSetOnce sync.Once
	// startWait is place.StartWait, except in tests.
	startWait time.Duration
	// streamIdle is streamIdleTimeout and placeSearch is placeSearchInterval, except in tests.
	streamIdle, placeSearch time.Duration
	// maxOverlap is maxOverlap, except in tests.
	maxOverlap time.Duration
	gate       drain.Gate
	// ended ends when endRequests is called, which ends all requests in progress.
	ended       context.Context
	endRequests context.CancelFunc

	// unreachableUntil holds, by peer address, until when a peer that could not be reached
	// is skipped.
	unreachableUntil sync.Map
	// peerRests holds the rests of peers all of whose targets have asked them for rest, by
	// peerService. Such a peer is skipped.
	peerRests sync.Map
	// refusedUntil holds until when a region counts as having refused, by RegionService, or by
	// workspaceRefusal or rankRefusal for a part of its requests.
	// refusalPause is for how long: place.RefusedFor, except in tests.
	refusedUntil sync.Map
	refusalPause time.Duration
	// trips estimates the round trips to other regions; reach tracks which can be reached.
	trips place.RoundTrips
	reach place.Reachability
	// routeRequests counts requests by route name.
	routeRequests sync.Map

	retries *retryBudget

	mu sync.Mutex // guards o.Rand
}

// New returns a Gateway that refuses all requests until SetView is called.
func New(o Options) *Gateway {
	ended, endRequests := context.WithCancel(context.Background())
	if o.Memory == nil {
		o.Memory = memory.New(memory.DefaultLimit)
	}
	return &Gateway{
		ended: ended, endRequests: endRequests,
		o: o, viewSet: make(chan struct{}), startWait: place.StartWait, refusalPause: place.RefusedFor,
		streamIdle: streamIdleTimeout, placeSearch: placeSearchInterval, maxOverlap: maxOverlap, retries: newRetryBudget(o.Retries, time.Now()),
	}
}

const (
	// heartbeatsPerLag is the number of heartbeats within retry.MaxLag.
	heartbeatsPerLag = 4
	// minHeartbeatInterval bounds the processor time of heartbeats.
	minHeartbeatInterval = 25 * time.Millisecond
)

// Run detects pauses of this process until ctx ends.
func (g *Gateway) Run(ctx context.Context) {
	tick := time.NewTicker(max(minHeartbeatInterval, retry.MaxLag(g.o.Retries.Span)/heartbeatsPerLag))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if pause := g.retries.heartbeat(time.Now()); pause > 0 {
				g.o.Metrics.Pauses.Inc(1)
				g.o.Log.Warn("the process stood still", zap.Duration("pause", pause))
			}
		}
	}
}

// SetView replaces the view.
func (g *Gateway) SetView(v *View) {
	g.view.Store(v)
	g.viewSetOnce.Do(func() { close(g.viewSet) })
}

// firstView returns the view. After a start it waits up to startWait for the first one, and
// returns nil if there is none by then.
func (g *Gateway) firstView(ctx context.Context) *View {
	if v := g.View(); v != nil {
		return v
	}
	timer := time.NewTimer(g.startWait)
	defer timer.Stop()
	select {
	case <-g.viewSet:
	case <-timer.C:
	case <-ctx.Done():
	}
	return g.View()
}

// DefaultMaxHeadBytes bounds the head of a request if the configuration sets no limit, or before the first one.
const DefaultMaxHeadBytes = 64 << 10

// MaxHeadBytes returns the bound of the head of a request.
func (g *Gateway) MaxHeadBytes() int {
	if v := g.View(); v != nil && v.Index != nil && v.Index.Table.Limits.MaxHeaderBytes > 0 {
		return v.Index.Table.Limits.MaxHeaderBytes
	}
	return DefaultMaxHeadBytes
}

// View returns the current view; nil before the first SetView.
func (g *Gateway) View() *View { return g.view.Load() }

// Drain makes this instance end by a plan: each further answer closes its connection, and requests that may
// outlast the instance are refused once the plan's notice has passed. Call StepDrain from then on.
func (g *Gateway) Drain(p drain.Plan) { g.gate.Begin(p) }

// DrainPhase returns how far Drain has come.
func (g *Gateway) DrainPhase(now time.Time) drain.Phase { return g.gate.Phase(now) }

// StepDrain goes on with Drain, ends the requests in progress at the end of the plan, and reports whether none
// is left.
func (g *Gateway) StepDrain(now time.Time) (done bool) {
	switch g.gate.Step(now) {
	case drain.Stop:
		return true
	case drain.EndRequests:
		if g.ended.Err() == nil {
			g.o.Log.Warn("requests outlast this instance and are ended", zap.Int64("in_progress", g.InFlight()))
		}
		g.endRequests()
	}
	return false
}

// refuseEnding returns the refusal of a request that has not run and may outlast this instance, or nil.
func (q *request) refuseEnding() *refusal {
	if q.g.gate.Accepts(time.Now(), q.deadline) {
		return nil
	}
	return refuseLeaving()
}

// refuseLeaving refuses a request that another instance accepts at once.
func refuseLeaving() *refusal {
	return &refusal{status: http.StatusServiceUnavailable, code: CodeLeaving, retryAfter: place.RetryAfter(place.Leaving, 0), close: true}
}

// InFlight is the number of requests in progress.
func (g *Gateway) InFlight() int64 { return g.gate.InProgress() }

// RouteWeight is 1 plus the number of requests of a route at this instance, so routes that
// are configured but unused weigh little.
func (g *Gateway) RouteWeight(route string) int {
	if n, ok := g.routeRequests.Load(route); ok {
		return 1 + int(n.(*atomic.Int64).Load())
	}
	return 1
}

func (g *Gateway) countRoute(route string) {
	n, ok := g.routeRequests.Load(route)
	if !ok {
		n, _ = g.routeRequests.LoadOrStore(route, &atomic.Int64{})
	}
	n.(*atomic.Int64).Add(1)
}

// unreachablePause is how long a peer that could not be reached is skipped: about as long as
// the core instances take to detect that it is gone. Without it, each request forwarded to
// that region waits for a connection to the peer.
const unreachablePause = 2500 * time.Millisecond

func (g *Gateway) isUnreachable(now time.Time, address string) bool {
	until, ok := g.unreachableUntil.Load(address)
	return ok && now.Before(until.(time.Time))
}

func (g *Gateway) markUnreachable(now time.Time, address string) {
	g.unreachableUntil.Store(address, now.Add(unreachablePause))
}

// peerService identifies a service at an instance of another region.
type peerService struct{ address, service string }

// peerRest is how long a peer has asked to be skipped.
type peerRest struct {
	until time.Time
	asked time.Duration
}

// restLeft returns for how long all targets of a service rest for a peer; zero if they don't.
func (g *Gateway) restLeft(now time.Time, p peerService) pick.RestLeft {
	known, ok := g.peerRests.Load(p)
	if !ok {
		return pick.RestLeft{}
	}
	rest := known.(peerRest)
	return pick.RestLeft{Left: max(0, rest.until.Sub(now)), Asked: rest.asked}
}

func (g *Gateway) markResting(now time.Time, p peerService, asked time.Duration) {
	g.peerRests.Store(p, peerRest{until: now.Add(asked), asked: asked})
}

// workspaceRefusal identifies the requests of a workspace, over its share there, at a region's service.
type workspaceRefusal struct {
	RegionService
	workspace string
}

// rankRefusal identifies the requests of a rank, outranked there, at a region's service.
type rankRefusal struct {
	RegionService
	rank int
}

// laggingPeer identifies an instance of another region that does not have the configuration that a request
// was judged by yet.
type laggingPeer struct{ address string }

// recordRefusal records that a region has refused a request for a service, or of a workspace for it.
func (g *Gateway) recordRefusal(now time.Time, by any) {
	g.refusedUntil.Store(by, now.Add(g.refusalPause))
}

// hasRefused reports whether a region has recently refused a request for a service, of the workspace for
// it, or of this or a more urgent rank.
func (g *Gateway) hasRefused(now time.Time, by RegionService, workspace string, rank int) bool {
	if g.refusedNow(now, by) || g.refusedNow(now, workspaceRefusal{by, workspace}) {
		return true
	}
	for r := range clampRank(rank) + 1 {
		if g.refusedNow(now, rankRefusal{by, r}) {
			return true
		}
	}
	return false
}

// clampRank returns the rank that counts where ranks are listed one by one.
func clampRank(rank int) int { return min(max(0, rank), pick.Ranks-1) }

func (g *Gateway) refusedNow(now time.Time, key any) bool {
	until, ok := g.refusedUntil.Load(key)
	return ok && now.Before(until.(time.Time))
}

// uniform returns a uniformly distributed random number.
func (g *Gateway) uniform() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.o.Rand.Uint64()
}

// fraction returns a uniformly distributed random number in [0, 1).
func (g *Gateway) fraction() float64 {
	const bits = 53
	return float64(g.uniform()>>(64-bits)) / (1 << bits)
}

// ServeHTTP serves a caller's request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.o.Metrics.Requests.Inc(1)
	g.serve(w, r, nil)
}

// ForwardedHandler returns the handler of requests that entry instances of other regions
// forward. It must not be reachable by callers.
func (g *Gateway) ForwardedHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.o.Metrics.ForwardedIn.Inc(1)
		p, err := readForwarded(r.Header)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		g.serve(w, r, p)
	})
}
