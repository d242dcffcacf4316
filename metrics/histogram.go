package metrics

import (
	"sort"
	"sync/atomic"
	"time"
)

// histogram counts values in fixed buckets. The samples of go-metrics keep a random part
// of the values under a lock, whose quantiles can't be summed over instances; buckets can,
// and cost two atomic additions.
type histogram struct {
	// bounds are the upper ends of the buckets but the last.
	bounds  []float64
	buckets []atomic.Int64
	// nanos is the sum of the values, in thousand millionths.
	nanos atomic.Int64
}

func newHistogram(bounds []float64) *histogram {
	return &histogram{bounds: bounds, buckets: make([]atomic.Int64, len(bounds)+1)}
}

func (h *histogram) update(value float64, nanos int64) {
	h.buckets[sort.SearchFloat64s(h.bounds, value)].Add(1)
	h.nanos.Add(nanos)
}

// Count is the number of values taken.
func (h *histogram) Count() int64 {
	var n int64
	for i := range h.buckets {
		n += h.buckets[i].Load()
	}
	return n
}

// timeBounds are in seconds.
var timeBounds = []float64{
	0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60,
}

// Times is a histogram of times.
type Times struct{ *histogram }

// Update takes one time.
func (t *Times) Update(d time.Duration) { t.update(d.Seconds(), int64(d)) }

// ratioBounds lie evenly around 1, where both are alike, by factors.
var ratioBounds = []float64{0.05, 0.1, 0.2, 0.35, 0.5, 0.7, 0.85, 1.2, 1.4, 2, 3, 5, 10, 20}

// Ratios is a histogram of ratios.
type Ratios struct{ *histogram }

// Update takes one ratio.
func (r *Ratios) Update(ratio float64) {
	const nano = 1e9
	r.update(ratio, int64(ratio*nano))
}
