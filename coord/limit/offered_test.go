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
	// offeredPart of the limit is the load of the tests of refusals.
	offeredPart = 0.8
	tick        = 20 * time.Millisecond
)

// crowd offers load to Limiters whose reports come a second apart, each at its
// own moment.
type crowd struct {
	now      time.Time
	alloc    *Allocator
	names    []string
	limiters []*Limiter
	phase    []time.Duration
	random   *rand.Rand
	weights  []float64
	due      []float64
	size     float64
	// load offered, as a part of the limit.
	load    float64
	poisson bool
	urgent  bool
	central *Bucket
	// asked, refused, and refused by one bucket, soon (0) and late (1).
	asked, refused, ideal [2]float64
	// excess is what passed above the rate since its lowest point, highest the
	// most of it, and most what is allowed.
	excess, highest, most float64
}

func tokensOnly(i ID) (Limit, bool) { return whole, i.Resource == Tokens }

func newCrowd(n int, seed uint64) *crowd {
	c := &crowd{now: start, load: offeredPart, random: rand.New(rand.NewPCG(seed, 1)), central: newBucket(start, whole, 0, 1)}
	for i := range n {
		c.names = append(c.names, fmt.Sprint(i))
		c.limiters = append(c.limiters, NewLimiter(tokensOnly, n, lease))
		c.phase = append(c.phase, time.Duration(c.random.IntN(50))*tick)
	}
	c.alloc = NewAllocator(start.Add(-lease), tokensOnly, lease, c.names)
	c.weights, c.due = make([]float64, n), make([]float64, n)
	return c
}

// run offers load for d; what comes before soon counts as soon.
func (c *crowd) run(d, soon time.Duration) {
	for t := time.Duration(0); t < d; t += tick {
		phase := 0
		if t >= soon {
			phase = 1
		}
		for i, l := range c.limiters {
			for range c.arrivals(i) {
				c.take(l, phase)
			}
			if c.now.Sub(start)%time.Second == c.phase[i] {
				number, demands := l.Report(c.now)
				l.ApplyShares(c.now, number, c.alloc.Report(c.now, c.names[i], number, demands))
			}
			if c.urgent && (c.now.Sub(start)+c.phase[i])%urgentPause == 0 {
				c.hurry(l, i)
			}
		}
		c.now = c.now.Add(tick)
		c.excess = max(0, c.excess-whole.Rate*tick.Seconds())
	}
}

func (c *crowd) take(l *Limiter, phase int) {
	c.asked[phase]++
	if ok, _ := c.central.take(c.now, c.size); !ok {
		c.ideal[phase]++
	}
	if ok, _ := l.Take(c.now, "w", c.size); !ok {
		c.refused[phase]++
		return
	}
	c.excess += c.size
	c.highest = max(c.highest, c.excess)
}

func (c *crowd) arrivals(i int) int {
	mean := c.load * whole.Rate / c.size * c.weights[i] * tick.Seconds()
	if !c.poisson {
		c.due[i] += mean
		n := int(c.due[i])
		c.due[i] -= float64(n)
		return n
	}
	n := 0
	for left := c.random.ExpFloat64(); left < mean; left += c.random.ExpFloat64() {
		n++
	}
	return n
}

// spread divides the load: evenly, or by powers of two.
func (c *crowd) spread(even bool) {
	sum := 0.0
	for i, j := range c.random.Perm(len(c.weights)) {
		c.weights[j] = 1
		if !even {
			c.weights[j] = 1 / float64(int(1)<<i)
		}
		sum += c.weights[j]
	}
	for i := range c.weights {
		c.weights[i] /= sum
		c.due[i] = c.random.Float64()
	}
}

// hurry sends an urgent report.
func (c *crowd) hurry(l *Limiter, i int) {
	if number, demands := l.UrgentReport(c.now); len(demands) > 0 {
		l.ApplyShares(c.now, number, c.alloc.Report(c.now, c.names[i], number, demands))
	}
}

// needless is the part refused beyond what one bucket refused.
func (c *crowd) needless(phase int) float64 {
	return (c.refused[phase] - c.ideal[phase]) / max(1, c.asked[phase])
}

// TestOfferedBelowTheLimitIsPassed:
// Symptom: a workspace that asks for less than its limit is refused.
// Events: load comes to several instances, evenly or not, regular or at random,
// is spread anew, or all of it jumps to one instance.
// Cause: the first to ask is granted all that is free; what is lent to a new
// bucket is taken back; an instance asks for its average though it is in debt.
func TestOfferedBelowTheLimitIsPassed(t *testing.T) {
	sums := &tallies{}
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 9).Draw(t, "instances")
		c := newCrowd(n, rapid.Uint64().Draw(t, "seed"))
		c.urgent = rapid.Bool().Draw(t, "urgent")
		c.poisson = rapid.Bool().Draw(t, "poisson")
		part := rapid.SampledFrom([]float64{0.02, 0.1, 0.2}).Draw(t, "part of an instance's second")
		c.size = part * whole.Rate / float64(n)
		c.spread(rapid.Bool().Draw(t, "even"))
		c.run(4*lease, lease)
		c.count(t, sums, atStart)
		c.spread(rapid.Bool().Draw(t, "even anew"))
		c.run(4*lease, lease)
		c.count(t, sums, spreadAnew)
		clear(c.weights)
		c.weights[rapid.IntRange(0, n-1).Draw(t, "to")] = 1
		c.run(4*lease, lease)
		c.count(t, sums, allToOne)
	})
	sums.check(t)
}

// phases of a case of TestOfferedBelowTheLimitIsPassed.
const (
	atStart = iota
	spreadAnew
	allToOne
	aLeaseLater
	phases
)

// bound is what may be refused beyond what one bucket for the whole region would
// refuse, as a part of what is asked for: in the mean of all cases, and in each.
type bound struct{ mean, each float64 }

// bounds by phase, for regular reports alone and with urgent ones.
var bounds = [phases][2]bound{
	atStart:     {{0.02, 0.25}, {0.01, 0.15}},
	spreadAnew:  {{0.05, 0.40}, {0.01, 0.20}},
	allToOne:    {{0.25, 0.60}, {0.10, 0.35}},
	aLeaseLater: {{0.002, 0.10}, {0.001, 0.06}},
}

// tally sums what cases measured.
type tally struct{ sum, cases, highest float64 }

func (y *tally) add(x float64) {
	y.sum += x
	y.cases++
	y.highest = max(y.highest, x)
}

type tallies [phases][2]tally

// count takes what was measured since the last count.
func (c *crowd) count(t *rapid.T, sums *tallies, phase int) {
	reports := 0
	if c.urgent {
		reports = 1
	}
	for i, p := range []int{phase, aLeaseLater} {
		got := c.needless(i)
		sums[p][reports].add(got)
		if most := bounds[p][reports].each; got > most {
			t.Fatalf("phase %d: %.3f refused, at most %v", p, got, most)
		}
	}
	c.asked, c.refused, c.ideal = [2]float64{}, [2]float64{}, [2]float64{}
}

func (s *tallies) check(t *testing.T) {
	for p := range s {
		for reports, y := range s[p] {
			mean := y.sum / max(1, y.cases)
			t.Logf("phase %d, urgent reports %d: mean %.4f, highest %.3f", p, reports, mean, y.highest)
			if most := bounds[p][reports].mean; mean > most {
				t.Errorf("phase %d, urgent reports %d: %.3f refused, at most %v", p, reports, mean, most)
			}
		}
	}
}

// TestLargeRequestsBelowTheLimit:
// Symptom: a workspace with large requests is refused most of them.
// Events: each request costs up to one second of the limit.
// Cause: only a full bucket lets them through, and a share isn't raised for debt.
func TestLargeRequestsBelowTheLimit(t *testing.T) {
	const instances = 9
	for _, k := range []struct {
		size    float64
		poisson bool
		bound   float64
	}{
		{whole.Rate / instances, false, 0.02},
		{whole.Rate / instances, true, 0.12},
		{whole.Rate, false, 0.10},
		{whole.Rate, true, 0.25},
	} {
		for _, urgent := range []bool{false, true} {
			sum := &crowd{}
			for seed := range uint64(20) {
				c := newCrowd(instances, seed)
				c.size, c.poisson, c.urgent = k.size, k.poisson, urgent
				c.spread(seed%2 == 0)
				c.run(12*lease, lease)
				sum.asked[1] += c.asked[1]
				sum.refused[1] += c.refused[1]
				sum.ideal[1] += c.ideal[1]
			}
			got := sum.needless(1)
			t.Logf("size %.1f, Poisson %v, urgent reports %v: %.3f", k.size, k.poisson, urgent, got)
			if got > k.bound {
				t.Errorf("more than %v", k.bound)
			}
		}
	}
}

// TestNewOwnerIsHeard:
// Symptom: after a change of the owner, instances refuse at a load far below the
// limit for as long as the old one had run.
// Events: an owner numbers shares for a while; another instance takes over.
// Cause: shares of the new owner have lower numbers and are taken for old ones.
func TestNewOwnerIsHeard(t *testing.T) {
	for _, urgent := range []bool{false, true} {
		c := newCrowd(9, 1)
		c.urgent, c.size = urgent, 1
		c.spread(false)
		c.run(5*lease, 0)
		c.alloc = NewAllocator(c.now, tokensOnly, lease, c.names)
		c.run(3*lease, 2*lease+lease/2)
		if got := c.needless(1); got > 0.02 {
			t.Errorf("%.3f refused after the change", got)
		}
	}
}

// TestNewOwnerGrantsNothingForALease:
// Symptom: a workspace passes twice its limit after a change of the owner.
// Events: the new owner answers while shares of the old one are in use; a share
// of nothing would end those early and keep floors away.
// Cause: grants before the predecessor's leases have ended.
func TestNewOwnerGrantsNothingForALease(t *testing.T) {
	a := NewAllocator(start, lookup, lease, []string{"0", "1"})
	demands := []Demand{{ID: id, Rate: 1, Held: 1000}}
	if shares := a.Report(start.Add(lease-1), "0", 1, demands); len(shares) != 0 {
		t.Fatalf("granted %v", shares)
	}
	if shares := a.Report(start.Add(lease), "0", 2, demands); len(shares) != 1 || shares[0].Limit.Rate <= 0 {
		t.Fatalf("granted %v", shares)
	}
}

// TestLargeAndUrgentStayInTheLimit:
// Symptom: a workspace passes more than its limit, region-wide.
// Events: instances ask for three times the limit in requests of any size, load
// moves, urgent reports tell the owner at once, and the owner changes.
// Cause: a debt of more than one request; a share given on before a smaller one
// is in use; lent bursts given twice; a new owner that grants at once.
func TestLargeAndUrgentStayInTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 9).Draw(t, "instances")
		c := newCrowd(n, rapid.Uint64().Draw(t, "seed"))
		c.urgent, c.poisson = true, true
		c.size = rapid.SampledFrom([]float64{1, 5, 20, 100}).Draw(t, "size")
		c.most = 2*whole.Burst + float64(n)*c.size
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
		if c.highest > c.most*(1+1e-9) {
			t.Fatalf("%v above the rate, at most %v", c.highest, c.most)
		}
	})
}
