package pipeline

import (
	"context"
	"sync"
	"time"

	"github.com/gullhaven/gullhaven/coord/claim"
	"github.com/gullhaven/gullhaven/coord/ring"
	"github.com/gullhaven/gullhaven/metrics"
	"github.com/gullhaven/gullhaven/ports"
)

const (
	// recordRing bounds the ends of claims that wait for one home.
	recordRing = 4096
	// recordWorkers record at one home at once; each waits for a commit there.
	recordWorkers = 16
	// recordTry bounds one try.
	recordTry = 5 * time.Second
	// Pauses between tries.
	recordPause    = 100 * time.Millisecond
	recordMaxPause = 5 * time.Second
	// recordTries bounds the tries; the record counts as MayHaveRun afterwards.
	recordTries = 200
)

// recorder tells the homes of claims how claimed requests ended. An end that is
// lost leaves the claim running until it counts as "may have run": too careful,
// never wrong.
type recorder struct {
	claims  ports.Claims
	metrics *metrics.Set
	mu      sync.Mutex
	homes   map[string]*ring.Ring[claim.Command]
	started chan string
}

// maxHomes bounds the regions that claims go to.
const maxHomes = 256

func newRecorder(c ports.Claims, m *metrics.Set) *recorder {
	return &recorder{claims: c, metrics: m, homes: map[string]*ring.Ring[claim.Command]{}, started: make(chan string, maxHomes)}
}

// push hands a command on; nil is left out.
func (r *recorder) push(home string, c *claim.Command) {
	if c == nil {
		return
	}
	if !r.ring(home).TryPush(*c) {
		r.metrics.ClaimsUnrecorded.Inc(1)
	}
}

func (r *recorder) ring(home string) *ring.Ring[claim.Command] {
	r.mu.Lock()
	defer r.mu.Unlock()
	q, ok := r.homes[home]
	if !ok {
		q = ring.New[claim.Command](recordRing)
		r.homes[home] = q
		r.started <- home
	}
	return q
}

// run starts the workers of each home, until ctx ends.
func (r *recorder) run(ctx context.Context) {
	var workers sync.WaitGroup
	defer workers.Wait()
	for {
		select {
		case home := <-r.started:
			for range recordWorkers {
				workers.Go(func() { r.work(ctx, home) })
			}
		case <-ctx.Done():
			return
		}
	}
}

func (r *recorder) work(ctx context.Context, home string) {
	q := r.ring(home)
	for {
		c, err := q.Pop(ctx)
		if err != nil {
			return
		}
		if r.record(ctx, home, c) {
			r.metrics.ClaimsRecorded.Inc(1)
		} else {
			r.metrics.ClaimsUnrecorded.Inc(1)
		}
	}
}

// record tries until the home has answered.
func (r *recorder) record(ctx context.Context, home string, c claim.Command) bool {
	pause := recordPause
	for range recordTries {
		try, cancel := context.WithTimeout(ctx, recordTry)
		res, err := r.claims.Propose(try, home, c)
		cancel()
		if err == nil {
			return res.Reply == claim.Accepted
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return false
		}
		pause = min(2*pause, recordMaxPause)
	}
	return false
}
