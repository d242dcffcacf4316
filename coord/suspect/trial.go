package suspect

import (
	"cmp"
	"slices"
	"time"
)

const (
	// trialFactor is the ratio of the waits before two trials of a digest in a row.
	trialFactor = 8
	// maxTrials bounds the exponent of the wait.
	maxTrials = 8
	// renewFraction is the fraction of the lifetime by which a renewal must extend an entry.
	renewFraction = 4
)

// QuarantineAfter is the number of crashes from which on a digest is quarantined.
const QuarantineAfter = 2

// suspicion is what the entries of a digest amount to.
type suspicion struct {
	// crashes is the number of crashes that count, and alone says that it was alone in one.
	crashes int
	alone   bool
	// retrials is the number of those whose attempt was sent at least TrialAfter after the crash
	// before: before that, instances may not have known of it.
	retrials int
	// lastAt is when the last of them was found; zero if unknown.
	lastAt Instant
}

func (v suspicion) quarantined() bool { return v.alone || v.crashes >= QuarantineAfter }

// suspicion counts the crashes of a digest, those of copies that ran at the same time once.
func (t *Table) suspicion(d Digest) suspicion {
	var v suspicion
	var timed []*entry
	for _, e := range t.digests[d] {
		switch {
		case e.status == Cleared:
			continue
		case e.sentAt == 0:
			v.crashes++
		default:
			timed = append(timed, e)
		}
		v.alone = v.alone || e.status == Alone
		v.lastAt = max(v.lastAt, e.crashedAt)
	}
	slices.SortFunc(timed, func(a, b *entry) int { return cmp.Compare(a.crashedAt, b.crashedAt) })
	var counted Instant
	for _, e := range timed {
		if e.sentAt > counted {
			v.crashes++
			if counted != 0 && e.sentAt.Time().Sub(counted.Time()) >= t.cfg.TrialAfter {
				v.retrials++
			}
			counted = e.crashedAt
		}
	}
	return v
}

// trialAt returns when a quarantined digest may have its next trial.
func (t *Table) trialAt(v suspicion) time.Time {
	wait := t.cfg.TrialAfter
	for range min(v.retrials, maxTrials) {
		wait *= trialFactor
	}
	return v.lastAt.Time().Add(wait)
}

func (t *Table) trialDue(now time.Time, v suspicion) bool {
	return t.cfg.TrialAfter > 0 && v.lastAt != 0 && !now.Before(t.trialAt(v))
}

// RefusedFor returns how long a quarantined digest is still refused: until its next trial, or, if
// there are no trials, for Lifetime. It returns 0 for other digests.
func (t *Table) RefusedFor(now time.Time, d Digest) time.Duration {
	v := t.suspicion(d)
	switch {
	case !v.quarantined():
		return 0
	case t.cfg.TrialAfter <= 0 || v.lastAt == 0:
		return t.cfg.Lifetime
	}
	return max(0, t.trialAt(v).Sub(now))
}

// ReportCrash records that a target was found to have crashed now, under an attempt of this instance
// that was sent at sentAt and not recorded by Started. The host must publish the entries returned.
func (t *Table) ReportCrash(now time.Time, d Digest, c Crash, sentAt time.Time) []Entry {
	return t.Merge(now, []Entry{{Digest: d, Crash: c, Until: now.Add(t.cfg.Lifetime), SentAt: InstantOf(sentAt), CrashedAt: InstantOf(now)}})
}

// Renew extends the lifetime of the entries of a digest that was refused, so that it stays
// quarantined while its callers send it. The host must publish the entries returned.
func (t *Table) Renew(now time.Time, d Digest) []Entry {
	var out []Entry
	until := now.Add(t.cfg.Lifetime)
	for c, e := range t.digests[d] {
		if e.status != Cleared && until.Sub(e.until) >= t.renewAfter() {
			out = append(out, e.withStatus(d, c, e.status, until))
		}
	}
	return t.Merge(now, out)
}

func (t *Table) renewAfter() time.Duration { return t.cfg.Lifetime / renewFraction }

// withStatus returns the entry as instances exchange it, with another status and expiry.
func (e *entry) withStatus(d Digest, c Crash, s Status, until time.Time) Entry {
	return Entry{Digest: d, Crash: c, Status: s, Until: until, SentAt: e.sentAt, CrashedAt: e.crashedAt}
}
