package suspect

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Sizes of the site of a storm.
const (
	stormInstances = 4
	stormTargets   = 12
	stormRequests  = 60
	stormBatch     = 8
	// stormTick is the time that a run takes, spreadDelay how long an entry takes to all instances,
	// and down how long a crashed target is away.
	stormTick   = 200 * time.Millisecond
	spreadDelay = 600 * time.Millisecond
	down        = 2 * time.Second
)

// storm is a site without lone runs, whose callers send each request again until it finishes.
type storm struct {
	now     time.Time
	rng     *rand.Rand
	tables  []*Table
	poisons int
	// downUntil holds when each target is back.
	downUntil [stormTargets]time.Time
	// inTransit are entries that have not reached all instances.
	inTransit []transit
	// crashes counts the targets that each request has crashed, lateCrashes those later than contact
	// after the third.
	crashes, lateCrashes [stormRequests]int
	thirdAt              [stormRequests]time.Time
	finished             [stormRequests]bool
	// refusedSince is for how long each request has been refused without a run, longestRefusal the
	// longest of these times.
	refusedSince, longestRefusal [stormRequests]time.Duration
}

type transit struct {
	entries []Entry
	at      time.Time
}

// contact is the time within which a request must be known everywhere after its third crash.
const contact = 6 * time.Second

func newStorm(seed uint64, poisons int) *storm {
	s := &storm{now: start, rng: rand.New(rand.NewPCG(seed, 1)), poisons: poisons}
	cfg := DefaultConfig()
	cfg.Lifetime, cfg.TrialAfter, cfg.MaxTrials = 10*time.Minute, 5*time.Second, 1
	for range stormInstances {
		s.tables = append(s.tables, New(cfg))
	}
	return s
}

func (s *storm) spread(entries []Entry) {
	if len(entries) > 0 {
		s.inTransit = append(s.inTransit, transit{entries, s.now.Add(spreadDelay)})
	}
}

func (s *storm) deliver() {
	due := s.inTransit
	s.inTransit = nil
	for _, m := range due {
		if m.at.After(s.now) {
			s.inTransit = append(s.inTransit, m)
			continue
		}
		for _, t := range s.tables {
			t.Merge(s.now, m.entries)
		}
	}
}

// run is one run of a request, sent by an instance.
type run struct {
	request, instance int
	trials            []Digest
}

// step sends each unfinished request to a random target that is up, and ends all runs.
func (s *storm) step() {
	s.now = s.now.Add(stormTick)
	s.deliver()
	var batches [stormTargets][]run
	for r := range stormRequests {
		if s.finished[r] {
			continue
		}
		instance := s.rng.IntN(stormInstances)
		allowed, trials := s.allowed(r, instance)
		if !allowed {
			continue
		}
		if target := s.rng.IntN(stormTargets); !s.downUntil[target].After(s.now) && len(batches[target]) < stormBatch {
			batches[target] = append(batches[target], run{r, instance, trials})
		} else {
			s.tables[0].Withdraw(Digest{byte(r)})
		}
	}
	for target, batch := range batches {
		s.end(target, batch)
	}
}

// allowed reports whether an instance may send a request, and of which digests that is a trial; the first
// table owns the trials.
func (s *storm) allowed(r, instance int) (ok bool, trials []Digest) {
	d := Digest{byte(r)}
	v := s.tables[instance].Decide(s.now, d)
	ok = v != Refuse && (v != Trial || s.tables[0].Reserve(s.now, d, s.now.Add(10*time.Second)))
	if ok {
		s.refusedSince[r] = 0
		return true, s.tables[instance].Quarantined(d)
	}
	s.spread(s.tables[instance].Renew(s.now, d))
	s.refusedSince[r] += stormTick
	s.longestRefusal[r] = max(s.longestRefusal[r], s.refusedSince[r])
	return false, nil
}

func (s *storm) end(target int, batch []run) {
	crashed := false
	for _, x := range batch {
		crashed = crashed || x.request < s.poisons
	}
	sentAt := s.now
	endedAt := s.now.Add(stormTick / 2)
	for _, x := range batch {
		d, t := Digest{byte(x.request)}, s.tables[x.instance]
		switch {
		case !crashed:
			s.finished[x.request] = true
			s.spread(t.Finished(endedAt, d))
		default:
			s.downUntil[target] = s.now.Add(down)
			if x.request < s.poisons {
				s.count(x.request)
			}
			entries := t.ReportCrash(endedAt, Crash{fmt.Sprint(target), uint64(endedAt.UnixMilli())}, Sent{Digests: []Digest{d}, Trials: x.trials, SentAt: sentAt})
			s.tables[0].Merge(endedAt, entries)
			s.spread(entries)
		}
		s.tables[0].Release(d)
	}
}

func (s *storm) count(r int) {
	s.crashes[r]++
	if s.crashes[r] == 3 {
		s.thirdAt[r] = s.now
	}
	if s.crashes[r] > 3 && s.now.Sub(s.thirdAt[r]) > contact {
		s.lateCrashes[r]++
	}
}

// Guards against requests that crash target after target while several of them are sent at once, and
// against innocent ones that shared their targets and are refused for minutes.
func TestSeveralPoisonRequestsAreRefusedAndInnocentsAreNot(t *testing.T) {
	// The users' pages allow three later sendings after contact; a trial comes eight times later
	// than the one before it.
	const maxLate, maxRefusal = 3, time.Minute
	for seed := range uint64(40) {
		for _, poisons := range []int{1, 3, 6, 12} {
			s := newStorm(seed, poisons)
			for s.now.Before(start.Add(20 * time.Minute)) {
				s.step()
			}
			for r := range stormRequests {
				switch {
				case r < poisons && s.lateCrashes[r] > maxLate:
					t.Errorf("seed %d, %d poison requests: %d crashed %d targets, %d of them late", seed, poisons, r, s.crashes[r], s.lateCrashes[r])
				case r >= poisons && (!s.finished[r] || s.longestRefusal[r] > maxRefusal):
					t.Errorf("seed %d, %d poison requests: innocent request %d was refused for %v, finished %v", seed, poisons, r, s.longestRefusal[r], s.finished[r])
				}
			}
		}
	}
}
