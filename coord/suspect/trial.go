package suspect

import (
	"slices"
	"time"
)

const (
	// trialFactor is the ratio of the waits before two trials of a digest in a row.
	trialFactor = 8
	// maxTrials bounds the exponent of the wait.
	maxTrials = 8
	// certainAfter is the number of crashes from which on a digest without finishes is hardly innocent.
	certainAfter = 5
	// renewFraction is the fraction of the lifetime by which a renewal must extend an entry.
	renewFraction = 4
)

// trialAt returns when a request with these quarantined digests may have its next trial.
func (t *Table) trialAt(quarantined []Digest) time.Time {
	var at time.Time
	for _, d := range quarantined {
		wait := t.trialWait(d)
		if len(quarantined) > 1 {
			wait *= 2
		}
		for _, last := range []time.Time{t.suspicion(d).lastAt, t.granted[d].at} {
			if next := last.Add(wait); next.After(at) {
				at = next
			}
		}
	}
	return at
}

// trialWait returns how long after its last crash a digest has its next trial. One that this instance
// remembers to have finished is likely innocent and waits half as long; one that has crashed many
// targets is hardly innocent, and its first trial comes as late as the second one of others.
func (t *Table) trialWait(d Digest) time.Duration {
	wait, failed := t.cfg.TrialAfter, max(t.suspicion(d).trials, t.granted[d].count)
	switch _, finished := t.finished.last(d); {
	case finished:
		wait /= 2
	case uncleared(t.digests[d]) >= certainAfter:
		failed++
	}
	for range min(failed, maxTrials) {
		wait *= trialFactor
	}
	return wait
}

func (t *Table) trialDue(now time.Time, quarantined []Digest) bool {
	return t.cfg.TrialAfter > 0 && !now.Before(t.trialAt(quarantined))
}

// RefusedFor returns how long a request with these digests is still refused: until its next trial, or,
// if there are no trials, for Lifetime. It returns 0 for a request that is not quarantined.
func (t *Table) RefusedFor(now time.Time, digests ...Digest) time.Duration {
	quarantined := t.Quarantined(digests...)
	switch {
	case len(quarantined) == 0:
		return 0
	case t.cfg.TrialAfter <= 0:
		return t.cfg.Lifetime
	}
	return max(0, t.trialAt(quarantined).Sub(now))
}

// Sent is an attempt of this instance that was not recorded by Started.
type Sent struct {
	// Digests are those of its request, and Trials those that it was a trial of.
	Digests, Trials []Digest
	SentAt          time.Time
}

// ReportCrash records that a target was found to have crashed now, under an attempt. The host must publish
// the entries returned.
func (t *Table) ReportCrash(now time.Time, c Crash, s Sent) []Entry {
	out := make([]Entry, 0, len(s.Digests))
	for _, d := range s.Digests {
		out = append(out, Entry{
			Digest: d, Crash: c, Until: now.Add(t.cfg.Lifetime), SentAt: InstantOf(s.SentAt), CrashedAt: InstantOf(now),
			Round: t.roundKnown(s.SentAt, d) + 1, Trial: slices.Contains(s.Trials, d),
		})
	}
	return t.Merge(now, out)
}

// roundKnown returns the last round of a digest that this instance knew of at a time.
func (t *Table) roundKnown(at time.Time, d Digest) uint32 {
	var last uint32
	for _, e := range t.digests[d] {
		if e.learnedAt.Before(at) {
			last = max(last, e.round)
		}
	}
	return last
}

// Renew extends the lifetime of the entries of digests that were refused, so that they stay
// quarantined while their callers send them. The host must publish the entries returned.
func (t *Table) Renew(now time.Time, digests ...Digest) []Entry {
	var out []Entry
	until := now.Add(t.cfg.Lifetime)
	for _, d := range digests {
		for c, e := range t.digests[d] {
			if e.status != Cleared && until.Sub(e.until) >= t.renewAfter() {
				out = append(out, e.withStatus(d, c, e.status, until))
			}
		}
	}
	return t.Merge(now, out)
}

func (t *Table) renewAfter() time.Duration { return t.cfg.Lifetime / renewFraction }

// Renews reports whether an expiry extends another one by so much that it has to be told. Instances that
// record the same at about the same time differ by less.
func Renews(now, before, after time.Time) bool {
	return after.Sub(before)*renewFraction >= after.Sub(now)
}

// withStatus returns the entry as instances exchange it, with another status and expiry.
func (e *entry) withStatus(d Digest, c Crash, s Status, until time.Time) Entry {
	return Entry{Digest: d, Crash: c, Status: s, Until: until, SentAt: e.sentAt, CrashedAt: e.crashedAt, Round: e.round, Trial: e.trial}
}
