// Package lease lets one leader at a time give orders to targets.
//
// A leader that is partitioned or frozen may still believe that it leads. Three parts keep
// its orders from interleaving with those of its successor:
//
//   - A Holder gives each order a fencing number, a sequence number and an
//     expiry, and refuses an order whose expiry would come after its lease's end. The
//     sender must ask Order.MaySend right before it writes, so an order that was
//     delayed, or whose process was frozen, is dropped.
//   - A Fence at a target refuses orders with an older fencing number. A successor may
//     give orders to such a target at once: older ones are refused from the
//     moment that its first order arrives.
//   - A Successor waits, for a target that ignores the fencing number, until nothing of
//     the previous leader can arrive any more.
//
// # The wait
//
// A lease is agreed through the replicated log. Its holder counts it from the
// moment BEFORE it proposed the renewal. The successor counts from the moment
// when its own term was committed, after which no renewal of an older one can
// be. With clock rates that are wrong by at most MaxDrift (a ratio) the previous
// lease therefore ends within Duration/(1-MaxDrift) of true time after the
// successor's start. The last order is written before that, and arrives or is
// dropped by the network within the target's order expiry. The longest such time
// has passed once the successor's clock shows Wait.
//
// # Known limits
//
// A process that is frozen between MaySend and the write that follows it sends
// the order when it resumes. No clock closes that gap for a target that ignores
// the fencing number. The gap is a few instructions wide; where that is not
// acceptable, use targets that check the number.
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

// Config must be the same at all instances.
type Config struct {
	// Duration of a lease, on its holder's clock.
	Duration time.Duration
	// MaxDrift bounds the error of any clock's rate, as a share from 0 to below 1,
	// for example 0.001. It is not checked.
	MaxDrift float64
}

// Order is the envelope of an order to a target.
type Order struct {
	// Fence is the fencing number, the leader's term; it grows with each leader.
	Fence uint64 `cbor:"1,keyasint"`
	// Seq grows with each order of one leader.
	Seq uint64 `cbor:"2,keyasint"`
	// Expiry is on the holder's clock and never leaves its process.
	Expiry time.Time `cbor:"-"`
}

// MaySend reports whether the order may still be written at now, on its holder's
// clock. Call it right before each attempt to write.
func (o Order) MaySend(now time.Time) bool { return now.Before(o.Expiry) }

// Holder is the leader's side of a lease. It is not safe for concurrent use.
type Holder struct {
	cfg   Config
	fence uint64
	end   time.Time
	seq   uint64
}

// NewHolder returns a Holder without a lease.
func NewHolder(cfg Config) *Holder { return &Holder{cfg: cfg} }

// Renewed records that a lease under fence was committed by a proposal made at
// proposed, on this process's clock. A renewal under an older fencing number or
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

// Lost ends the lease at once because a newer leader is known. The fencing number is
// kept, so that a late renewal does not restore the lease.
func (h *Holder) Lost(newerFence uint64) {
	if newerFence > h.fence {
		h.fence, h.seq, h.end = newerFence, 0, time.Time{}
	}
}

// Held reports whether the lease is valid at now.
func (h *Holder) Held(now time.Time) bool { return now.Before(h.end) }

// Issue returns an order that must be written within expiry, the target's order
// expiry. The error wraps ErrNotHeld or ErrOutlivesLease.
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

// Target describes a target for a Successor.
type Target struct {
	// ChecksFence: the target refuses orders with older fencing numbers.
	ChecksFence bool
	// OrderExpiry is the longest time, in true time, that an order to the target can be
	// in flight after it is written.
	OrderExpiry time.Duration
}

// Successor computes when a new leader may give its first order to a target.
type Successor struct {
	cfg         Config
	start       time.Time
	hasPrevious bool
}

// NewSuccessor returns a Successor. start must be read from this process's clock after
// this leader's own term was committed. hasPrevious may be false only if it is certain
// that no lease was ever granted.
func NewSuccessor(cfg Config, start time.Time, hasPrevious bool) *Successor {
	return &Successor{cfg: cfg, start: start, hasPrevious: hasPrevious}
}

// Wait returns how long after the start the first order to a target must wait.
func (s *Successor) Wait(t Target) time.Duration {
	if !s.hasPrevious || t.ChecksFence {
		return 0
	}
	maxWait := float64(s.cfg.Duration)/(1-s.cfg.MaxDrift) + float64(t.OrderExpiry)
	return time.Duration(math.Ceil(maxWait * (1 + s.cfg.MaxDrift)))
}

// Ready reports whether the first order may be given at now, and if not how long to wait.
func (s *Successor) Ready(now time.Time, t Target) (ok bool, wait time.Duration) {
	wait = s.start.Add(s.Wait(t)).Sub(now)
	return wait <= 0, max(0, wait)
}

// Fence checks orders at a target. It is not safe for concurrent use.
type Fence struct {
	fence, seq uint64
}

// StaleError is the error for an order that a Fence refused.
type StaleError struct {
	// Got is the order refused; Fence and Seq are the highest accepted.
	Got        Order
	Fence, Seq uint64
}

// Error names the fencing and sequence numbers of both orders.
func (e *StaleError) Error() string {
	return fmt.Sprintf("order %d/%d after %d/%d", e.Got.Fence, e.Got.Seq, e.Fence, e.Seq)
}

// Accept accepts an order, or refuses it with a *StaleError: a newer leader's order,
// or this or a later order of the same leader, was accepted before. A refused order must
// have no effect.
func (f *Fence) Accept(o Order) error {
	if o.Fence < f.fence || o.Fence == f.fence && o.Seq <= f.seq {
		return &StaleError{Got: o, Fence: f.fence, Seq: f.seq}
	}
	f.fence, f.seq = o.Fence, o.Seq
	return nil
}
