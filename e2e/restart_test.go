package e2e

import (
	"fmt"
	"slices"
	"sync"
	"syscall"
	"testing"

	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/standin"
)

// bookingLoad sends bookings through the instances of jatim, each once. Each takes a
// while at the desk.
type bookingLoad struct {
	ledger *ledger
	keys   []string
	wg     sync.WaitGroup
	// started is closed when a tenth of them is sent.
	started chan struct{}
}

// startBookingLoad starts to send n bookings, a few at once.
func startBookingLoad(l *ledger, name string, n int) *bookingLoad {
	const atOnce = 8
	c := l.c
	c.targets["jatim"].desk.SetFaults(standin.Fault{Kind: standin.FaultLate, DelayMillis: 100})
	s := &bookingLoad{ledger: l, started: make(chan struct{})}
	work := make(chan int, n)
	for k := range n {
		s.keys = append(s.keys, fmt.Sprintf("%s-%d", name, k))
		work <- k
	}
	close(work)
	for range atOnce {
		s.wg.Go(func() {
			for k := range work {
				if k == n/10 {
					close(s.started)
				}
				s.send(s.keys[k], c.inRegion("jatim")[k%len(c.inRegion("jatim"))])
			}
		})
	}
	return s
}

// send sends a booking once. Without an answer it records no verdict.
func (s *bookingLoad) send(key string, i *instance) {
	r, err := s.ledger.c.book(i, "jatim", key, nil)
	if err == nil {
		s.ledger.record("first attempt", key, r)
	}
}

// resendAll waits for the first attempts and resends all bookings through every
// instance of a list.
func (s *bookingLoad) resendAll(list []*instance) {
	s.wg.Wait()
	s.ledger.c.targets["jatim"].desk.SetFaults()
	for _, i := range list {
		var wg sync.WaitGroup
		for part := range slices.Chunk(s.keys, len(s.keys)/4) {
			wg.Go(func() {
				for _, key := range part {
					s.ledger.resend(i, key)
				}
			})
		}
		wg.Wait()
	}
}

// Guards against bookings that run again after restarts, as claims or outcomes were
// acknowledged but not synced, or a restarted instance takes a resend for a first
// attempt. While bookings run, two instances in turn, and at last all of the region at
// once, are killed and restarted; all bookings are resent to all of them.
func TestBookingsRunOnceOverRestarts(t *testing.T) {
	c := startShape(t, shape{perRegion: 3, inProcessTargets: true})
	region := c.inRegion("jatim")
	for n, pair := range [][2]int{{0, 1}, {1, 2}, {2, 0}} {
		l := newLedger(c)
		s := startBookingLoad(l, fmt.Sprint("pair-", n), 60)
		<-s.started
		for _, k := range pair {
			region[k].kill()
			region[k].start()
		}
		s.resendAll(region)
		l.checkFinal()
	}
	l := newLedger(c)
	s := startBookingLoad(l, "all", 60)
	<-s.started
	for _, i := range region {
		i.signal(syscall.SIGKILL)
	}
	for _, i := range region {
		<-i.exited
		i.start()
	}
	s.resendAll(append(slices.Clone(region), c.inRegion("bali")...))
	l.checkFinal()
}

// regionLeader waits for the instance that leads a region's claims, other than not.
func (c *cluster) regionLeader(region string, not *instance) *instance {
	c.t.Helper()
	var found *instance
	c.eventually("a leader of "+region, func() error {
		for _, i := range c.running() {
			if i == not || i.settings.Region != region || !i.settings.Voter {
				continue
			}
			s, err := c.status(i)
			if err == nil && slices.Contains(s.Roles, "region_leader") {
				found = i
				return nil
			}
		}
		return errorString("none has the role")
	})
	return found
}

// Guards against a resumed leader that grants claims by stale state, so that a booking
// runs twice. The leader of a region's claims is stopped for longer than its lease with
// bookings waiting at it; another one takes over and gets the same bookings; the first
// one resumes.
func TestFrozenRegionLeaderGrantsNothing(t *testing.T) {
	c := startShape(t, shape{perRegion: 3, voters: map[string]int{"jatim": 3}, inProcessTargets: true})
	frozen := c.regionLeader("jatim", nil)
	l := newLedger(c)
	l.book("before", frozen, "before", nil)
	frozen.signal(syscall.SIGSTOP)
	var wg sync.WaitGroup
	const waiting = 10
	for n := range waiting {
		wg.Go(func() {
			key := fmt.Sprint("waiting-", n)
			if r, err := c.book(frozen, "jatim", key, nil); err == nil && r.callerVerdict() == verdict.NotRun && c.bookingRuns(key) != 0 {
				t.Errorf("%s got not_run: %s", key, r.body)
			}
		})
	}
	leader := c.regionLeader("jatim", frozen)
	for n := range waiting {
		l.resend(leader, fmt.Sprint("waiting-", n))
		l.resend(leader, fmt.Sprint("new-", n))
	}
	frozen.signal(syscall.SIGCONT)
	wg.Wait()
	for _, i := range c.inRegion("jatim") {
		l.resend(i, "before")
		for n := range waiting {
			l.resend(i, fmt.Sprint("waiting-", n))
			l.resend(i, fmt.Sprint("new-", n))
		}
	}
	l.checkFinal()
}

// Guards against bookings that run again after two disks were lost in turn: one of three
// voters of a region is killed, wiped, restarted and repaired, then a second one is killed
// and wiped. A voter that has lost the claims that it confirmed must not count.
func TestClaimsOutliveASecondLossAfterARepair(t *testing.T) {
	c := startShape(t, shape{perRegion: 3, voters: map[string]int{"jatim": 3}, inProcessTargets: true})
	region := c.inRegion("jatim")
	l := newLedger(c)
	var keys []string
	book := func(name string, n int) {
		for k := range n {
			key := fmt.Sprint(name, "-", k)
			keys = append(keys, key)
			l.resend(c.running()[k%2], key)
		}
	}
	book("whole", 20)
	region[0].kill()
	region[0].wipe()
	book("one-lost", 20)
	region[0].start()
	c.awaitInForce(c.bundle)
	c.eventually("the wiped voter is readmitted", func() error { return c.checkVoter(region[0]) })
	c.eventually("its claims are repaired", func() error { return c.checkRegionVoter(region[0]) })
	region[1].kill()
	region[1].wipe()
	book("second-lost", 20)
	region[1].start()
	c.awaitInForce(c.bundle)
	for _, key := range keys {
		for _, i := range region {
			l.resend(i, key)
		}
		if n := c.bookingRuns(key); n != 1 {
			t.Errorf("%s ran %d times", key, n)
		}
	}
	l.checkFinal()
}

// checkRegionVoter returns an error unless an instance counts as a voter of its region's
// group.
func (c *cluster) checkRegionVoter(i *instance) error {
	s, err := c.status(i)
	if err == nil && !slices.Contains(s.Roles, "region_voter") {
		err = errorString(fmt.Sprintf("%s has the roles %v", i.id(), s.Roles))
	}
	return err
}
