package metrics

import (
	"sort"
	"sync/atomic"
	"time"
)

// histogram counts values in fixed buckets. Buckets can be summed over instances and cost two
// atomic additions. The histograms of go-metrics keep a random sample of the values under a
// lock, and their quantiles can't be summed.
type histogram struct {
	// bounds are the upper bounds of all buckets but the last.
	bounds  []float64
	buckets []atomic.Int64
	// sumNanos is the sum of the values in billionths.
	sumNanos atomic.Int64
}

func newHistogram(bounds []float64) *histogram {
	return &histogram{bounds: bounds, buckets: make([]atomic.Int64, len(bounds)+1)}
}

// update counts a value; nanos is the same value in billionths.
func (h *histogram) update(value float64, nanos int64) {
	h.buckets[sort.SearchFloat64s(h.bounds, value)].Add(1)
	h.sumNanos.Add(nanos)
}

// Count returns the number of values.
func (h *histogram) Count() int64 {
	var n int64
	for i := range h.buckets {
		n += h.buckets[i].Load()
	}
	return n
}

var timeBoundsSeconds = []float64{
	0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60,
}

// Times is a histogram of durations.
type Times struct{ *histogram }

// Update adds one duration.
func (t *Times) Update(d time.Duration) { t.update(d.Seconds(), int64(d)) }

// ratioBounds are spread evenly around 1 on a logarithmic scale.
var ratioBounds = []float64{0.05, 0.1, 0.2, 0.35, 0.5, 0.7, 0.85, 1.2, 1.4, 2, 3, 5, 10, 20}

// Ratios is a histogram of ratios.
type Ratios struct{ *histogram }

// Update adds one ratio.
func (r *Ratios) Update(ratio float64) {
	const nano = 1e9
	r.update(ratio, int64(ratio*nano))
}
