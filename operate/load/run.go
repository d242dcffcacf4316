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
	// endGrace is how long requests may end after the last arrival where they
	// have no deadline, and beyond the deadline where they have one.
	endGrace = 10 * time.Second
	// auditTime bounds the asking of targets.
	auditTime = time.Minute
	// progressInterval is between lines of progress.
	progressInterval = time.Second
	runNameBase      = 36
)

// Host is what a run uses of the world.
type Env struct {
	Now func() time.Time
	// Sleep waits, or ends early with the context's error.
	Sleep func(context.Context, time.Duration) error
	// Progress takes a line each second; nil for none.
	Progress func(string)
}

// ErrNoInstance means that no directory could be read, so that nothing was sent.
var ErrNoInstance = errors.New("no instance gave its directory")

// errAudit marks a run whose targets could not be asked.
var errAudit = errors.New("the targets could not be asked how often they ran")

// runner is one run.
type runner struct {
	cfg      *Config
	host     Env
	sender   *sender
	tally    *tally
	start    time.Time
	arrivals *ring.Ring[Request]
	ends     *ring.Ring[*outcome]
	open     sync.WaitGroup
}

// Run sends the load, waits for its ends, and reports. A fault of the gateway
// is in the report and not an error.
func Run(ctx context.Context, c Config, host Env) (*Report, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	r := newRunner(&c, host)
	defer r.sender.client.CloseIdleConnections()
	if err := r.firstDirectory(ctx); err != nil {
		return nil, err
	}
	took := r.load(ctx)
	var err error
	if len(c.Audit) > 0 {
		auditing, cancel := context.WithTimeout(context.WithoutCancel(ctx), auditTime)
		defer cancel()
		err = r.sender.audit(auditing, r.tally.keys)
	}
	report := r.tally.report(&c, took, len(c.Audit) > 0 && err == nil)
	report.DirectoryFaults = r.sender.directoryFaults.Load()
	if err != nil {
		return report, fmt.Errorf("%w: %w", errAudit, err)
	}
	return report, nil
}

func newRunner(c *Config, host Env) *runner {
	s := &sender{cfg: c, client: newClient(c), now: host.Now, sleep: host.Sleep}
	s.run = strconv.FormatInt(host.Now().UnixNano(), runNameBase)
	for i := range c.Callers {
		s.callers = append(s.callers, newCaller(c, i))
	}
	return &runner{
		cfg: c, host: host, sender: s, tally: newTally(),
		arrivals: ring.New[Request](c.Concurrency),
		ends:     ring.New[*outcome](c.Concurrency),
	}
}

// firstDirectory fails where the load would find no instance at all.
func (r *runner) firstDirectory(ctx context.Context) error {
	first := r.sender.callers[0]
	if r.sender.instance(ctx, first, 0) != "" {
		return nil
	}
	if err := r.sender.lastDirectory.Load(); err != nil {
		return fmt.Errorf("%w: %w", ErrNoInstance, *err)
	}
	return ErrNoInstance
}

// load runs the duties and returns how long it took.
func (r *runner) load(ctx context.Context) time.Duration {
	sending, cut := context.WithCancel(ctx)
	defer cut()
	working, stop := context.WithCancel(context.Background())
	var senders, tallying sync.WaitGroup
	r.start = r.host.Now()
	for range r.cfg.Concurrency {
		senders.Go(func() { r.sendAll(working, sending) })
	}
	tallying.Go(func() { r.tallyAll() })
	tallying.Go(func() { r.progressAll(working) })
	r.arrive(ctx)
	r.await(ctx, cut)
	took := r.host.Now().Sub(r.start)
	stop()
	senders.Wait()
	_ = r.ends.Push(context.Background(), nil)
	tallying.Wait()
	return took
}

// arrive hands out arrivals in their time.
func (r *runner) arrive(ctx context.Context) {
	plan := NewPlan(r.cfg)
	for {
		next, more := plan.Next()
		if !more {
			return
		}
		if r.host.Sleep(ctx, next.At-r.host.Now().Sub(r.start)) != nil {
			return
		}
		r.open.Add(1)
		if !r.arrivals.TryPush(next) {
			r.open.Done()
			r.take(&outcome{kind: Unsent, side: next.Dest})
		}
	}
}

// await waits for the ends, then cuts off what is left.
func (r *runner) await(ctx context.Context, cut func()) {
	done := make(chan struct{})
	go func() { r.open.Wait(); close(done) }()
	timer := time.NewTimer(r.cfg.Deadline + endGrace)
	defer timer.Stop()
	select {
	case <-done:
		return
	case <-timer.C:
	case <-ctx.Done():
	}
	cut()
	<-done
}

// sendAll takes arrivals until working ends; requests end with sending.
func (r *runner) sendAll(working, sending context.Context) {
	for {
		next, err := r.arrivals.Pop(working)
		if err != nil {
			return
		}
		r.send(sending, next)
		r.open.Done()
	}
}

func (r *runner) send(ctx context.Context, next Request) {
	wait := max(0, r.host.Now().Sub(r.start)-next.At)
	take := func(o *outcome) {
		if !o.resend {
			o.wait = wait
		}
		r.take(o)
	}
	if r.cfg.Plain == "" {
		take(r.sender.model(ctx, next))
		return
	}
	r.tally.addKey(r.sender.once(ctx, next, take))
}

func (r *runner) take(o *outcome) { _ = r.ends.Push(context.Background(), o) }

// tallyAll counts ends until the nil that closes them.
func (r *runner) tallyAll() {
	for {
		o, err := r.ends.Pop(context.Background())
		if err != nil || o == nil {
			return
		}
		r.tally.add(o)
	}
}

func (r *runner) progressAll(working context.Context) {
	if r.host.Progress == nil {
		return
	}
	for r.host.Sleep(working, progressInterval) == nil {
		r.host.Progress(r.tally.line(r.host.Now().Sub(r.start)))
	}
}
