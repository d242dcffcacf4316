// Package entry runs an entry instance: it serves the requests of callers and keeps its view of the
// region up to date by reporting to core instances.
//
// Background goroutines follow one core instance, compare with a second one, transfer new
// configurations, serve the choices of targets and the limits that are shared with other instances,
// and remove what is unused. An entry instance has no disk and is not a member of the log's group.
package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/bundle/routes"
	"github.com/gullhaven/gullhaven/coord/drain"
	"github.com/gullhaven/gullhaven/coord/link"
	"github.com/gullhaven/gullhaven/coord/memory"
	"github.com/gullhaven/gullhaven/metrics"
	"github.com/gullhaven/gullhaven/metrics/lines"
	"github.com/gullhaven/gullhaven/node/control"
	"github.com/gullhaven/gullhaven/node/deciding"
	"github.com/gullhaven/gullhaven/node/feed"
	"github.com/gullhaven/gullhaven/node/quota"
	"github.com/gullhaven/gullhaven/node/streams"
	"github.com/gullhaven/gullhaven/pipeline/exchange"
	"github.com/gullhaven/gullhaven/ports/rawhttp"
	"github.com/gullhaven/gullhaven/route/pick"
)

// Options of an Instance.
type Options struct {
	// Self is what it reports of itself; Ready, Leaving and Loads are filled in.
	Self feed.Entry
	// WeightedDirectory reports the capacity in Self, and gives callers and other regions' requests to
	// entry instances in proportion to their capacities. Without it capacities are ignored.
	WeightedDirectory bool
	// Seeds are the IDs of core instances.
	Seeds []string
	// Format reads configurations.
	Format  routes.Format
	Dialect exchange.Dialect
	Retries exchange.RetryLimits
	// Regions are all regions of the site, Tolerance what the platform allows all instances
	// together to admit beyond a workspace's limit.
	Regions   []string
	Tolerance quota.Tolerance
	// FairAdmission has requests refused by the shares of their workspaces in the work of the targets,
	// instead of by the length of the queue alone.
	FairAdmission bool
	// UrgentFirst has requests refused that would take the room that more urgent ones need.
	UrgentFirst bool
	// PromisedReturns reserves places for the callers of refused requests.
	PromisedReturns bool
	// Memory bounds what all requests hold together; default one of memory.DefaultLimit of its own.
	Memory *memory.Budget
	// Log is for failures and changes, AccessLog for each answered request.
	Log, AccessLog *zap.Logger
	// Lines counts missing log lines; nil if they are not counted.
	Lines lines.Counts
	// Intake returns what clients take up, for the metrics; nil if that is not known.
	Intake func() metrics.Intake
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
	// deciding has targets chosen by group owners, and chooses those of the groups that it owns.
	deciding       *deciding.Service
	poisonRequests *poisonRequests
	// returns holds the promises to refused callers; nil if none are made.
	returns *deciding.PromisedReturns
	limits  *quota.Service
	fetcher *fetcher
	metrics *metrics.SiteEntry

	// startupProbeTime is the constant except in tests.
	startupProbeTime time.Duration

	draining atomic.Bool
	// mu guards the fields of this group.
	mu       sync.Mutex
	known    knownState
	lastView lastView
	suspects suspectMarks
	chooser  *feed.CoreChooser
	// consecutiveFailures is the number of reports that failed since the last answer; silenceLogged
	// says that they were logged.
	consecutiveFailures int
	silenceLogged       bool

	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// Timeouts of forwarding: another region is 80 ms away.
const (
	// peerDialTimeout is somewhat over two round trips: a lost packet costs a second, and another
	// instance is tried before that.
	peerDialTimeout = 400 * time.Millisecond
	peerIdleTimeout = 20 * time.Second
	// PeerAckTimeout is how long bytes to another region may stay unacknowledged: it detects a
	// partition, and leaves time to retransmit lost packets.
	PeerAckTimeout = 2 * time.Second
	// AnswerAckTimeout is how long bytes of an answer to another instance may stay unacknowledged.
	// An instance that waits for an answer gives up first: if a partition is over before that, the
	// answer goes on where it was.
	AnswerAckTimeout = PeerAckTimeout + rawhttp.KeepaliveInterval + time.Second
)

// New returns an instance. Start starts its goroutines.
func New(o Options) (*Instance, error) {
	hub, err := link.New(control.LinkOptions(o.Self.ID, slices.Concat(deciding.Channels(), quota.Channels(), streams.Channels())...))
	if err != nil {
		return nil, err
	}
	if !o.WeightedDirectory {
		o.Self.Capacity = 0
	}
	if o.Memory == nil {
		o.Memory = memory.New(memory.DefaultLimit)
	}
	i := &Instance{
		o: o, log: o.Log, hub: hub, chooser: feed.NewCoreChooser(), startupProbeTime: startupProbeTime,
		pool:    pick.New(o.Self.ID),
		targets: rawhttp.NewClient(rawhttp.Options{Memory: o.Memory}),
		peers:   rawhttp.NewClient(rawhttp.Options{DialTimeout: peerDialTimeout, IdleTimeout: peerIdleTimeout, AckTimeout: PeerAckTimeout, Memory: o.Memory}),
	}
	i.known.entries.Self = o.Self.ID
	i.metrics = metrics.NewSiteEntry(i.metricsState)
	if o.Intake != nil {
		i.metrics.RegisterIntake(o.Intake)
	}
	i.poisonRequests = newPoisonRequests(o.Log)
	i.poisonRequests.probe = i.probeTarget
	newTrials(o.Self.ID, hub, o.Log, i.acceptingInstances, i.poisonRequests)
	i.fetcher = newFetcher()
	admission := i.newAdmission()
	i.deciding = deciding.NewWithAdmission(o.Self.ID, hub, i.pool, o.Log, admission)
	i.limits = quota.New(quota.Options{
		Self: o.Self.ID, Region: o.Self.Region, Regions: len(o.Regions), Tolerance: o.Tolerance, Hub: hub, Core: i.followed, Log: o.Log,
	})
	began := streams.New(streams.Options{Self: streams.Instance{ID: o.Self.ID, Region: o.Self.Region}, Hub: hub, Instances: i.otherInstances, Log: o.Log})
	options := exchange.Options{
		UrgentFirst: o.UrgentFirst, Memory: o.Memory,
		Self: o.Self.ID, Region: o.Self.Region, Dialect: o.Dialect, Pool: i.pool, GroupOwner: i.deciding, PoisonRequests: i.poisonRequests, Streams: began, Limits: i.limits, Targets: i.targets, Peers: i.peers,
		Retries: o.Retries, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), Log: o.Log,
		AccessLog: o.AccessLog, Metrics: i.metrics,
	}
	if admission != nil {
		options.Admission, options.PromisedReturns = admission, o.PromisedReturns
	}
	i.gateway = exchange.New(options)
	return i, nil
}

// newAdmission returns what decides on admissions; nil if the length of the queue alone decides.
func (i *Instance) newAdmission() *deciding.Admission {
	if !i.o.FairAdmission && !i.o.UrgentFirst && !i.o.PromisedReturns {
		return nil
	}
	o := deciding.AdmissionOptions{QueueOnly: !i.o.FairAdmission, UrgentFirst: i.o.UrgentFirst}
	if i.o.PromisedReturns {
		i.returns = deciding.NewPromisedReturns(i.pool)
		o.Returns = i.returns
	}
	return deciding.NewAdmission(o)
}

// CallerHandler serves callers.
func (i *Instance) CallerHandler() http.Handler { return i.gateway }

// PeerHandler serves the links and the forwarded requests of other instances.
func (i *Instance) PeerHandler() http.Handler {
	links, forwarded := i.hub.Handler(), i.gateway.ForwardedHandler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == link.DefaultPath {
			links.ServeHTTP(w, r)
			return
		}
		forwarded.ServeHTTP(w, r)
	})
}

// MetricsHandler serves the metrics as text.
func (i *Instance) MetricsHandler() http.Handler { return i.metrics }

// acceptingInstances returns the IDs of the entry instances of all regions that accept requests, this
// one included.
func (i *Instance) acceptingInstances() []string {
	ids := []string{i.o.Self.ID}
	for _, other := range i.otherInstances() {
		ids = append(ids, other.ID)
	}
	return ids
}

// otherInstances returns the other entry instances of all regions that accept requests.
func (i *Instance) otherInstances() (out []streams.Instance) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, e := range i.known.entries.Entries {
		if e.Ready {
			out = append(out, streams.Instance{ID: e.ID, Region: e.Region})
		}
	}
	return out
}

// metricsState returns the current values for the metrics.
func (i *Instance) metricsState() metrics.EntryState {
	now := time.Now()
	s := metrics.EntryState{InFlight: i.gateway.InFlight(), Dials: int64(i.targets.Dials()), ListAge: -1}
	c := i.pool.Count(now)
	s.Links = metrics.SumLinks(i.hub.Stats())
	s.Targets, s.BackingOff, s.Cold, s.Limited = int64(c.Targets), int64(c.BackingOff), int64(c.Cold), int64(c.Limited)
	s.Resting, s.Draining = int64(c.Resting), int64(c.Draining)
	s.Suspects, s.SuspectsEvicted, s.SuspectsPending = i.poisonRequests.count()
	if i.returns != nil {
		promises, work := i.returns.Stats()
		s.PromisesGiven, s.PromisesKept, s.PromisesMissed, s.PromisesExpired = promises.Given, promises.Kept, promises.Missed, promises.Expired
		s.PromisesWithdrawn, s.PromisesDropped, s.PromisedWork = promises.Withdrawn, promises.Dropped, work
	}
	if i.o.Lines != nil {
		dropped, leftOut := i.o.Lines.Missing()
		s.LinesDropped, s.LinesSkipped = int64(dropped), int64(leftOut)
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
		s.ReceivedVersion = int64(i.known.head.Version)
	}
	remaining, transfers := i.fetcher.progress()
	s.PiecesLeft, s.PieceBytes, s.PiecesFailed = int64(remaining), int64(transfers.Bytes), int64(transfers.FailedFetches)
	return s
}

// Ready reports whether it accepts requests.
func (i *Instance) Ready() bool { return !i.draining.Load() && i.gateway.View() != nil }

// leaving reports whether it is leaving and still accepts callers.
func (i *Instance) leaving() bool {
	return i.draining.Load() && i.gateway.View() != nil && i.gateway.DrainPhase(time.Now()) == drain.Notice
}

// Gateway returns the request path.
func (i *Instance) Gateway() *exchange.Gateway { return i.gateway }

// Start starts the goroutines. Call it once; Stop ends them.
func (i *Instance) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	i.cancel = cancel
	for _, run := range []func(context.Context){i.follow, i.compare, i.fetch, i.targets.Run, i.peers.Run, i.deciding.Run, i.limits.Run, i.gateway.Run, i.expireUnused, i.publishSuspects} {
		i.wg.Go(func() { run(ctx) })
	}
}

// Drain makes the instance not ready, so that the directory no longer names it to callers, and ends it by a
// plan; see exchange.Gateway.Drain.
func (i *Instance) Drain(p drain.Plan) {
	i.draining.Store(true)
	i.gateway.Drain(p)
	i.wg.Go(func() {
		// The directory must stop naming it before the followed core instance's answer to the last
		// report is due.
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		defer cancel()
		if _, err := i.report(ctx, i.followed(), i.drainReport()); err != nil {
			i.log.Warn("leaving could not be reported; the next report includes it", zap.Error(err))
		}
	})
}

// drainReport returns the report of Drain, which is answered at once.
func (i *Instance) drainReport() feed.Report { return i.newReport(drainReportWait) }

// drainReportWait is how long the answer to the report of Drain may wait. It is above 0, as a report
// without a wait has no loads, and would replace those of the report before: group owners would
// take the targets of this instance's requests for idle.
const drainReportWait = time.Millisecond

// Stop ends the goroutines and waits for them.
func (i *Instance) Stop() {
	i.cancel()
	i.hub.Close()
	i.wg.Wait()
}

// CallerAddresses returns the addresses of entry instances for a caller of a host in a region.
func (i *Instance) CallerAddresses(host, region string) []string {
	weight := func(string) int { return 0 }
	if view := i.gateway.View(); view != nil {
		weight = func(region string) int { return view.Index.HomeRegionWeight(host, region, i.gateway.RouteWeight) }
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	list := i.known.entries.Entries
	self := i.o.Self
	self.Ready, self.Leaving = i.Ready(), i.leaving()
	list = append([]feed.Entry{self}, list...)
	return feed.CallerAddresses(list, region, weight)
}
