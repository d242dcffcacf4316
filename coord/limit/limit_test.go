package limit

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var (
	start     = time.Unix(1_800_000_000, 0)
	fullLimit = Limit{Rate: 100, Burst: 200}
	id        = ID{"w", Requests}
)

const (
	lease = 6 * time.Second
	step  = 250 * time.Millisecond
)

func lookup(i ID) (Limit, bool) { return fullLimit, i.Resource == Requests }

// cluster is several Limiters and their Allocator on a faulty network.
type cluster struct {
	t         *rapid.T
	now       time.Time
	alloc     *Allocator
	limiters  []*Limiter
	names     []string
	responses []response
	// lossy: single messages are lost, duplicated and delayed. partitioned is the number
	// of instances that send and receive nothing after partitionedAt.
	lossy         bool
	partitioned   int
	partitionedAt time.Time
	// excess is what passed above the rate since its lowest point.
	excess float64
}

type response struct {
	to     int
	number uint64
	shares []Share
}

func newCluster(t *rapid.T) *cluster {
	p := &cluster{t: t, now: start}
	n := rapid.IntRange(2, 5).Draw(t, "instances")
	for i := range n {
		p.names = append(p.names, fmt.Sprint(i))
		p.limiters = append(p.limiters, NewLimiter(lookup, n, lease))
	}
	p.alloc = NewAllocator(start, lookup, lease, p.names)
	return p
}

func (p *cluster) chance(label string, oneIn int) bool {
	return p.lossy && rapid.IntRange(1, oneIn).Draw(p.t, label) == 1
}

func (p *cluster) isPartitioned(i int) bool { return i < p.partitioned && p.now.After(p.partitionedAt) }

// round sends a report of each instance and delivers delayed responses.
func (p *cluster) round() {
	delayed := p.responses
	p.responses = nil
	for i, l := range p.limiters {
		p.send(i)(l.Report(p.now))
		if number, demands := l.UrgentReport(p.now); len(demands) > 0 {
			p.send(i)(number, demands)
		}
	}
	for _, a := range delayed {
		p.limiters[a.to].ApplyShares(p.now, a.number, a.shares)
	}
}

// send returns a function that delivers a report of instance i to the Allocator, and the
// response to the instance, now or later.
func (p *cluster) send(i int) func(number uint64, demands []Demand) {
	return func(number uint64, demands []Demand) {
		if p.isPartitioned(i) || p.chance("report lost", 4) {
			return
		}
		shares := p.alloc.Report(p.now, p.names[i], number, demands)
		if p.chance("report duplicated", 4) && p.alloc.Report(p.now, p.names[i], number, demands) != nil {
			p.t.Fatal("a duplicated report got a response")
		}
		a := response{i, number, shares}
		if p.chance("response late", 4) {
			p.responses = append(p.responses, a)
		} else if !p.chance("response lost", 4) {
			p.limiters[i].ApplyShares(p.now, number, shares)
		}
	}
}

// takeAndCheck requests some units at each instance and checks the bound on any window.
func (p *cluster) takeAndCheck(asked []int) {
	passed, floors := 0.0, 0.0
	for i, l := range p.limiters {
		for range asked[i] {
			if ok, _ := l.Consume(p.now, "w", 0); ok {
				passed++
			}
		}
		if b := l.buckets[id]; b != nil && !p.now.Before(b.until) && p.lossy {
			floors += b.floor.Rate
		}
	}
	allowed := max(fullLimit.Rate, floors+p.inForce()) * step.Seconds()
	p.excess = max(0, p.excess+passed-allowed)
	if maxExcess := 2*fullLimit.Burst + allowed + float64(len(p.names)); p.excess > maxExcess {
		p.t.Fatalf("%v above the rate, want at most %v", p.excess, maxExcess)
	}
}

func (p *cluster) inForce() float64 {
	sum := 0.0
	for _, l := range p.limiters {
		if b := l.buckets[id]; b != nil && p.now.Before(b.until) {
			sum += b.share.Rate
		}
	}
	if sum > fullLimit.Rate*(1+1e-9) {
		p.t.Fatalf("shares in force sum to %v, the limit is %v", sum, fullLimit.Rate)
	}
	return sum
}

// Guards against a region that passes more than a workspace's limit while reports and
// responses are lost, duplicated and late, demand moves and stops, and some instances are
// partitioned and use their floors: a share granted to another while its old holder still
// spends it, a floor that was not set aside, or a new burst for each new bucket.
func TestNeverOverTheLimitInAnyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newCluster(t)
		p.lossy = rapid.Bool().Draw(t, "lossy")
		if !p.lossy {
			p.partitioned = rapid.IntRange(0, len(p.names)).Draw(t, "cut")
			p.partitionedAt = start.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "cut at")) * time.Second)
		}
		asked := make([]int, len(p.names))
		for i := range 240 {
			if i%20 == 0 {
				for j := range asked {
					asked[j] = rapid.SampledFrom([]int{0, 0, 1, 10, 60}).Draw(t, "asked")
				}
			}
			if i%4 == 0 {
				p.round()
				p.alloc.Sweep(p.now)
			}
			p.takeAndCheck(asked)
			p.now = p.now.Add(step)
		}
	})
}

// Guards against a region that passes more than a workspace's limit for as long as it is
// partitioned, or while workspaces come and go. All ask for more than the limit; some
// instances are partitioned, or ask briefly and stop until their bucket is removed. Causes:
// floors that are not set aside, or a new burst with each bucket.
func TestPartitionsAndRecreatedBucketsStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newCluster(t)
		p.partitioned = rapid.IntRange(0, len(p.names)).Draw(t, "cut")
		p.partitionedAt = start.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "cut at")) * time.Second)
		intermittent := rapid.IntRange(p.partitioned, len(p.names)).Draw(t, "come and go")
		asked := make([]int, len(p.names))
		for i := range 1600 {
			for j := range asked {
				asked[j] = 40
				if j >= intermittent && j > 0 && i%160 > 2 {
					asked[j] = 0
				}
			}
			if i%4 == 0 {
				p.round()
				p.alloc.Sweep(p.now)
			}
			p.takeAndCheck(asked)
			p.now = p.now.Add(step)
		}
	})
}

// Guards against a share that was granted to another and takes effect again: a response is
// overtaken by a later one, the bucket is removed and created anew, and the old response
// arrives.
func TestOvertakenResponseIsIgnored(t *testing.T) {
	l := NewLimiter(lookup, 2, lease)
	now := start
	l.Consume(now, "w", 0)
	first, _ := l.Report(now)
	second, _ := l.Report(now)
	l.ApplyShares(now, second, []Share{{ID: id, Seq: 2, Limit: fullLimit, Lease: lease}})
	delete(l.buckets, id) // As Report does after some time without demand.
	l.Consume(now, "w", 0)
	l.ApplyShares(now, first, []Share{{ID: id, Seq: 1, Limit: fullLimit, Lease: lease}})
	if got := l.buckets[id].seq; got != 0 {
		t.Fatalf("share %d took effect again", got)
	}
}

// Guards against a workspace held below its limit because shares are equal, or stay where
// demand was, while demand is uneven and moves to another instance.
func TestLimitIsUsedWhereDemandIs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newCluster(t)
		asked := make([]int, len(p.names))
		for range 2 {
			total := 0
			for j := range asked {
				asked[j] = rapid.SampledFrom([]int{0, 1, 5, 20, 30}).Draw(t, "asked")
				total += asked[j]
			}
			got := 0
			for i := range 120 {
				if i%4 == 0 {
					p.round()
				}
				p.now = p.now.Add(step)
				for j, l := range p.limiters {
					for range asked[j] {
						if ok, _ := l.Consume(p.now, "w", 0); ok && i >= 60 {
							got++
						}
					}
				}
			}
			want := 0.9 * min(fullLimit.Rate*step.Seconds(), float64(total)) * 60
			if shares := p.inForce(); total > 0 && shares < 0.9*fullLimit.Rate {
				t.Fatalf("shares in force sum to only %v", shares)
			}
			if float64(got) < want {
				t.Fatalf("%d passed of %v wanted, asked %v", got, want, asked)
			}
		}
		for range 200 {
			p.now = p.now.Add(time.Second)
			p.round()
			p.alloc.Sweep(p.now)
		}
		for _, l := range p.limiters {
			if l.Len() != 0 || p.alloc.Len() != 0 {
				t.Fatalf("%d buckets and %d limit states are kept without demand", l.Len(), p.alloc.Len())
			}
		}
	})
}

func BenchmarkAllocateTenThousandWorkspaces(b *testing.B) {
	names := []string{"0", "1", "2", "3", "4", "5", "6", "7", "8"}
	alloc := NewAllocator(start.Add(-lease), lookup, lease, names)
	demands := make([]Demand, 10_000)
	for i := range demands {
		demands[i] = Demand{ID: ID{fmt.Sprint("w", i), Requests}, Rate: float64(i % 200)}
	}
	b.ReportAllocs()
	for i := range b.N {
		now := start.Add(time.Duration(i/9) * time.Second)
		alloc.Report(now, names[i%9], uint64(i/9+1), demands)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/10_000, "ns/demand")
}

func BenchmarkConsumeTenThousandWorkspaces(b *testing.B) {
	l := NewLimiter(lookup, 9, lease)
	names := make([]string, 10_000)
	for i := range names {
		names[i] = fmt.Sprint("w", i)
	}
	b.ReportAllocs()
	for i := range b.N {
		l.Consume(start.Add(time.Duration(i)*time.Microsecond), names[i%len(names)], 100)
	}
}

// Guards against an Allocator that has nothing to grant because it counts the floors of all
// instances that once got a request for a limit, and against instances that keep spending
// floors of limits that others are responsible for.
func TestBucketsOfOtherInstancesLimitsAreDormant(t *testing.T) {
	const instances = 10
	now := start
	var names []string
	for n := range instances {
		names = append(names, fmt.Sprint(n))
	}
	alloc := NewAllocator(now.Add(-lease), lookup, lease, []string{"p"})
	var limiters []*Limiter
	for n := range instances {
		l := NewLimiter(lookup, 1, lease)
		l.SetFloorDelay(0)
		l.SetOwned(func(ID) bool { return n == 0 })
		limiters = append(limiters, l)
		// Requests that arrive before the responsible instance is known spend the floor's burst.
		for ok := true; ok; {
			ok, _ = l.Consume(now, "w", 0)
		}
	}
	for range 4 {
		now = now.Add(step)
		for n, l := range limiters {
			number, demands := l.Report(now)
			l.ApplyShares(now, number, alloc.ReportOf(now, Holder{"p", names[n]}, number, demands))
		}
	}
	for n, l := range limiters {
		s := l.State(now, id)
		if n == 0 && (!s.Leased || s.Rate < fullLimit.Rate/2) {
			t.Errorf("the responsible instance has %+v", s)
		}
		if n > 0 && s.Leased {
			t.Errorf("instance %d has %+v", n, s)
		}
		// Tokens from before the bucket became dormant may be spent.
		for ok := n > 0; ok; {
			ok, _ = l.Consume(now, "w", 0)
		}
		if ok, _ := l.Consume(now.Add(10*lease), "w", 0); n > 0 && ok {
			t.Errorf("instance %d passes more requests", n)
		}
	}
}
