package limit

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var (
	start = time.Unix(1_800_000_000, 0)
	whole = Limit{Rate: 100, Burst: 200}
	id    = ID{"w", Requests}
)

const (
	lease = 6 * time.Second
	step  = 250 * time.Millisecond
)

func lookup(i ID) (Limit, bool) { return whole, i.Resource == Requests }

// pool is a few Limiters and their Allocator over a faulty network.
type pool struct {
	t        *rapid.T
	now      time.Time
	alloc    *Allocator
	limiters []*Limiter
	names    []string
	answers  []answer
	// lossy loses, doubles and delays single messages; cut names instances
	// that hear and say nothing from cutAt on.
	lossy bool
	cut   int
	cutAt time.Time
	// excess is what passed above the rate since its lowest point.
	excess float64
}

type answer struct {
	to     int
	number uint64
	shares []Share
}

func newPool(t *rapid.T) *pool {
	p := &pool{t: t, now: start}
	n := rapid.IntRange(2, 5).Draw(t, "instances")
	for i := range n {
		p.names = append(p.names, fmt.Sprint(i))
		p.limiters = append(p.limiters, NewLimiter(lookup, n, lease))
	}
	p.alloc = NewAllocator(start, lookup, lease, p.names)
	return p
}

func (p *pool) chance(label string, in int) bool {
	return p.lossy && rapid.IntRange(1, in).Draw(p.t, label) == 1
}

func (p *pool) isCut(i int) bool { return i < p.cut && p.now.After(p.cutAt) }

// round is one report of each instance and the answers under way.
func (p *pool) round() {
	late := p.answers
	p.answers = nil
	for i, l := range p.limiters {
		p.send(i)(l.Report(p.now))
		if number, demands := l.UrgentReport(p.now); len(demands) > 0 {
			p.send(i)(number, demands)
		}
	}
	for _, a := range late {
		p.limiters[a.to].ApplyShares(p.now, a.number, a.shares)
	}
}

// send takes a report of an instance to the owner and the answer back.
func (p *pool) send(i int) func(number uint64, demands []Demand) {
	return func(number uint64, demands []Demand) {
		if p.isCut(i) || p.chance("report lost", 4) {
			return
		}
		shares := p.alloc.Report(p.now, p.names[i], number, demands)
		if p.chance("report doubled", 4) && p.alloc.Report(p.now, p.names[i], number, demands) != nil {
			p.t.Fatal("a doubled report was answered")
		}
		a := answer{i, number, shares}
		if p.chance("answer late", 4) {
			p.answers = append(p.answers, a)
		} else if !p.chance("answer lost", 4) {
			p.limiters[i].ApplyShares(p.now, number, shares)
		}
	}
}

// pass asks each instance for some units and checks the bound on any window.
func (p *pool) pass(asked []int) {
	passed, floors := 0.0, 0.0
	for i, l := range p.limiters {
		for range asked[i] {
			if ok, _ := l.Take(p.now, "w", 0); ok {
				passed++
			}
		}
		if b := l.buckets[id]; b != nil && !p.now.Before(b.until) && p.lossy {
			floors += b.floor.Rate
		}
	}
	allowed := max(whole.Rate, floors+p.inForce()) * step.Seconds()
	p.excess = max(0, p.excess+passed-allowed)
	if most := 2*whole.Burst + allowed + float64(len(p.names)); p.excess > most {
		p.t.Fatalf("%v above the rate, at most %v", p.excess, most)
	}
}

func (p *pool) inForce() float64 {
	sum := 0.0
	for _, l := range p.limiters {
		if b := l.buckets[id]; b != nil && p.now.Before(b.until) {
			sum += b.share.Rate
		}
	}
	if sum > whole.Rate*(1+1e-9) {
		p.t.Fatalf("shares of %v are in force, the limit is %v", sum, whole.Rate)
	}
	return sum
}

// Symptom: a workspace passes more than its limit, region-wide.
// Events: reports and answers are lost, doubled and late, demand moves between
// instances and vanishes, some instances are cut off and go on on their floors.
// Cause: a share given on while its old holder still spends it; a floor that
// nobody set aside; a burst given anew to each new bucket.
func TestNeverOverTheLimitInAnyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPool(t)
		p.lossy = rapid.Bool().Draw(t, "lossy")
		if !p.lossy {
			p.cut = rapid.IntRange(0, len(p.names)).Draw(t, "cut")
			p.cutAt = start.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "cut at")) * time.Second)
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
			p.pass(asked)
			p.now = p.now.Add(step)
		}
	})
}

// Symptom: a cut-off region passes more than a workspace's limit, second after
// second; so does one whose workspaces come and go.
// Events: all ask for more than the limit; some instances are cut off, or ask
// for a moment only and fall silent until their bucket is forgotten.
// Cause: floors that are not set aside, a burst given anew with each bucket.
func TestCutsAndComingsAndGoingsStayInTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPool(t)
		p.cut = rapid.IntRange(0, len(p.names)).Draw(t, "cut")
		p.cutAt = start.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "cut at")) * time.Second)
		comes := rapid.IntRange(p.cut, len(p.names)).Draw(t, "come and go")
		asked := make([]int, len(p.names))
		for i := range 1600 {
			for j := range asked {
				asked[j] = 40
				if j >= comes && j > 0 && i%160 > 2 {
					asked[j] = 0
				}
			}
			if i%4 == 0 {
				p.round()
				p.alloc.Sweep(p.now)
			}
			p.pass(asked)
			p.now = p.now.Add(step)
		}
	})
}

// Symptom: a share that was given on comes back to life.
// Events: an answer is overtaken by a later one; the bucket is forgotten and
// made anew; the old answer arrives.
// Cause: answers taken in any order.
func TestOvertakenAnswerIsIgnored(t *testing.T) {
	l := NewLimiter(lookup, 2, lease)
	now := start
	l.Take(now, "w", 0)
	first, _ := l.Report(now)
	second, _ := l.Report(now)
	l.ApplyShares(now, second, []Share{{ID: id, Seq: 2, Limit: whole, Lease: lease}})
	delete(l.buckets, id) // as Report does after a while without demand
	l.Take(now, "w", 0)
	l.ApplyShares(now, first, []Share{{ID: id, Seq: 1, Limit: whole, Lease: lease}})
	if got := l.buckets[id].seq; got != 0 {
		t.Fatalf("share %d came back", got)
	}
}

// Symptom: a workspace is held below its limit although it asks for more.
// Events: demand is uneven and moves to another instance.
// Cause: equal shares, or shares that stay where demand has gone.
func TestLimitIsUsedWhereDemandIs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPool(t)
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
						if ok, _ := l.Take(p.now, "w", 0); ok && i >= 60 {
							got++
						}
					}
				}
			}
			want := 0.9 * min(whole.Rate*step.Seconds(), float64(total)) * 60
			if shares := p.inForce(); total > 0 && shares < 0.9*whole.Rate {
				t.Fatalf("shares of only %v are in force", shares)
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
				t.Fatalf("%d buckets and %d divisions are kept without demand", l.Len(), p.alloc.Len())
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

func BenchmarkTakeTenThousandWorkspaces(b *testing.B) {
	l := NewLimiter(lookup, 9, lease)
	names := make([]string, 10_000)
	for i := range names {
		names[i] = fmt.Sprint("w", i)
	}
	b.ReportAllocs()
	for i := range b.N {
		l.Take(start.Add(time.Duration(i)*time.Microsecond), names[i%len(names)], 100)
	}
}

// Guards against an owner that has nothing to grant as it counts the floors of all that were
// asked for a limit once, and against those that go on to spend their floors.
func TestInstancesThatDoNotStandForALimitSleep(t *testing.T) {
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
		// Asked before it was known who stands for the limit, until its floor's burst is spent.
		for ok := true; ok; {
			ok, _ = l.Take(now, "w", 0)
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
		if n == 0 && (!s.Leased || s.Rate < whole.Rate/2) {
			t.Errorf("the one that stands for the limit has %+v", s)
		}
		if n > 0 && s.Leased {
			t.Errorf("instance %d has %+v", n, s)
		}
		// What came before it slept may be spent.
		for ok := n > 0; ok; {
			ok, _ = l.Take(now, "w", 0)
		}
		if ok, _ := l.Take(now.Add(10*lease), "w", 0); n > 0 && ok {
			t.Errorf("instance %d lets more pass", n)
		}
	}
}
