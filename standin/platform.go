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

// storeWriteBytes is the size of the weight store's writes; each one waits for
// the rate.
const storeWriteBytes = 64 << 10

// WeightStoreConfig configures a stand-in weight store.
type WeightStoreConfig struct {
	// Sizes are the sizes of the objects in bytes, by key.
	Sizes map[string]int64
	// BytesPerSecond bounds all reads together; zero means unlimited.
	BytesPerSecond int64
	// MaxReads bounds concurrent reads; further ones get status 429. Default 4.
	MaxReads int
}

// WeightStore is a stand-in weight store, an http.Handler. Its objects repeat
// the bytes 0 to 250. It is safe for concurrent use.
type WeightStore struct {
	cfg      WeightStoreConfig
	faults   faults
	mu       sync.Mutex
	reads    int
	served   int64
	nextFree time.Time
}

// NewWeightStore returns a weight store with the objects of cfg.
func NewWeightStore(cfg WeightStoreConfig) *WeightStore {
	if cfg.MaxReads <= 0 {
		cfg.MaxReads = 4
	}
	return &WeightStore{cfg: cfg}
}

// SetFaults replaces the faults to inject; they match by key.
func (s *WeightStore) SetFaults(list ...Fault) { s.faults.set(list) }

// Served returns the number of bytes sent, or about to be sent, of all reads.
func (s *WeightStore) Served() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.served
}

// ServeHTTP serves HEAD and GET /weights/{key}. Ranges without an end are
// supported.
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
	if !s.beginRead() {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "at the rate", http.StatusTooManyRequests)
		return
	}
	defer s.endRead()
	s.serveRead(w, r, offsetOf(r), size, s.faults.next([]byte(key)))
}

func offsetOf(r *http.Request) int64 {
	text := strings.TrimSuffix(strings.TrimPrefix(r.Header.Get("Range"), "bytes="), "-")
	n, _ := strconv.ParseInt(text, 10, 64)
	return n
}

func (s *WeightStore) beginRead() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reads >= s.cfg.MaxReads {
		return false
	}
	s.reads++
	return true
}

func (s *WeightStore) endRead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads--
}

func (s *WeightStore) serveRead(w http.ResponseWriter, r *http.Request, offset, size int64, f Fault) {
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
		n := min(storeWriteBytes, end-offset)
		if !s.throttle(r.Context(), n) {
			return
		}
		if _, err := w.Write(storeBytes(offset, n)); err != nil {
			return
		}
		offset += n
	}
	if f.Kind == FaultCut {
		_ = http.NewResponseController(w).Flush()
		abortConnection()
	}
}

// throttle waits until n bytes may be sent at the rate. It returns false if ctx
// ended.
func (s *WeightStore) throttle(ctx context.Context, n int64) bool {
	s.mu.Lock()
	s.served += n
	now := time.Now()
	if s.nextFree.Before(now) {
		s.nextFree = now
	}
	if s.cfg.BytesPerSecond > 0 {
		s.nextFree = s.nextFree.Add(time.Duration(float64(n) / float64(s.cfg.BytesPerSecond) * float64(time.Second)))
	}
	d := s.nextFree.Sub(now)
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

// storePeriodBytes is the period of the contents of objects.
const storePeriodBytes = 251

func storeBytes(offset, n int64) []byte {
	out := make([]byte, n)
	for i := range out {
		out[i] = byte((offset + int64(i)) % storePeriodBytes)
	}
	return out
}

// InstanceList is a stand-in list of instances that lags behind its changes, an
// http.Handler. It is safe for concurrent use.
type InstanceList struct {
	lag  time.Duration
	now  func() time.Time
	mu   sync.Mutex
	past []ports.InstanceSnapshot
}

// NewInstanceList returns an empty list that shows changes after lag. now is the
// clock; nil means time.Now.
func NewInstanceList(lag time.Duration, now func() time.Time) *InstanceList {
	if now == nil {
		now = time.Now
	}
	return &InstanceList{lag: lag, now: now}
}

// Set replaces the list; readers see the change after the lag.
func (l *InstanceList) Set(list ...ports.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.past = append(l.past, ports.InstanceSnapshot{At: l.now(), Instances: list})
}

// ServeHTTP serves the newest list that is at least as old as the lag, with the
// time at which it was set.
func (l *InstanceList) ServeHTTP(w http.ResponseWriter, _ *http.Request) { writeJSON(w, l.visible()) }

func (l *InstanceList) visible() ports.InstanceSnapshot {
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
