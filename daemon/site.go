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
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/coord/link"
	"github.com/gullhaven/gullhaven/metrics/lines"
	"github.com/gullhaven/gullhaven/node/control"
	"github.com/gullhaven/gullhaven/node/entry"
	"github.com/gullhaven/gullhaven/node/feed"
	"github.com/gullhaven/gullhaven/node/quota"
	"github.com/gullhaven/gullhaven/pipeline/exchange"
	"github.com/gullhaven/gullhaven/platform"
	"github.com/gullhaven/gullhaven/ports/rawhttp"
	"github.com/gullhaven/gullhaven/settings"
)

// siteOptions of the command site.
type siteOptions struct {
	Settings string `long:"settings" value-name:"FILE" description:"JSON settings of the instance; by default the file that the platform's variable names"`
	Check    bool   `long:"check" description:"Check the settings, print all faults and exit"`
}

const (
	// memoryShare is the part of an instance's memory at which the collector works
	// harder; the rest is for stacks, the runtime and what the kernel holds.
	memoryShare = 0.5
	// collectPercent is how much the heap may grow between collections: the heaps
	// are a few MB, and memory is dearer than the collector's time.
	collectPercent = 50
	// leaveMargin is taken off the grace time for the last closing.
	leaveMargin = 900 * time.Millisecond
	// leastLeaving is how long a leaving entry instance serves at least: all callers
	// have forgotten it by then, see platform.DirectoryCall.
	leastLeaving = 3 * time.Second
	// leaveTick is the time between two looks at the requests in progress.
	leaveTick = 100 * time.Millisecond
	// headerTime and callerIdle bound a caller's connection: above what any
	// configuration lets callers rely on.
	headerTime = 6 * time.Second
	callerIdle = 75 * time.Second
	// peerIdle is how long other instances may keep a connection; they close first.
	peerIdle = 60 * time.Second
	// ordinaryLines is how many lines a second tell of answered requests; each costs
	// about 5 microseconds of a core.
	ordinaryLines = 20
	// platformTime bounds one call to the platform.
	platformTime = 2 * time.Second
)

// site runs one instance of a site.
type site struct {
	s   *settings.Site
	log *zap.Logger
	// ordinary takes lines of requests that were answered, within a budget.
	ordinary *zap.Logger
	sink     *lines.Sink
	budget   *lines.Budget
	servers  []*http.Server
	failed   chan error
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
	debug.SetGCPercent(collectPercent)
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryMB<<20) * memoryShare))
	}
	named := zap.String("instance", s.Instance)
	budget := lines.NewBudget(core, ordinaryLines)
	r := &site{
		s: s, log: zap.New(core).With(named), ordinary: zap.New(budget).With(named), sink: sink, budget: budget,
		failed: make(chan error, 1),
	}
	logging, end := context.WithCancel(context.Background())
	defer end()
	// The last lines are waited for, but not for long.
	defer func() { _ = sink.Sync() }()
	go sink.Run(logging)
	go lines.Tell(logging, r.log, sink, budget)
	go r.watchSettings(ctx, path)
	if s.Listen.Callers != "" {
		return r.runEntry(ctx)
	}
	return r.runCore(ctx)
}

// Missing implements lines.Counts.
func (r *site) Missing() (dropped, leftOut uint64) { return r.sink.Dropped(), r.budget.LeftOut() }

// watchSettings reads the settings anew when the platform says that they changed. What
// changes at run time are log lines only: addresses and seeds serve the start, and the
// group itself tells of its members.
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
			r.log.Error("changed settings are not in order, the old ones stay", zap.Error(err))
			continue
		}
		r.log.Info("settings read again")
	}
}

func (r *site) runEntry(ctx context.Context) error {
	s := r.s
	i, err := entry.New(entry.Options{
		Self:    feed.Entry{ID: s.Listen.Instances, Region: s.Region, Zone: s.Zone, CallerAddress: s.Listen.Callers},
		Seeds:   s.SeedIDs(),
		Format:  platform.Format{},
		Dialect: platform.Dialect{},
		Retries: exchange.RetryLimits{Span: s.Retries.Span(), Share: s.Retries.Share, Allowance: s.Retries.Allowance},
		Regions: s.RegionNames(),
		Tolerance: quota.Tolerance{
			Window: s.LimitTolerance.Window(), Share: s.LimitTolerance.Share, Units: s.LimitTolerance.Units,
		},
		Log: r.log, AccessLog: r.ordinary, Lines: r,
	})
	if err != nil {
		return err
	}
	if err := r.listen(map[string]http.Handler{
		s.Listen.Metrics:         i.MetricsHandler(),
		s.Listen.BindInstances(): i.PeerHandler(),
		s.Listen.Callers:         i.CallerHandler(),
		s.Listen.Ready:           platform.ReadyCall(i.Ready),
		s.Listen.Directory:       platform.DirectoryCall(i.CallerAddresses),
	}); err != nil {
		return err
	}
	i.Start()
	r.log.Info("started", zap.String("callers", s.Listen.Callers))
	select {
	case <-ctx.Done():
	case err := <-r.failed:
		return err
	}
	r.log.Info("leaving", zap.Int64("in_progress", i.Gateway().InFlight()))
	i.Drain()
	r.awaitEnd(i.Gateway())
	cut := i.Gateway().InFlight()
	r.close(leaveMargin / 3)
	i.Stop()
	r.log.Info("ended", zap.Int64("cut", cut))
	return nil
}

// awaitEnd waits until no request is in progress, after the least time, or until the
// grace time is nearly over.
func (r *site) awaitEnd(g *exchange.Gateway) {
	began := time.Now()
	tick := time.NewTicker(leaveTick)
	defer tick.Stop()
	last := r.s.Grace() - leaveMargin
	for range tick.C {
		spent := time.Since(began)
		if spent >= leastLeaving {
			g.RefuseStreams(began.Add(last))
		}
		if spent >= last || spent >= min(leastLeaving, last) && g.InFlight() == 0 {
			return
		}
	}
}

func (r *site) runCore(ctx context.Context) error {
	s := r.s
	list := &platform.List{Address: s.InstanceList, Regions: s.Regions, Client: &http.Client{Timeout: platformTime}, Log: r.log}
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
	})
	if err != nil {
		return err
	}
	if err := r.listen(map[string]http.Handler{
		s.Listen.Metrics:         i.MetricsHandler(),
		s.Listen.BindInstances(): i.PeerHandler(),
		s.Listen.Operators:       platform.OperatorCalls(i),
	}); err != nil {
		return err
	}
	i.Start()
	r.log.Info("started", zap.String("operators", s.Listen.Operators), zap.Bool("first_start", s.FirstStart))
	select {
	case <-ctx.Done():
	case <-i.Ended():
		return errors.New("the log has ended")
	case err := <-r.failed:
		return err
	}
	r.log.Info("leaving")
	err = i.Stop()
	r.close(leaveMargin / 3)
	return err
}

// listen serves each handler on its address; those without an address are left out.
func (r *site) listen(handlers map[string]http.Handler) error {
	for address, h := range handlers {
		if address == "" {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		server := &http.Server{
			Handler: h, ReadHeaderTimeout: headerTime, IdleTimeout: callerIdle, ErrorLog: zap.NewStdLog(r.log),
		}
		if address == r.s.Listen.BindInstances() {
			server.IdleTimeout = peerIdle
			server.ConnState = tuneLink
		}
		r.servers = append(r.servers, server)
		go func() {
			if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				select {
				case r.failed <- err:
				default:
				}
			}
		}()
	}
	return nil
}

// tuneLink has the kernel give up silent connections of other instances.
func tuneLink(c net.Conn, s http.ConnState) {
	link.TuneConn(c, s)
	if tcp, ok := c.(*net.TCPConn); ok && s == http.StateNew {
		// Without it a cut shows by the pings of the link.
		_ = rawhttp.Watch(tcp, rawhttp.DefaultSilence)
	}
}

// close ends the servers together: what is idle at once, the rest after a while by
// force. One after the other they could take longer than the grace time.
func (r *site) close(wait time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	var wg sync.WaitGroup
	for _, s := range r.servers {
		wg.Go(func() {
			if s.Shutdown(ctx) != nil {
				_ = s.Close()
			}
		})
	}
	wg.Wait()
}
