package load

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/gullhaven/gullhaven/coord/ring"
)

const (
	// endGrace is how long the run waits for requests after the last arrival, in
	// addition to their deadline if they have one.
	endGrace = 10 * time.Second
	// auditTimeout bounds the audit.
	auditTimeout     = time.Minute
	progressInterval = time.Second
	runNameBase      = 36
)

// Env is the clock and the output of a run.
type Env struct {
	Now func() time.Time
	// Sleep waits, or returns early with the context's error.
	Sleep func(context.Context, time.Duration) error
	// Progress, if not nil, gets a line each second.
	Progress func(string)
}

// ErrNoInstance means that no directory could be read and nothing was sent.
var ErrNoInstance = errors.New("no instance gave its directory")

// errAudit is returned with the report if the audit failed.
var errAudit = errors.New("the targets could not be asked how often they ran")

// runner holds the state of one run.
type runner struct {
	cfg      *Config
	env      Env
	sender   *sender
	tally    *tally
	start    time.Time
	arrivals *ring.Ring[Request]
	outcomes *ring.Ring[*outcome]
	pending  sync.WaitGroup
}

// Run sends the load, waits for the outcomes and reports. Faults of the gateway are
// in the report and no error. Errors are those of Config.Check, ErrNoInstance, and
// that of a failed audit, with which the report is returned too.
func Run(ctx context.Context, c Config, env Env) (*Report, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	r := newRunner(&c, env)
	defer r.sender.client.CloseIdleConnections()
	if err := r.firstDirectory(ctx); err != nil {
		return nil, err
	}
	took := r.sendLoad(ctx)
	var err error
	if len(c.Audit) > 0 {
		auditCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), auditTimeout)
		defer cancel()
		err = r.sender.audit(auditCtx, r.tally.keys)
	}
	report := r.tally.report(&c, took, len(c.Audit) > 0 && err == nil)
	report.DirectoryFaults = r.sender.directoryFaults.Load()
	if err != nil {
		return report, fmt.Errorf("%w: %w", errAudit, err)
	}
	return report, nil
}

func newRunner(c *Config, env Env) *runner {
	s := &sender{cfg: c, client: newClient(c), now: env.Now, sleep: env.Sleep}
	s.run = strconv.FormatInt(env.Now().UnixNano(), runNameBase)
	for i := range c.Callers {
		s.callers = append(s.callers, newCaller(c, i))
	}
	return &runner{
		cfg: c, env: env, sender: s, tally: newTally(),
		arrivals: ring.New[Request](c.Concurrency),
		outcomes: ring.New[*outcome](c.Concurrency),
	}
}

// firstDirectory returns an error if no instance is known.
func (r *runner) firstDirectory(ctx context.Context) error {
	first := r.sender.callers[0]
	if r.sender.instance(ctx, first, 0) != "" {
		return nil
	}
	if err := r.sender.lastDirectoryError.Load(); err != nil {
		return fmt.Errorf("%w: %w", ErrNoInstance, *err)
	}
	return ErrNoInstance
}

// sendLoad runs the goroutines of the run and returns how long the load took.
func (r *runner) sendLoad(ctx context.Context) time.Duration {
	requestCtx, cancelRequests := context.WithCancel(ctx)
	defer cancelRequests()
	workerCtx, stopWorkers := context.WithCancel(context.Background())
	var senders, tallying sync.WaitGroup
	r.start = r.env.Now()
	for range r.cfg.Concurrency {
		senders.Go(func() { r.sendArrivals(workerCtx, requestCtx) })
	}
	tallying.Go(func() { r.tallyOutcomes() })
	tallying.Go(func() { r.printProgress(workerCtx) })
	r.enqueueArrivals(ctx)
	r.waitForOutcomes(ctx, cancelRequests)
	took := r.env.Now().Sub(r.start)
	stopWorkers()
	senders.Wait()
	_ = r.outcomes.Push(context.Background(), nil)
	tallying.Wait()
	return took
}

// enqueueArrivals enqueues each arrival at its time.
func (r *runner) enqueueArrivals(ctx context.Context) {
	plan := NewPlan(r.cfg)
	for {
		next, more := plan.Next()
		if !more {
			return
		}
		if r.env.Sleep(ctx, next.At-r.env.Now().Sub(r.start)) != nil {
			return
		}
		r.pending.Add(1)
		if !r.arrivals.TryPush(next) {
			r.pending.Done()
			r.record(&outcome{kind: Unsent, dest: next.Dest})
		}
	}
}

// waitForOutcomes waits until no request is pending; after the grace time or the end
// of ctx it cancels the rest.
func (r *runner) waitForOutcomes(ctx context.Context, cancelRequests func()) {
	done := make(chan struct{})
	go func() { r.pending.Wait(); close(done) }()
	timer := time.NewTimer(r.cfg.Deadline + endGrace)
	defer timer.Stop()
	select {
	case <-done:
		return
	case <-timer.C:
	case <-ctx.Done():
	}
	cancelRequests()
	<-done
}

// sendArrivals sends arrivals until workerCtx ends; requestCtx cancels requests.
func (r *runner) sendArrivals(workerCtx, requestCtx context.Context) {
	for {
		next, err := r.arrivals.Pop(workerCtx)
		if err != nil {
			return
		}
		r.send(requestCtx, next)
		r.pending.Done()
	}
}

func (r *runner) send(ctx context.Context, next Request) {
	startDelay := max(0, r.env.Now().Sub(r.start)-next.At)
	record := func(o *outcome) {
		if !o.resend {
			o.startDelay = startDelay
		}
		r.record(o)
	}
	if r.cfg.Plain == "" {
		record(r.sender.sendModel(ctx, next))
		return
	}
	r.tally.addKey(r.sender.sendAtMostOnce(ctx, next, record))
}

func (r *runner) record(o *outcome) { _ = r.outcomes.Push(context.Background(), o) }

// tallyOutcomes counts outcomes up to the nil that marks the end.
func (r *runner) tallyOutcomes() {
	for {
		o, err := r.outcomes.Pop(context.Background())
		if err != nil || o == nil {
			return
		}
		r.tally.add(o)
	}
}

func (r *runner) printProgress(workerCtx context.Context) {
	if r.env.Progress == nil {
		return
	}
	for r.env.Sleep(workerCtx, progressInterval) == nil {
		r.env.Progress(r.tally.progressLine(r.env.Now().Sub(r.start)))
	}
}
