package pipeline

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gullhaven/gullhaven/coord/claim"
	"github.com/gullhaven/gullhaven/coord/ring"
	"github.com/gullhaven/gullhaven/metrics"
	"github.com/gullhaven/gullhaven/ports"
)

const (
	// recordQueueSize bounds the ends of claims that wait for one region.
	recordQueueSize = 4096
	// recordWorkers is the number of concurrent records at one region; each waits
	// for a commit there.
	recordWorkers = 16
	// recordTimeout bounds one attempt to record.
	recordTimeout = 5 * time.Second
	// recordBackoff is the first delay between attempts; it doubles up to
	// recordMaxBackoff.
	recordBackoff    = 100 * time.Millisecond
	recordMaxBackoff = 5 * time.Second
	// maxRecordAttempts bounds the attempts to record one end; after them the
	// claim counts as MayHaveRun.
	maxRecordAttempts = 200
)

// recorder records how claimed requests ended, at the region that keeps the
// claim. An end that is lost leaves the claim running until it counts as "may
// have run", which is too careful but never wrong.
type recorder struct {
	claims  ports.Claims
	metrics *metrics.Set
	// pending is the number of commands that wait or are being recorded.
	pending atomic.Int64
	mu      sync.Mutex
	queues  map[string]*ring.Ring[claim.Command]
	// newRegions are those without workers yet; wake is signalled when there are any.
	newRegions []string
	wake       chan struct{}
}

func newRecorder(c ports.Claims, m *metrics.Set) *recorder {
	return &recorder{claims: c, metrics: m, queues: map[string]*ring.Ring[claim.Command]{}, wake: make(chan struct{}, 1)}
}

// push queues a command for a region; a nil command is ignored. A command for
// which the queue has no room is dropped and counted.
func (r *recorder) push(region string, c *claim.Command) {
	if c == nil {
		return
	}
	r.pending.Add(1)
	if !r.queue(region).TryPush(*c) {
		r.pending.Add(-1)
		r.metrics.ClaimsUnrecorded.Inc(1)
	}
}

func (r *recorder) queue(region string) *ring.Ring[claim.Command] {
	r.mu.Lock()
	defer r.mu.Unlock()
	q, ok := r.queues[region]
	if !ok {
		q = ring.New[claim.Command](recordQueueSize)
		r.queues[region] = q
		r.newRegions = append(r.newRegions, region)
		select {
		case r.wake <- struct{}{}:
		default: // A signal is pending already.
		}
	}
	return q
}

// takeNewRegions returns the regions that need workers.
func (r *recorder) takeNewRegions() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	taken := r.newRegions
	r.newRegions = nil
	return taken
}

// run starts the workers of each region as it is first used. It returns when
// ctx has ended and all workers have stopped.
func (r *recorder) run(ctx context.Context) {
	var workers sync.WaitGroup
	defer workers.Wait()
	for {
		select {
		case <-r.wake:
			for _, region := range r.takeNewRegions() {
				for range recordWorkers {
					workers.Go(func() { r.work(ctx, region) })
				}
			}
		case <-ctx.Done():
			return
		}
	}
}

func (r *recorder) work(ctx context.Context, region string) {
	q := r.queue(region)
	for {
		c, err := q.Pop(ctx)
		if err != nil {
			return
		}
		if r.record(ctx, region, c) {
			r.metrics.ClaimsRecorded.Inc(1)
		} else {
			r.metrics.ClaimsUnrecorded.Inc(1)
		}
		r.pending.Add(-1)
	}
}

// record proposes a command until the region has answered, the attempts are used
// up or ctx ends. It reports whether the command was accepted.
func (r *recorder) record(ctx context.Context, region string, c claim.Command) bool {
	backoff := recordBackoff
	for range maxRecordAttempts {
		proposeCtx, cancel := context.WithTimeout(ctx, recordTimeout)
		res, err := r.claims.Propose(proposeCtx, region, c)
		cancel()
		if err == nil {
			return res.Reply == claim.Accepted
		}
		select {
		case <-time.After(backoff):
		case <-ctx.Done():
			return false
		}
		backoff = min(2*backoff, recordMaxBackoff)
	}
	return false
}
