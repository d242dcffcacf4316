package limit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	_ "github.com/gullhaven/gullhaven/coord/fixedseed"
	"pgregory.net/rapid"
)

const (
	// offeredShare is the load in the tests of refusals, as a fraction of the limit.
	offeredShare = 0.8
	// tick is the step of simulated time.
	tick = 20 * time.Millisecond
)

// loadSim offers load to Limiters that each report once a second, at different offsets.
type loadSim struct {
	now          time.Time
	alloc        *Allocator
	names        []string
	limiters     []*Limiter
	reportOffset []time.Duration
	rng          *rand.Rand
	weights      []float64 // fraction of the load by instance
	dueRequests  []float64 // requests by instance that are due, without Poisson arrivals
	requestSize  float64   // in units
	// load offered, as a fraction of the limit.
	load         float64
	poisson      bool
	urgent       bool
	regionBucket *Bucket
	// Counts of requests, of refusals, and of refusals by a single bucket for the region;
	// index 0 for the early part of a run, 1 for the rest.
	asked, refused, regionRefused [2]float64
	// excess is what passed above the rate since its lowest point, maxExcess its
	// maximum, and excessLimit what is allowed.
	excess, maxExcess, excessLimit float64
}

func tokensOnly(i ID) (Limit, bool) { return fullLimit, i.Resource == Tokens }

func newLoadSim(n int, seed uint64) *loadSim {
	c := &loadSim{now: start, load: offeredShare, rng: rand.New(rand.NewPCG(seed, 1)), regionBucket: newBucket(start, fullLimit, 0, 1)}
	for i := range n {
		c.names = append(c.names, fmt.Sprint(i))
		c.limiters = append(c.limiters, NewLimiter(tokensOnly, n, lease))
		c.reportOffset = append(c.reportOffset, time.Duration(c.rng.IntN(50))*tick)
	}
	c.alloc = NewAllocator(start.Add(-lease), tokensOnly, lease, c.names)
	c.weights, c.dueRequests = make([]float64, n), make([]float64, n)
	return c
}

// run offers load for d; the first part, of length early, is counted under index 0.
func (c *loadSim) run(d, early time.Duration) {
	for t := time.Duration(0); t < d; t += tick {
		period := 0
		if t >= early {
			period = 1
		}
		for i, l := range c.limiters {
			for range c.arrivals(i) {
				c.consume(l, period)
			}
			if c.now.Sub(start)%time.Second == c.reportOffset[i] {
				number, demands := l.Report(c.now)
				l.ApplyShares(c.now, number, c.alloc.Report(c.now, c.names[i], number, demands))
			}
			if c.urgent && (c.now.Sub(start)+c.reportOffset[i])%minUrgentInterval == 0 {
				c.sendUrgent(l, i)
			}
		}
		c.now = c.now.Add(tick)
		c.excess = max(0, c.excess-fullLimit.Rate*tick.Seconds())
	}
}

func (c *loadSim) consume(l *Limiter, period int) {
	c.asked[period]++
	if ok, _ := c.regionBucket.consume(c.now, c.requestSize); !ok {
		c.regionRefused[period]++
	}
	if ok, _ := l.Consume(c.now, "w", c.requestSize); !ok {
		c.refused[period]++
		return
	}
	c.excess += c.requestSize
	c.maxExcess = max(c.maxExcess, c.excess)
}

func (c *loadSim) arrivals(i int) int {
	mean := c.load * fullLimit.Rate / c.requestSize * c.weights[i] * tick.Seconds()
	if !c.poisson {
		c.dueRequests[i] += mean
		n := int(c.dueRequests[i])
		c.dueRequests[i] -= float64(n)
		return n
	}
	n := 0
	for left := c.rng.ExpFloat64(); left < mean; left += c.rng.ExpFloat64() {
		n++
	}
	return n
}

// spread divides the load evenly, or by powers of two.
func (c *loadSim) spread(even bool) {
	sum := 0.0
	for i, j := range c.rng.Perm(len(c.weights)) {
		c.weights[j] = 1
		if !even {
			c.weights[j] = 1 / float64(int(1)<<i)
		}
		sum += c.weights[j]
	}
	for i := range c.weights {
		c.weights[i] /= sum
		c.dueRequests[i] = c.rng.Float64()
	}
}

// sendUrgent sends an urgent report if there is one.
func (c *loadSim) sendUrgent(l *Limiter, i int) {
	if number, demands := l.UrgentReport(c.now); len(demands) > 0 {
		l.ApplyShares(c.now, number, c.alloc.Report(c.now, c.names[i], number, demands))
	}
}

// falseRefusals returns the fraction refused beyond what a single bucket refused.
func (c *loadSim) falseRefusals(period int) float64 {
	return (c.refused[period] - c.regionRefused[period]) / max(1, c.asked[period])
}

// Guards against refusals for a workspace that asks for less than its limit while load
// arrives at several instances, is redistributed, or all moves to one instance. Causes: the
// first to ask gets all that is free, a new bucket's floor burst is taken back, or an
// instance in debt asks only for its average.
func TestLoadBelowTheLimitPasses(t *testing.T) {
	sums := &phaseStats{}
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 9).Draw(t, "instances")
		c := newLoadSim(n, rapid.Uint64().Draw(t, "seed"))
		c.urgent = rapid.Bool().Draw(t, "urgent")
		c.poisson = rapid.Bool().Draw(t, "poisson")
		part := rapid.SampledFrom([]float64{0.02, 0.1, 0.2}).Draw(t, "part of an instance's second")
		c.requestSize = part * fullLimit.Rate / float64(n)
		c.spread(rapid.Bool().Draw(t, "even"))
		c.run(4*lease, lease)
		c.record(t, sums, atStart)
		c.spread(rapid.Bool().Draw(t, "even anew"))
		c.run(4*lease, lease)
		c.record(t, sums, spreadAnew)
		clear(c.weights)
		c.weights[rapid.IntRange(0, n-1).Draw(t, "to")] = 1
		c.run(4*lease, lease)
		c.record(t, sums, allToOne)
	})
	sums.check(t)
}

// Phases of a case of TestLoadBelowTheLimitPasses.
const (
	atStart = iota
	spreadAnew
	allToOne
	aLeaseLater
	phases
)

// refusalBound limits what is refused beyond what a single bucket for the region would
// refuse, as a fraction of the requests: the mean over all cases, and in each case.
type refusalBound struct{ mean, each float64 }

// refusalBounds by phase, for regular reports alone and with urgent ones.
var refusalBounds = [phases][2]refusalBound{
	atStart:     {{0.02, 0.25}, {0.01, 0.15}},
	spreadAnew:  {{0.05, 0.40}, {0.01, 0.20}},
	allToOne:    {{0.25, 0.60}, {0.10, 0.35}},
	aLeaseLater: {{0.002, 0.10}, {0.001, 0.06}},
}

// refusalStats sums the fractions refused in all cases.
type refusalStats struct{ sum, cases, highest float64 }

func (y *refusalStats) add(x float64) {
	y.sum += x
	y.cases++
	y.highest = max(y.highest, x)
}

type phaseStats [phases][2]refusalStats

// record adds the counts since the last call to sums, checks them and resets them.
func (c *loadSim) record(t *rapid.T, sums *phaseStats, phase int) {
	reports := 0
	if c.urgent {
		reports = 1
	}
	for i, p := range []int{phase, aLeaseLater} {
		got := c.falseRefusals(i)
		sums[p][reports].add(got)
		if maxRefused := refusalBounds[p][reports].each; got > maxRefused {
			t.Fatalf("phase %d: %.3f refused, want at most %v", p, got, maxRefused)
		}
	}
	c.asked, c.refused, c.regionRefused = [2]float64{}, [2]float64{}, [2]float64{}
}

func (s *phaseStats) check(t *testing.T) {
	for p := range s {
		for reports, y := range s[p] {
			mean := y.sum / max(1, y.cases)
			t.Logf("phase %d, urgent reports %d: mean %.4f, highest %.3f", p, reports, mean, y.highest)
			if maxRefused := refusalBounds[p][reports].mean; mean > maxRefused {
				t.Errorf("phase %d, urgent reports %d: %.3f refused, want at most %v", p, reports, mean, maxRefused)
			}
		}
	}
}

// Guards against a workspace with large requests, of up to one second of the limit each,
// being refused most of them because only a full bucket lets them through, or because a
// share isn't raised for debt.
func TestLargeRequestsBelowTheLimit(t *testing.T) {
	const instances = 9
	for _, k := range []struct {
		size    float64
		poisson bool
		bound   float64
	}{
		{fullLimit.Rate / instances, false, 0.02},
		{fullLimit.Rate / instances, true, 0.12},
		{fullLimit.Rate, false, 0.10},
		{fullLimit.Rate, true, 0.25},
	} {
		for _, urgent := range []bool{false, true} {
			sum := &loadSim{}
			for seed := range uint64(20) {
				c := newLoadSim(instances, seed)
				c.requestSize, c.poisson, c.urgent = k.size, k.poisson, urgent
				c.spread(seed%2 == 0)
				c.run(12*lease, lease)
				sum.asked[1] += c.asked[1]
				sum.refused[1] += c.refused[1]
				sum.regionRefused[1] += c.regionRefused[1]
			}
			got := sum.falseRefusals(1)
			t.Logf("size %.1f, Poisson %v, urgent reports %v: %.3f", k.size, k.poisson, urgent, got)
			if got > k.bound {
				t.Errorf("want at most %v", k.bound)
			}
		}
	}
}

// Guards against refusals far below the limit after a change of Allocator, for as long as
// the old one had run: the new one's shares have lower numbers and are taken for old ones.
func TestSharesOfNewAllocatorAreAccepted(t *testing.T) {
	for _, urgent := range []bool{false, true} {
		c := newLoadSim(9, 1)
		c.urgent, c.requestSize = urgent, 1
		c.spread(false)
		c.run(5*lease, 0)
		c.alloc = NewAllocator(c.now, tokensOnly, lease, c.names)
		c.run(3*lease, 2*lease+lease/2)
		if got := c.falseRefusals(1); got > 0.02 {
			t.Errorf("%.3f refused after the change", got)
		}
	}
}

// Guards against a workspace passing twice its limit after a change of Allocator, because
// the new one grants while shares of the old one are in use. A share of zero would end
// those early and keep floors away.
func TestNewAllocatorGrantsNothingForALease(t *testing.T) {
	a := NewAllocator(start, lookup, lease, []string{"0", "1"})
	demands := []Demand{{ID: id, Rate: 1, Held: 1000}}
	if shares := a.Report(start.Add(lease-1), "0", 1, demands); len(shares) != 0 {
		t.Fatalf("granted %v", shares)
	}
	if shares := a.Report(start.Add(lease), "0", 2, demands); len(shares) != 1 || shares[0].Limit.Rate <= 0 {
		t.Fatalf("granted %v", shares)
	}
}

// Guards against a region that passes more than a workspace's limit when instances ask for
// three times the limit in requests of any size, load moves, urgent reports are sent and
// the Allocator changes. Causes: debt of more than one request, a share granted before a
// smaller one is in use, floor bursts given twice, or a new Allocator that grants at once.
func TestLargeRequestsAndUrgentReportsStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 9).Draw(t, "instances")
		c := newLoadSim(n, rapid.Uint64().Draw(t, "seed"))
		c.urgent, c.poisson = true, true
		c.requestSize = rapid.SampledFrom([]float64{1, 5, 20, 100}).Draw(t, "size")
		c.excessLimit = 2*fullLimit.Burst + float64(n)*c.requestSize
		c.load = 3
		for range 6 {
			c.spread(rapid.Bool().Draw(t, "even"))
			if rapid.Bool().Draw(t, "pause") {
				clear(c.weights)
			}
			c.run(time.Duration(rapid.IntRange(1, 30).Draw(t, "seconds"))*time.Second, 0)
			if rapid.IntRange(1, 4).Draw(t, "owner changes") == 1 {
				c.alloc = NewAllocator(c.now, tokensOnly, lease, c.names)
			}
		}
		if c.maxExcess > c.excessLimit*(1+1e-9) {
			t.Fatalf("%v above the rate, want at most %v", c.maxExcess, c.excessLimit)
		}
	})
}
