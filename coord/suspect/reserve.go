package suspect

import (
	"maps"
	"time"
)

// reservation is that of one lone run or trial.
type reservation struct{ until time.Time }

// Reserve is ReserveAll for a request with one digest.
func (t *Table) Reserve(now time.Time, d Digest, until time.Time) bool {
	return t.ReserveAll(now, []Digest{d}, until)
}

// ReserveAll reserves the one lone run of a suspect, or the one trial of a request's quarantined
// digests, until the given time at the latest, and reports whether it did. Call it on the owner's table
// only; Release ends the reservation.
func (t *Table) ReserveAll(now time.Time, digests []Digest, until time.Time) bool {
	v := t.Decide(now, digests...)
	switch {
	case v != RunAlone && v != Trial:
		return false
	case v == Trial && t.reservedAt(now) >= t.cfg.MaxTrials:
		return false
	}
	for _, d := range digests {
		if r := t.reserved[d]; r != nil && now.Before(r.until) {
			return false
		}
	}
	r := &reservation{until: until}
	for _, d := range digests {
		t.reserved[d] = r
		if v == Trial {
			t.granted[d] = grant{count: max(t.granted[d].count, t.suspicion(d).trials) + 1, at: now}
		}
	}
	return true
}

// grant is the last trial of a digest that this table granted. One whose end tells nothing counts like one
// that crashes its target.
type grant struct {
	count int
	at    time.Time
}

// Withdraw ends a reservation whose trial has not run.
func (t *Table) Withdraw(d Digest) {
	if r := t.reserved[d]; r != nil {
		for o, other := range t.reserved {
			if g := t.granted[o]; other == r && g.count > 0 {
				t.granted[o] = grant{count: g.count - 1}
			}
		}
	}
	t.Release(d)
}

// reservedAt returns the number of reservations in force.
func (t *Table) reservedAt(now time.Time) int {
	inForce := map[*reservation]bool{}
	for _, r := range t.reserved {
		if now.Before(r.until) {
			inForce[r] = true
		}
	}
	return len(inForce)
}

// Release ends the reservation of all digests that were reserved together with this one. Call it once
// the run has ended and, if it crashed, the entries of the crash were merged here.
func (t *Table) Release(d Digest) {
	if r := t.reserved[d]; r != nil {
		maps.DeleteFunc(t.reserved, func(_ Digest, o *reservation) bool { return o == r })
	}
}
