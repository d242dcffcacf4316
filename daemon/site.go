package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/coord/drain"
	"github.com/gullhaven/gullhaven/coord/link"
	"github.com/gullhaven/gullhaven/coord/memory"
	"github.com/gullhaven/gullhaven/metrics"
	"github.com/gullhaven/gullhaven/metrics/lines"
	"github.com/gullhaven/gullhaven/node/control"
	"github.com/gullhaven/gullhaven/node/entry"
	"github.com/gullhaven/gullhaven/node/feed"
	"github.com/gullhaven/gullhaven/node/intake"
	"github.com/gullhaven/gullhaven/node/quota"
	"github.com/gullhaven/gullhaven/pipeline/exchange"
	"github.com/gullhaven/gullhaven/platform"
	"github.com/gullhaven/gullhaven/ports/rawhttp"
	"github.com/gullhaven/gullhaven/ports/serve"
	"github.com/gullhaven/gullhaven/ports/transport"
	"github.com/gullhaven/gullhaven/settings"
)

// siteOptions of the command site.
type siteOptions struct {
	Settings string `long:"settings" value-name:"FILE" description:"JSON settings of the instance; by default the file that the platform's variable names"`
	Check    bool   `long:"check" description:"Check the settings, print all faults and exit"`
}

const (
	// gcMemoryShare is the share of an instance's memory near which the garbage collector works
	// harder; the rest is for stacks, the runtime and memory of the kernel.
	gcMemoryShare = 0.5
	// gcPercent is the growth of the heap between collections: the heaps are a few MB, and
	// memory costs more than the collector's time.
	gcPercent = 50
	// shutdownMargin is subtracted from the grace period, for closing the servers.
	shutdownMargin = 900 * time.Millisecond
	// closeTimeout bounds the time in which the answers of requests that have ended are written out, and
	// endTimeout the time in which requests end that are told to.
	closeTimeout = 400 * time.Millisecond
	endTimeout   = 200 * time.Millisecond
	// minDrainTime is the minimum time that a leaving entry instance serves: by then all
	// callers have dropped it, see platform.DirectoryHandler.
	minDrainTime = 3 * time.Second
	// drainPollInterval is the time between two checks of the requests in progress.
	drainPollInterval = 100 * time.Millisecond
	// headerTimeout and callerIdleTimeout bound a caller's connection. They are above what any
	// configuration allows callers to rely on.
	headerTimeout     = 6 * time.Second
	callerIdleTimeout = 75 * time.Second
	// peerIdleTimeout bounds idle connections of other instances, which close them before.
	peerIdleTimeout = 60 * time.Second
	// accessLinesPerSecond bounds the log lines of answered requests; each costs about 5
	// microseconds of a core.
	accessLinesPerSecond = 20
	// platformTimeout bounds a call to the platform.
	platformTimeout = 2 * time.Second
)

// site runs one instance of a site.
type site struct {
	s   *settings.Site
	log *zap.Logger
	// accessLog logs answered requests, within a budget.
	accessLog *zap.Logger
	sink      *lines.Sink
	budget    *lines.Budget
	// servers are those of runEntry or runCore, by address.
	servers  map[string]*serve.Server
	serveErr chan error
	// memory bounds what the requests at all servers hold together.
	memory *memory.Budget
}

func (o *siteOptions) run(ctx context.Context, out io.Writer) error {
	path := o.Settings
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	if path == "" {
		return fmt.Errorf("%w: site needs --settings or %s", errUsage, platform.SettingsVariable)
	}
	s, err := settings.LoadSite(path)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if o.Check {
		_, err := fmt.Fprintf(out, "%s: settings of instance %s are in order\n", path, s.Instance)
		return err
	}
	sink := lines.NewSink(out)
	core, err := newLogCore(sink, s.LogLevel)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	limitHeap(s.MemoryMB)
	instanceField := zap.String("instance", s.Instance)
	budget := lines.NewBudget(core, accessLinesPerSecond)
	r := &site{
		s: s, log: zap.New(core).With(instanceField), accessLog: zap.New(budget).With(instanceField), sink: sink, budget: budget,
		servers: map[string]*serve.Server{}, serveErr: make(chan error, 1),
		memory: memory.New(memory.Limit(s.MemoryMB)),
	}
	logCtx, stopLog := context.WithCancel(context.Background())
	defer stopLog()
	// The wait for the last lines is bounded.
	defer func() { _ = sink.Sync() }()
	go sink.Run(logCtx)
	go lines.ReportMissing(logCtx, r.log, sink, budget)
	go r.watchSettings(ctx, path)
	if s.Listen.Callers != "" {
		return r.runEntry(ctx)
	}
	return r.runCore(ctx)
}

// limitHeap has the garbage collector work harder near a part of the memory of the process, which is in MiB.
func limitHeap(memoryMB int) {
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(memoryMB<<20) * gcMemoryShare))
	}
}

// Missing implements lines.Counts.
func (r *site) Missing() (dropped, skipped uint64) { return r.sink.Dropped(), r.budget.Skipped() }

// watchSettings reads and checks the settings again on SIGHUP, with which the platform
// announces a change. It only logs the result: addresses and seeds are used at the start,
// and the members come from the group itself.
func (r *site) watchSettings(ctx context.Context, path string) {
	changed := make(chan os.Signal, 1)
	signal.Notify(changed, syscall.SIGHUP)
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
		if _, err := settings.LoadSite(path); err != nil {
			r.log.Error("changed settings are invalid, the old ones stay in use", zap.Error(err))
			continue
		}
		r.log.Info("changed settings are valid and are used from the next start on")
	}
}

func (r *site) runEntry(ctx context.Context) error {
	s := r.s
	hardLoad := platform.HardLoad(s.HardLoad, s.Contracts)
	i, err := entry.New(entry.Options{
		Self: feed.Entry{
			ID: s.Listen.Instances, Region: s.Region, Zone: s.Zone, CallerAddress: s.Listen.Callers, Capacity: s.Capacity.ProcessorMilli(),
		},
		WeightedDirectory: hardLoad.WeightedDirectory,

		Seeds:   s.SeedIDs(),
		Format:  platform.Format{},
		Dialect: platform.Dialect{},
		Retries: exchange.RetryLimits{Span: s.Retries.Span(), Share: s.Retries.Share, Allowance: s.Retries.Allowance},
		Regions: s.RegionNames(),
		Tolerance: quota.Tolerance{
			Window: s.LimitTolerance.Window(), Share: s.LimitTolerance.Share, Units: s.LimitTolerance.Units,
		},
		FairAdmission: hardLoad.FairAdmission, UrgentFirst: hardLoad.UrgentFirst, PromisedReturns: hardLoad.PromisedReturns,
		Memory: r.memory, Log: r.log, AccessLog: r.accessLog, Lines: r, Intake: r.intake,
	})
	if err != nil {
		return err
	}
	if err := r.listen(map[string]http.Handler{
		s.Listen.Metrics:         i.MetricsHandler(),
		s.Listen.BindInstances(): i.PeerHandler(),
		s.Listen.Callers:         i.CallerHandler(),
		s.Listen.Ready:           platform.ReadyHandler(i.Ready),
		s.Listen.Directory:       platform.DirectoryHandler(i.CallerAddresses),
	}, i.Gateway().MaxHeadBytes); err != nil {
		return err
	}
	i.Start()
	go intake.Watch(ctx, r.log, r.intake)
	r.log.Info("started", zap.String("callers", s.Listen.Callers))
	select {
	case <-ctx.Done():
	case err := <-r.serveErr:
		return err
	}
	r.log.Info("leaving", zap.Int64("in_progress", i.Gateway().InFlight()))
	i.Drain(drain.NewPlan(time.Now(), minDrainTime, s.Grace()-shutdownMargin))
	r.awaitDrained(i.Gateway())
	r.log.Info("closing", zap.Int64("in_progress", i.Gateway().InFlight()))
	cut := r.close(closeTimeout)
	i.Stop()
	r.log.Info("ended", zap.Int("cut", cut))
	return nil
}

// awaitDrained waits until the gateway accepts no request any more and none is in progress.
func (r *site) awaitDrained(g *exchange.Gateway) {
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	last := time.Now().Add(r.s.Grace() - shutdownMargin + endTimeout)
	finishing := false
	for range tick.C {
		now := time.Now()
		if g.StepDrain(now) || now.After(last) {
			return
		}
		if !finishing && g.DrainPhase(now) != drain.Notice {
			finishing = true
			// Callers that keep a connection would send on it what is refused from now on.
			r.servers[r.s.Listen.Callers].CloseIdle()
		}
	}
}

// maxOperatorHeadBytes returns the bound of the head of a request at a core instance.
func maxOperatorHeadBytes() int { return exchange.DefaultMaxHeadBytes }

func (r *site) runCore(ctx context.Context) error {
	s := r.s
	list := &platform.List{Address: s.InstanceList, Regions: s.Regions, Client: transport.NewHTTPClient(platformTimeout), Log: r.log}
	i, err := control.New(control.Options{
		Self:       feed.Core{ID: s.Listen.Instances, Region: s.Region, Zone: s.Zone},
		Regions:    s.RegionNames(),
		Seeds:      s.SeedIDs(),
		FirstStart: s.FirstStart,
		Dir:        s.DataDir,
		Format:     platform.Format{},
		ReadList:   list.Read,
		ListRate:   s.InstanceListRate,
		Log:        r.log,
		Lines:      r,
		Intake:     r.intake,
	})
	if err != nil {
		return err
	}
	if err := r.listen(map[string]http.Handler{
		s.Listen.Metrics:         i.MetricsHandler(),
		s.Listen.BindInstances(): i.PeerHandler(),
		s.Listen.Operators:       platform.OperatorHandler(i),
	}, maxOperatorHeadBytes); err != nil {
		return err
	}
	i.Start()
	go intake.Watch(ctx, r.log, r.intake)
	r.log.Info("started", zap.String("operators", s.Listen.Operators), zap.Bool("first_start", s.FirstStart))
	select {
	case <-ctx.Done():
	case <-i.Done():
		return errors.New("the log has ended")
	case err := <-r.serveErr:
		return err
	}
	r.log.Info("leaving")
	err = i.Stop()
	r.close(closeTimeout)
	return err
}

// limit bounds what the clients of a server take up. Those of the address for instances are instances.
func (r *site) limit(server *serve.Server, address string, maxHead func() int) {
	switch address {
	case r.s.Listen.BindInstances():
		server.Limit(r.memory, serve.Bounds{}, nil)
	case r.s.Listen.Callers:
		server.Limit(r.memory, serve.CallerBounds(r.s.MemoryMB), maxHead)
	default:
		server.Limit(r.memory, serve.OtherBounds(), maxHead)
	}
}

// listen serves each handler on its address; an empty address is skipped. maxHead returns the bound of a client's
// head in bytes.
func (r *site) listen(handlers map[string]http.Handler, maxHead func() int) error {
	for address, h := range handlers {
		if address == "" {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		server := &http.Server{
			Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, ErrorLog: zap.NewStdLog(r.log),
			ConnContext: exchange.WithCallerConn,
		}
		if address == r.s.Listen.BindInstances() {
			server.IdleTimeout = peerIdleTimeout
			server.ConnState = tuneLink
		}
		serving := serve.New(l, server)
		r.limit(serving, address, maxHead)
		r.servers[address] = serving
	}
	for _, serving := range r.servers {
		go func() {
			if err := serving.Serve(); err != nil {
				select {
				case r.serveErr <- err:
				default:
				}
			}
		}()
	}
	return nil
}

// intake returns what clients take up. It must be called after listen.
func (r *site) intake() metrics.Intake {
	var servers []*serve.Server
	for address, server := range r.servers {
		if address != r.s.Listen.BindInstances() {
			servers = append(servers, server)
		}
	}
	return metrics.SumIntake(r.memory, servers)
}

// tuneLink makes the kernel close connections of other instances that are silent.
func tuneLink(c net.Conn, s http.ConnState) {
	link.TuneConn(c, s)
	if tcp, ok := c.(*net.TCPConn); ok && s == http.StateNew {
		// If it fails, a lost connection is still detected by the pings of the link.
		_ = rawhttp.DetectDeadPeer(tcp, entry.AnswerAckTimeout)
	}
}

// close closes all servers in parallel and returns how many connections were cut off after the timeout. In
// sequence this could exceed the grace period.
func (r *site) close(timeout time.Duration) int {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var cut atomic.Int64
	var wg sync.WaitGroup
	for _, s := range r.servers {
		wg.Go(func() { cut.Add(int64(s.Close(ctx))) })
	}
	wg.Wait()
	return int(cut.Load())
}
