package standin

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gullhaven/gullhaven/ports"
)

// storePart is how much the weight store writes between two waits.
const storePart = 64 << 10

// WeightStoreConfig sets up a stand-in weight store.
type WeightStoreConfig struct {
	// Sizes of the objects by key, in bytes.
	Sizes map[string]int64
	// BytesPerSecond bounds all reads together; zero means no bound.
	BytesPerSecond int64
	// MaxReads at once; beyond it answers 429. Default 4.
	MaxReads int
}

// WeightStore is a stand-in weight store; it is an http.Handler. Its objects
// hold the bytes 0 to 250 over and over.
type WeightStore struct {
	cfg    WeightStoreConfig
	faults faults
	mu     sync.Mutex
	reads  int
	served int64
	free   time.Time
}

// NewWeightStore makes a weight store.
func NewWeightStore(cfg WeightStoreConfig) *WeightStore {
	if cfg.MaxReads <= 0 {
		cfg.MaxReads = 4
	}
	return &WeightStore{cfg: cfg}
}

// SetFaults replaces the faults to make; they match by key.
func (s *WeightStore) SetFaults(list ...Fault) { s.faults.set(list) }

// Served is the number of bytes given out.
func (s *WeightStore) Served() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.served
}

// ServeHTTP serves HEAD and GET /weights/{key}, with ranges from an offset on.
func (s *WeightStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key := strings.TrimPrefix(r.URL.Path, "/weights/")
	size, ok := s.cfg.Sizes[key]
	if !ok {
		http.NotFound(w, r)
		return
	}
	if r.Method == http.MethodHead {
		w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
		return
	}
	if !s.enter() {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "at the rate", http.StatusTooManyRequests)
		return
	}
	defer s.leave()
	s.give(w, r, offsetOf(r), size, s.faults.take([]byte(key)))
}

func offsetOf(r *http.Request) int64 {
	text := strings.TrimSuffix(strings.TrimPrefix(r.Header.Get("Range"), "bytes="), "-")
	n, _ := strconv.ParseInt(text, 10, 64)
	return n
}

func (s *WeightStore) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reads >= s.cfg.MaxReads {
		return false
	}
	s.reads++
	return true
}

func (s *WeightStore) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads--
}

func (s *WeightStore) give(w http.ResponseWriter, r *http.Request, offset, size int64, f Fault) {
	if f.Kind == FaultReject {
		http.Error(w, "at the rate", http.StatusTooManyRequests)
		return
	}
	w.Header().Set("Content-Length", strconv.FormatInt(max(0, size-offset), 10))
	if offset > 0 {
		w.WriteHeader(http.StatusPartialContent)
	}
	end := size
	if f.Kind == FaultCut {
		end = offset + (size-offset)/2
	}
	for offset < end {
		n := min(storePart, end-offset)
		if !s.wait(r.Context(), n) {
			return
		}
		if _, err := w.Write(storeBytes(offset, n)); err != nil {
			return
		}
		offset += n
	}
	if f.Kind == FaultCut {
		_ = http.NewResponseController(w).Flush()
		drop()
	}
}

// wait lets n bytes pass at the rate.
func (s *WeightStore) wait(ctx context.Context, n int64) bool {
	s.mu.Lock()
	s.served += n
	now := time.Now()
	if s.free.Before(now) {
		s.free = now
	}
	if s.cfg.BytesPerSecond > 0 {
		s.free = s.free.Add(time.Duration(float64(n) / float64(s.cfg.BytesPerSecond) * float64(time.Second)))
	}
	d := s.free.Sub(now)
	s.mu.Unlock()
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// period of the bytes in each object.
const period = 251

func storeBytes(offset, n int64) []byte {
	out := make([]byte, n)
	for i := range out {
		out[i] = byte((offset + int64(i)) % period)
	}
	return out
}

// InstanceList is a stand-in list of instances, which lags behind what was set.
type InstanceList struct {
	lag  time.Duration
	now  func() time.Time
	mu   sync.Mutex
	past []ports.InstanceSnapshot
}

// NewInstanceList makes a list that lags by lag. now may be nil.
func NewInstanceList(lag time.Duration, now func() time.Time) *InstanceList {
	if now == nil {
		now = time.Now
	}
	return &InstanceList{lag: lag, now: now}
}

// Set changes the list; readers see it after the lag.
func (l *InstanceList) Set(list ...ports.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.past = append(l.past, ports.InstanceSnapshot{At: l.now(), Instances: list})
}

// ServeHTTP gives the newest list that is as old as the lag.
func (l *InstanceList) ServeHTTP(w http.ResponseWriter, _ *http.Request) { writeJSON(w, l.seen()) }

func (l *InstanceList) seen() ports.InstanceSnapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	until := l.now().Add(-l.lag)
	for len(l.past) > 1 && !l.past[1].At.After(until) {
		l.past = l.past[1:]
	}
	if len(l.past) == 0 || l.past[0].At.After(until) {
		return ports.InstanceSnapshot{Instances: []ports.Instance{}}
	}
	return l.past[0]
}
