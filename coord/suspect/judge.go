package suspect

import (
	"cmp"
	"slices"
	"time"
)

// QuarantineAfter is the number of rounds of crashes from which on a digest is quarantined.
const QuarantineAfter = 2

// suspicion is what the entries of a digest amount to.
type suspicion struct {
	// rounds is the number of rounds that count, and alone says that it was alone in a crash.
	rounds int
	alone  bool
	// trials is the number of rounds in which a trial of it crashed a target.
	trials int
	// lastAt is when the last crash was found.
	lastAt time.Time
}

func (v suspicion) quarantined() bool { return v.alone || v.rounds >= QuarantineAfter }

// suspicion returns the suspicion of a digest.
func (t *Table) suspicion(d Digest) suspicion {
	if len(t.digests[d]) == 0 {
		return suspicion{}
	}
	v := t.weighAlone(d)
	if !v.quarantined() {
		return v
	}
	if t.suspicions == nil {
		t.judge()
	}
	return t.suspicions[d]
}

// weighAlone returns the suspicion of a digest that no other digest explains.
func (t *Table) weighAlone(d Digest) suspicion {
	t.updateFound()
	known, candidate := t.candidates[d]
	if known != nil {
		return *known
	}
	v := t.weigh(d, nil)
	if candidate {
		t.candidates[d] = &v
	}
	return v
}

// markChanged records that an entry of a digest has changed.
func (t *Table) markChanged(d Digest) {
	t.suspicions = nil
	if mayBeQuarantined(t.digests[d]) {
		t.candidates[d] = nil
	} else {
		delete(t.candidates, d)
	}
}

// mayBeQuarantined reports whether entries are enough for a quarantine if nothing excuses or explains them.
func mayBeQuarantined(entries map[Crash]*entry) bool {
	rounds, first := 0, uint32(0)
	for _, e := range entries {
		switch {
		case e.status == Alone:
			return true
		case e.status == Cleared, e.round != 0 && e.round == first:
			continue
		case e.round != 0 && first == 0:
			first = e.round
		}
		if rounds++; rounds >= QuarantineAfter {
			return true
		}
	}
	return false
}

// Quarantined returns those digests of a request that are quarantined.
func (t *Table) Quarantined(digests ...Digest) []Digest {
	var out []Digest
	for _, d := range digests {
		if t.suspicion(d).quarantined() {
			out = append(out, d)
		}
	}
	return out
}

// judge weighs the digests that may be quarantined, those of most rounds first: the crashes of one that
// is quarantined are explained for those of fewer rounds.
func (t *Table) judge() {
	t.suspicions = make(map[Digest]suspicion)
	byRounds := make(map[int][]Digest)
	for d := range t.candidates {
		if v := t.weighAlone(d); v.quarantined() {
			// A trial of one digest says nothing of the crashes before it.
			untried := v.rounds - v.trials
			byRounds[untried] = append(byRounds[untried], d)
		}
	}
	var order []int
	for rounds := range byRounds {
		order = append(order, rounds)
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(b, a) })
	explained := make(map[Crash]bool)
	for _, rounds := range order {
		for _, d := range byRounds[rounds] {
			t.suspicions[d] = t.weigh(d, explained)
		}
		for _, d := range byRounds[rounds] {
			if !t.suspicions[d].quarantined() {
				continue
			}
			for c, e := range t.digests[d] {
				if e.status != Cleared {
					explained[c] = true
				}
			}
		}
	}
}

// weigh counts the rounds of a digest's entries that are neither cleared nor explained, nor of one of many crashes
// of a moment that mostly lack the digest. Entries without rounds count one each, and are explained only by Cleared.
func (t *Table) weigh(d Digest, explained map[Crash]bool) suspicion {
	var v suspicion
	var rounds, trials []uint32
	entries := t.digests[d]
	own := t.foundOf(entries)
	t.weighed += len(entries)
	for c, e := range entries {
		if e.status == Cleared {
			continue
		}
		v.alone = v.alone || e.status == Alone
		if at := e.foundAt(); at.After(v.lastAt) {
			v.lastAt = at
		}
		switch {
		case e.round == 0:
			v.rounds++
			continue
		case explained[c], t.found.excuses(e, own):
			continue
		case !slices.Contains(rounds, e.round):
			rounds = append(rounds, e.round)
		}
		if e.trial && !slices.Contains(trials, e.round) {
			trials = append(trials, e.round)
		}
	}
	v.rounds += len(rounds)
	v.trials = len(trials)
	return v
}

// foundAt returns when the crash was found. A clock that is ahead does not count.
func (e *entry) foundAt() time.Time {
	if e.crashedAt == 0 || e.crashedAt.Time().After(e.learnedAt) {
		return e.learnedAt
	}
	return e.crashedAt.Time()
}

// Suspects reports whether any of the digests is a suspect of a crash.
func (t *Table) Suspects(digests ...Digest) bool {
	return slices.ContainsFunc(digests, func(d Digest) bool { return uncleared(t.digests[d]) > 0 })
}

// uncleared returns the number of entries that are not cleared.
func uncleared(entries map[Crash]*entry) int {
	n := 0
	for _, e := range entries {
		if e.status != Cleared {
			n++
		}
	}
	return n
}
