// Package lease lets one leader at a time give orders to targets.
//
// A leader that is cut off or frozen goes on believing that it leads. Three
// parts keep its orders from mixing with those of its successor:
//
//   - A Holder gives each order a fencing number, a sequence number and an
//     expiry, and refuses an order whose expiry would outlive its lease. The
//     sender asks Order.MaySend right before it writes, so an order that was
//     held up, or whose process was frozen, is dropped.
//   - A Fence at a target refuses orders with an older number. A successor may
//     give orders to such a target at once: older ones are refused from the
//     moment that its first order arrived.
//   - A Successor waits, for a target that ignores the number, until nothing of
//     the former leader can arrive any more.
//
// # The wait
//
// A lease is agreed through the replicated log. Its holder counts it from the
// moment BEFORE it proposed the renewal. The successor counts from the moment
// when its own term was committed, after which no renewal of an older one can
// be. With clocks that run wrong by at most Drift (a ratio) the former lease
// so ends within Duration/(1-Drift) of true time after the successor's start.
// The last order is written before that, and arrives or is dropped by the
// network within the target's order expiry. The successor's clock shows the
// longest such time after Wait.
//
// # What is left
//
// A process that is frozen between MaySend and the write that follows it sends
// the order when it wakes. No clock closes that gap for a target that ignores
// the number. The gap is a few instructions wide; whoever can't bear it must
// use targets that check.
package lease

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// Errors of a Holder.
var (
	// ErrNotHeld: the lease has ended or was never held.
	ErrNotHeld = errors.New("lease is not held")
	// ErrOutlivesLease: the order's expiry would come after the lease's end.
	ErrOutlivesLease = errors.New("order would outlive the lease")
)

// Config is agreed by all instances.
type Config struct {
	// Duration of a lease, on its holder's clock.
	Duration time.Duration
	// MaxDrift bounds how wrong the rate of any clock is, as a share from 0 to
	// below 1, for example 0.001. It is not checked.
	MaxDrift float64
}

// Order is the envelope of an order to a target.
type Order struct {
	// Fence is the leader's term; it grows with each leader.
	Fence uint64 `cbor:"1,keyasint"`
	// Seq grows with each order of one leader.
	Seq uint64 `cbor:"2,keyasint"`
	// Expiry is on the holder's clock and stays in its process.
	Expiry time.Time `cbor:"-"`
}

// MaySend reports whether the order may still be written, on the clock of its
// holder. It is asked right before the write, for every try.
func (o Order) MaySend(now time.Time) bool { return now.Before(o.Expiry) }

// Holder is the leader's side. It has a single owner.
type Holder struct {
	cfg   Config
	fence uint64
	end   time.Time
	seq   uint64
}

// NewHolder makes a Holder without a lease.
func NewHolder(cfg Config) *Holder { return &Holder{cfg: cfg} }

// Renewed tells that a lease under fence was committed by a proposal made at
// proposed, on this process's clock. A renewal under an older number or
// with an earlier end changes nothing.
func (h *Holder) Renewed(fence uint64, proposed time.Time) {
	if fence < h.fence {
		return
	}
	if fence > h.fence {
		h.fence, h.seq, h.end = fence, 0, time.Time{}
	}
	if end := proposed.Add(h.cfg.Duration); end.After(h.end) {
		h.end = end
	}
}

// Lost ends the lease at once: a newer leader was heard of. The number is kept,
// so that a late renewal does not bring the lease back.
func (h *Holder) Lost(newer uint64) {
	if newer > h.fence {
		h.fence, h.seq, h.end = newer, 0, time.Time{}
	}
}

// Held reports whether the lease holds.
func (h *Holder) Held(now time.Time) bool { return now.Before(h.end) }

// Issue makes an order that must be written within expiry, the target's order
// expiry. The error is ErrNotHeld or ErrOutlivesLease, wrapped.
func (h *Holder) Issue(now time.Time, expiry time.Duration) (Order, error) {
	if !h.Held(now) {
		return Order{}, fmt.Errorf("order under fence %d: %w", h.fence, ErrNotHeld)
	}
	at := now.Add(expiry)
	if at.After(h.end) {
		return Order{}, fmt.Errorf("order of %v with %v left: %w", expiry, h.end.Sub(now), ErrOutlivesLease)
	}
	h.seq++
	return Order{Fence: h.fence, Seq: h.seq, Expiry: at}, nil
}

// Target is what a Successor needs to know of a target.
type Target struct {
	// ChecksFence says that it refuses older numbers.
	ChecksFence bool
	// OrderExpiry is the longest time that an order to it can be under way
	// once written, in true time.
	OrderExpiry time.Duration
}

// Successor tells a new leader when it may give its first order to a target.
type Successor struct {
	cfg    Config
	start  time.Time
	former bool
}

// NewSuccessor starts the wait. start is read from this process's clock after
// this leader's own term was committed. former is false only if it is certain
// that no lease was ever granted.
func NewSuccessor(cfg Config, start time.Time, former bool) *Successor {
	return &Successor{cfg: cfg, start: start, former: former}
}

// Wait is how long after the start the first order to a target must wait.
func (s *Successor) Wait(t Target) time.Duration {
	if !s.former || t.ChecksFence {
		return 0
	}
	longest := float64(s.cfg.Duration)/(1-s.cfg.MaxDrift) + float64(t.OrderExpiry)
	return time.Duration(math.Ceil(longest * (1 + s.cfg.MaxDrift)))
}

// Ready reports whether the first order may be given, and if not how long to wait.
func (s *Successor) Ready(now time.Time, t Target) (ok bool, wait time.Duration) {
	wait = s.start.Add(s.Wait(t)).Sub(now)
	return wait <= 0, max(0, wait)
}

// Fence is the check at a target.
type Fence struct {
	fence, seq uint64
}

// StaleError is an order that a Fence refused.
type StaleError struct {
	// Got is the order refused; Fence and Seq are the highest accepted.
	Got        Order
	Fence, Seq uint64
}

// Error names both numbers.
func (e *StaleError) Error() string {
	return fmt.Sprintf("order %d/%d after %d/%d", e.Got.Fence, e.Got.Seq, e.Fence, e.Seq)
}

// Accept takes an order, or refuses it with a *StaleError: its leader is older
// than one heard before, or its leader gave a later order (or this very one)
// before. What was refused must have no effect.
func (f *Fence) Accept(o Order) error {
	if o.Fence < f.fence || o.Fence == f.fence && o.Seq <= f.seq {
		return &StaleError{Got: o, Fence: f.fence, Seq: f.seq}
	}
	f.fence, f.seq = o.Fence, o.Seq
	return nil
}
