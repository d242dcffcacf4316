package feed_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gullhaven/gullhaven/node/feed"
)

// reporter is an entry instance on a starved processor that reports to one core instance and
// compares with another, in virtual time.
type reporter struct {
	rng                *rand.Rand
	now                time.Time
	followed, compared *feed.Store
	wait               time.Duration
	// report, comparison and gossip are when the next message of each kind is sent, and how many
	// were.
	report, comparison, gossip schedule
	// lost reports whether the n-th message of a kind is lost.
	lost func(n int) bool
	// others are instances that report to the same core instance each second, without losses.
	others []feed.Entry
	second schedule
}

type schedule struct {
	next time.Time
	sent int
}

// due reports whether a message is due now, and if so schedules the next one.
func (s *schedule) due(now time.Time, interval time.Duration) bool {
	if now.Before(s.next) {
		return false
	}
	s.next = now.Add(interval)
	s.sent++
	return true
}

const (
	// mostDelay is the longest delay of a message to or from a starved instance.
	mostDelay = 400 * time.Millisecond
	// lostReportTime is what a lost report costs beyond its wait, compareInterval the time between
	// two comparisons, gossipInterval that between two messages of core instances.
	lostReportTime, compareInterval, gossipInterval = 800 * time.Millisecond, 1500 * time.Millisecond, 500 * time.Millisecond
)

func (r *reporter) delay() time.Duration { return time.Duration(r.rng.Int64N(int64(mostDelay))) }

func (r *reporter) step() {
	e := feed.Entry{ID: "e", Region: me.Region, Ready: true}
	if r.report.due(r.now, r.wait+lostReportTime) && !r.lost(r.report.sent) {
		r.followed.AddReport(r.now, e)
		r.report.next = r.now.Add(r.wait + r.delay() + r.delay())
	}
	if r.second.due(r.now, time.Second) {
		for _, o := range r.others {
			r.followed.AddReport(r.now, o)
		}
	}
	if r.comparison.due(r.now, compareInterval+r.delay()) && !r.lost(r.comparison.sent) {
		r.compared.AddComparison(r.now, e)
	}
	if r.gossip.due(r.now, gossipInterval) && !r.lost(r.gossip.sent) {
		r.compared.MergeGossip(r.now, r.followed.Gossip(r.now, true, false))
		r.followed.MergeGossip(r.now, r.compared.Gossip(r.now, true, false))
	}
}

// drops returns how often the followed core instance drops the instance within span.
func (r *reporter) drops(span time.Duration) (n int) {
	dropped := true
	for r.now.Before(t0.Add(span)) {
		r.step()
		gone := len(r.followed.Entries(r.now)) == len(r.others)
		if gone && !dropped {
			n++
		}
		dropped = gone
		r.now = r.now.Add(100 * time.Millisecond)
	}
	return n
}

// Guards against live instances that are dropped, so that callers and group owners change for
// nothing: each second message of each kind is lost, at the usual wait of reports and at the longest
// one, which a core instance asks for if a thousand instances report to it.
func TestLostReportDropsNoLiveInstance(t *testing.T) {
	for wait, others := range map[time.Duration]int{200 * time.Millisecond: 0, time.Second: 999} {
		r := &reporter{
			rng: rand.New(rand.NewPCG(1, uint64(wait))), now: t0, wait: wait,
			followed: feed.NewStore(me, 1), compared: feed.NewStore(feed.Core{ID: "other", Region: me.Region, Zone: me.Zone}, 1),
		}
		r.lost = func(n int) bool { return n%2 == 0 }
		for n := range others {
			r.others = append(r.others, feed.Entry{ID: fmt.Sprint("o", n), Region: me.Region, Ready: true})
		}
		if got := r.drops(time.Minute); got > 0 {
			t.Errorf("wait %v: %d drops in a minute", wait, got)
		}
	}
}
