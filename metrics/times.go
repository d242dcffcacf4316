package metrics

import (
	"sort"
	"sync/atomic"
	"time"
)

// bounds are the upper ends of the buckets.
var bounds = [...]time.Duration{
	500 * time.Microsecond,
	time.Millisecond,
	2500 * time.Microsecond,
	5 * time.Millisecond,
	10 * time.Millisecond,
	25 * time.Millisecond,
	50 * time.Millisecond,
	100 * time.Millisecond,
	250 * time.Millisecond,
	500 * time.Millisecond,
	time.Second,
	2500 * time.Millisecond,
	5 * time.Second,
	10 * time.Second,
	30 * time.Second,
	60 * time.Second,
}

// Times counts times in fixed buckets. The samples of go-metrics keep a random
// part of the values under a lock, whose quantiles can't be summed over
// instances; buckets can, and cost two atomic additions.
type Times struct {
	buckets [len(bounds) + 1]atomic.Int64
	nanos   atomic.Int64
}

func newTimes() *Times { return &Times{} }

// Update takes one time.
func (t *Times) Update(d time.Duration) {
	i := sort.Search(len(bounds), func(i int) bool { return d <= bounds[i] })
	t.buckets[i].Add(1)
	t.nanos.Add(int64(d))
}

// Count is the number of times taken.
func (t *Times) Count() int64 {
	var n int64
	for i := range t.buckets {
		n += t.buckets[i].Load()
	}
	return n
}
