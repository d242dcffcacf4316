// Package entry runs an entry instance: it takes the requests of callers and keeps
// its view of the surroundings by reporting to core instances.
//
// Duties, each a goroutine: following one core instance, comparing with a second one,
// getting new configurations, letting go of requests decided for others, and tidying up. It has no disk and is no member of the group.
package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/bundle/routes"
	"github.com/gullhaven/gullhaven/coord/link"
	"github.com/gullhaven/gullhaven/metrics"
	"github.com/gullhaven/gullhaven/metrics/lines"
	"github.com/gullhaven/gullhaven/node/control"
	"github.com/gullhaven/gullhaven/node/deciding"
	"github.com/gullhaven/gullhaven/node/feed"
	"github.com/gullhaven/gullhaven/node/quota"
	"github.com/gullhaven/gullhaven/pipeline/exchange"
	"github.com/gullhaven/gullhaven/ports/rawhttp"
	"github.com/gullhaven/gullhaven/route/pick"
)

// Options of an Instance.
type Options struct {
	// Self is what it tells of itself; Ready and Loads are filled in.
	Self feed.Entry
	// Seeds are core instances by id.
	Seeds []string
	// Format reads configurations.
	Format  routes.Format
	Dialect exchange.Dialect
	Retries exchange.RetryLimits
	// Regions are all regions of the site, Tolerance what the platform lets all instances
	// together pass beyond a workspace's limit.
	Regions   []string
	Tolerance quota.Tolerance
	// Log tells of failures and changes, Ordinary of each request that was answered.
	Log, Ordinary *zap.Logger
	// Lines tells of missing log lines; nil where none are counted.
	Lines lines.Counts
}

// Instance is an entry instance.
type Instance struct {
	o       Options
	log     *zap.Logger
	hub     *link.Hub
	pool    *pick.Pool
	gateway *exchange.Gateway
	targets *rawhttp.Client
	peers   *rawhttp.Client
	// deciding has others choose targets, and chooses for others.
	deciding *deciding.Service
	killers  *killers
	limits   *quota.Service
	fetcher  *fetcher
	metrics  *metrics.SiteEntry

	// askOn is beginAfter but in tests.
	askOn time.Duration

	draining atomic.Bool
	// mu guards what follows.
	mu      sync.Mutex
	known   knowledge
	last    lastView
	chooser *feed.Chooser
	// failedInRow counts the newest reports without an answer; silent says that a line told
	// of them.
	failedInRow int
	silent      bool

	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// Times of passing on: another region is 80 ms away.
const (
	// peerDialTime is two round trips and some: a packet that is lost costs a second, and
	// another instance is asked before that.
	peerDialTime = 400 * time.Millisecond
	peerIdleTime = 20 * time.Second
	// peerSilence is how long bytes to another region may stay unacknowledged: a cut
	// shows within it, and lost packets are sent again in it.
	peerSilence = 2 * time.Second
)

// New assembles an instance. Start begins its duties.
func New(o Options) (*Instance, error) {
	hub, err := link.New(control.LinkOptions(o.Self.ID, append(deciding.Channels(), quota.Channels()...)...))
	if err != nil {
		return nil, err
	}
	i := &Instance{
		o: o, log: o.Log, hub: hub, chooser: feed.NewChooser(), askOn: beginAfter,
		pool:    pick.New(o.Self.ID),
		targets: rawhttp.NewClient(rawhttp.Options{}),
		peers:   rawhttp.NewClient(rawhttp.Options{DialTime: peerDialTime, IdleTime: peerIdleTime, Silence: peerSilence}),
	}
	i.known.entries.Self = o.Self.ID
	i.metrics = metrics.NewSiteEntry(i.shown)
	i.killers = newKillers(o.Log)
	i.fetcher = newFetcher()
	i.deciding = deciding.New(o.Self.ID, hub, i.pool, o.Log)
	i.limits = quota.New(quota.Options{
		Self: o.Self.ID, Region: o.Self.Region, Regions: len(o.Regions), Tolerance: o.Tolerance, Hub: hub, Core: i.followed, Log: o.Log,
	})
	i.gateway = exchange.New(exchange.Options{
		Self: o.Self.ID, Region: o.Self.Region, Dialect: o.Dialect, Pool: i.pool, GroupOwner: i.deciding, PoisonRequests: i.killers, Limits: i.limits, Targets: i.targets, Peers: i.peers,
		Retries: o.Retries, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), Log: o.Log,
		AccessLog: o.Ordinary, Metrics: i.metrics,
	})
	return i, nil
}

// Callers serves callers.
func (i *Instance) Callers() http.Handler { return i.gateway }

// Peers serves the links and the requests of other instances.
func (i *Instance) Peers() http.Handler {
	links, passed := i.hub.Handler(), i.gateway.ForwardedHandler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == link.DefaultPath {
			links.ServeHTTP(w, r)
			return
		}
		passed.ServeHTTP(w, r)
	})
}

// Metrics serves the metrics as text.
func (i *Instance) Metrics() http.Handler { return i.metrics }

// shown is the state that the metrics show.
func (i *Instance) shown() metrics.EntryState {
	now := time.Now()
	s := metrics.EntryState{InFlight: i.gateway.InFlight(), Dials: int64(i.targets.Dials()), ListAge: -1}
	c := i.pool.Count(now)
	s.Links = metrics.SumLinks(i.hub.Stats())
	s.Targets, s.Out, s.Cold, s.Limited, s.Draining = int64(c.Targets), int64(c.BackingOff), int64(c.Cold), int64(c.Limited), int64(c.Draining)
	if i.o.Lines != nil {
		dropped, leftOut := i.o.Lines.Missing()
		s.LinesDropped, s.LinesLeftOut = int64(dropped), int64(leftOut)
	}
	if v := i.gateway.View(); v != nil {
		s.Version = int64(v.Index.Table.Version)
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.known.list.ReadAt.IsZero() {
		s.ListAge = now.Sub(i.known.list.ReadAt).Milliseconds()
	}
	s.Entries, s.Cores = int64(len(i.known.entries.Entries)+1), int64(len(i.known.cores))
	if i.known.head != nil {
		s.Heard = int64(i.known.head.Version)
	}
	left, transfers := i.fetcher.state()
	s.PiecesLeft, s.PieceBytes, s.PiecesFailed = int64(left), int64(transfers.Bytes), int64(transfers.Failed)
	return s
}

// Ready reports whether it takes requests.
func (i *Instance) Ready() bool { return !i.draining.Load() && i.gateway.View() != nil }

// leaving reports whether it still takes callers though it leaves.
func (i *Instance) leaving() bool {
	return i.draining.Load() && i.gateway.View() != nil && !i.gateway.RefusesStreams()
}

// Gateway is the request path.
func (i *Instance) Gateway() *exchange.Gateway { return i.gateway }

// Start begins the duties.
func (i *Instance) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	i.cancel = cancel
	for _, duty := range []func(context.Context){i.follow, i.compare, i.fetch, i.targets.Run, i.peers.Run, i.deciding.Run, i.limits.Run, i.tidy} {
		i.wg.Go(func() { duty(ctx) })
	}
}

// Drain stops being ready and being named to callers; requests are still served, and
// each answer closes its connection.
func (i *Instance) Drain() {
	i.draining.Store(true)
	i.gateway.Drain()
	i.wg.Go(func() {
		// The directory must stop naming it before the followed core instance's
		// answer to the last report is due.
		ctx, cancel := context.WithTimeout(context.Background(), reportTime)
		defer cancel()
		if _, err := i.report(ctx, i.followed(), i.makeReport(0)); err != nil {
			i.log.Warn("leaving was not told, the next report tells", zap.Error(err))
		}
	})
}

// Stop ends the duties.
func (i *Instance) Stop() {
	i.cancel()
	i.hub.Close()
	i.wg.Wait()
}

// Addresses names the entry instances for a caller of a host in a region.
func (i *Instance) Addresses(host, region string) []string {
	weight := func(string) int { return 0 }
	if view := i.gateway.View(); view != nil {
		weight = func(region string) int { return view.Index.RegionWeight(host, region, i.gateway.RouteWeight) }
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	list := i.known.entries.Entries
	self := i.o.Self
	self.Ready, self.Leaving = i.Ready(), i.leaving()
	list = append([]feed.Entry{self}, list...)
	return feed.CallerAddresses(list, region, weight)
}
