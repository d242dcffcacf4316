package lease

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var (
	start = time.Unix(1_800_000_000, 0)
	cfg   = Config{Duration: 10 * time.Second, MaxDrift: 0.05}
)

// clock is one instance's clock: its rate is wrong by a constant within the bound.
type clock struct{ rate, offset float64 }

func drawClock(t *rapid.T, label string) clock {
	return clock{
		rate:   1 + rapid.SampledFrom([]float64{-1, -0.5, 0, 0.5, 1}).Draw(t, label+" drift")*cfg.MaxDrift,
		offset: rapid.Float64Range(-1e4, 1e4).Draw(t, label+" offset"),
	}
}

func (c clock) at(elapsed time.Duration) time.Time {
	return start.Add(time.Duration(c.offset*1e9 + float64(elapsed)*c.rate))
}

// arrival is an order that arrives at the target, in true time since the start.
type arrival struct {
	at    time.Duration
	order Order
}

func drawTime(t *rapid.T, label string, most time.Duration) time.Duration {
	return time.Duration(rapid.Int64Range(0, int64(most)).Draw(t, label))
}

// drawTimeOrEdge returns the edge half of the time, as the worst case is there.
func drawTimeOrEdge(t *rapid.T, label string, edge, most time.Duration) time.Duration {
	if rapid.Bool().Draw(t, label+" at the edge") {
		return edge
	}
	return drawTime(t, label, most)
}

// previousOrders returns the arrivals of a leader whose last renewal was proposed
// before term, and which does not learn then that it was replaced.
func previousOrders(t *rapid.T, term time.Duration, target Target) []arrival {
	c := drawClock(t, "previous")
	h := NewHolder(cfg)
	renewed := term - drawTimeOrEdge(t, "renewed before", 0, cfg.Duration)
	h.Renewed(1, c.at(renewed))
	last := renewed + time.Duration(float64(cfg.Duration-target.OrderExpiry)/c.rate) - time.Microsecond
	var out []arrival
	now := term - cfg.Duration
	for range rapid.IntRange(1, 20).Draw(t, "orders") {
		now += drawTime(t, "pause", 4*time.Second)
		if last > now && rapid.Bool().Draw(t, "issued at the last moment") {
			now = last
		}
		o, err := h.Issue(c.at(now), target.OrderExpiry)
		if err != nil {
			continue
		}
		left := time.Duration(float64(o.Expiry.Sub(c.at(now))) / c.rate)
		write := now + drawTimeOrEdge(t, "freeze", max(0, left-time.Microsecond), 2*cfg.Duration)
		if o.MaySend(c.at(write)) {
			out = append(out, arrival{write + drawTimeOrEdge(t, "in flight", target.OrderExpiry, target.OrderExpiry), o})
		}
	}
	return out
}

// Guards against a target that ignores the fencing number and runs an order of the old leader
// after it began to follow the new one. A leader is partitioned or frozen, its clock runs
// slow and its orders are in flight for long; a successor takes over and its clock runs fast.
// Causes: a successor that starts before the last order has arrived, or a holder that sends
// after its lease.
func TestOrdersOfTwoLeadersDoNotInterleave(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		target := Target{
			ChecksFence: rapid.Bool().Draw(t, "checks"),
			OrderExpiry: drawTime(t, "expiry", cfg.Duration/2),
		}
		const term = time.Hour
		previous := previousOrders(t, term, target)
		c := drawClock(t, "successor")
		s := NewSuccessor(cfg, c.at(term), true)
		first := term
		for ok := false; !ok; {
			var wait time.Duration
			ok, wait = s.Ready(c.at(first), target)
			first += time.Duration(float64(wait) / c.rate)
			if !ok {
				first++
			}
		}
		if target.ChecksFence {
			checkFence(t, previous, arrival{first, Order{Fence: 2, Seq: 1}})
			return
		}
		for _, a := range previous {
			if a.at >= first {
				t.Fatalf("order %+v arrives %v after the successor began", a.order, a.at-first)
			}
		}
	})
}

// checkFence gives the target all orders by arrival: none of the previous leader
// is accepted after the successor's.
func checkFence(t *rapid.T, previous []arrival, next arrival) {
	if next.at != time.Hour {
		t.Fatalf("a successor waited %v for a target that checks", next.at-time.Hour)
	}
	var f Fence
	for _, a := range previous {
		if a.at < next.at {
			_ = f.Accept(a.order)
		}
	}
	if err := f.Accept(next.order); err != nil {
		t.Fatal(err)
	}
	for _, a := range append(previous, next) {
		var stale *StaleError
		if err := f.Accept(a.order); !errors.As(err, &stale) {
			t.Fatalf("order %+v was accepted after the successor's", a.order)
		}
	}
}

// Guards against orders of a replaced leader: a renewal that was committed long ago is learned
// late, a newer leader is known, or an order is requested near the end. The cause would be a
// lease counted from when its renewal was learned.
func TestHolderRefusesOrdersOutsideItsLease(t *testing.T) {
	h := NewHolder(cfg)
	if _, err := h.Issue(start, time.Second); !errors.Is(err, ErrNotHeld) {
		t.Fatalf("without a lease: %v", err)
	}
	h.Renewed(3, start)
	late := start.Add(9500 * time.Millisecond)
	if _, err := h.Issue(late, time.Second); !errors.Is(err, ErrOutlivesLease) {
		t.Fatalf("near the end: %v", err)
	}
	h.Renewed(3, start.Add(-time.Minute))
	h.Renewed(2, late)
	if o, err := h.Issue(start, time.Second); err != nil || o.Fence != 3 || o.Seq != 1 {
		t.Fatalf("%+v, %v", o, err)
	}
	h.Lost(4)
	h.Renewed(3, late)
	if h.Held(start) {
		t.Fatal("a late renewal restored the lease")
	}
}
