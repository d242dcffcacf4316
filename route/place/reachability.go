package place

import (
	"sync"
	"time"
)

// A region may be cut off or lost while the others forward their excess load to it, or requests
// that only it may serve.

const (
	// failureThreshold is the number of consecutive failed attempts, at any instances of a region,
	// after which the region counts as unavailable: a single one may have met an instance that has
	// just ended.
	failureThreshold = 2
	// minBackoff and maxBackoff bound how long such a region is excluded. The time doubles with
	// each failed attempt, and a region that is back is found within a second.
	minBackoff = 250 * time.Millisecond
	maxBackoff = time.Second
)

// Reachability records which regions can be reached. The zero value is ready to use, and it is safe
// for concurrent use.
//
// It keeps regions, not instances: if instances were excluded one by one, each of sixty instances
// of a region that is cut off would cost a request the 400 ms that a connection may take.
type Reachability struct {
	mu       sync.Mutex
	byRegion map[string]*regionState
}

type regionState struct {
	failures int
	// retryAt is when the region is tried again, by one request at a time.
	retryAt time.Time
}

// Available reports whether requests may be forwarded to a region now.
func (r *Reachability) Available(now time.Time, region string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.byRegion[region]
	return known == nil || known.failures < failureThreshold || !now.Before(known.retryAt)
}

// Begin records that a request is forwarded to the region. While the region is unavailable, no
// other request follows until this one has a result or the backoff ends.
func (r *Reachability) Begin(now time.Time, region string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known := r.byRegion[region]; known != nil {
		known.backOff(now)
	}
}

// RecordFailure records that an instance of the region could not be reached. It reports whether the
// region becomes unavailable by this failure.
func (r *Reachability) RecordFailure(now time.Time, region string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byRegion == nil {
		r.byRegion = map[string]*regionState{}
	}
	known := r.byRegion[region]
	if known == nil {
		known = &regionState{}
		r.byRegion[region] = known
	}
	known.failures++
	known.backOff(now)
	return known.failures == failureThreshold
}

// RecordAnswer records that an instance of the region has answered. It reports whether the region
// had been unavailable.
func (r *Reachability) RecordAnswer(region string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.byRegion[region]
	delete(r.byRegion, region)
	return known != nil && known.failures >= failureThreshold
}

func (r *regionState) backOff(now time.Time) {
	doublings := max(0, r.failures-failureThreshold)
	r.retryAt = now.Add(min(maxBackoff, minBackoff<<min(doublings, 8)))
}
