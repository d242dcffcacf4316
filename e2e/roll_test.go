package e2e

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
)

// Guards against regions with different bundles under one version. Two operators
// roll different bundles of equal version at different instances at the same time,
// and resend them: acceptance must be one compare-and-set.
func TestEqualVersionsHaveOneWinner(t *testing.T) {
	c := startCluster(t, 1)
	rivals := [][]byte{c.sign(c.next(c.bundle, "left")), c.sign(c.next(c.bundle, "right"))}
	const each = 6
	answers := make([][]rollAnswer, len(rivals))
	var wg sync.WaitGroup
	for r := range rivals {
		answers[r] = make([]rollAnswer, each)
		for n := range each {
			wg.Go(func() { answers[r][n] = c.rollUntilAnswered(c.instances[(r+n)%len(c.instances)], rivals[r]) })
		}
	}
	wg.Wait()
	winners := 0
	for r := range rivals {
		for n := 1; n < each; n++ {
			if answers[r][n].status != answers[r][0].status || answers[r][n].digest != answers[r][0].digest {
				t.Errorf("rival %d: answers %+v and %+v", r, answers[r][0], answers[r][n])
			}
		}
		if answers[r][0].status == http.StatusOK {
			winners++
		}
	}
	if winners != 1 {
		t.Fatalf("%d winners: %+v", winners, answers)
	}
	for r := range rivals {
		if a := answers[r][0]; a.status != http.StatusOK && !strings.Contains(a.body, answers[1-r][0].digest) {
			t.Errorf("the conflict does not name the winner's digest: %s", a.body)
		}
	}
}

// rollUntilAnswered sends the same bytes until the answer is final.
func (c *cluster) rollUntilAnswered(i *instance, signed []byte) rollAnswer {
	var final rollAnswer
	c.eventually("an answer of "+i.id(), func() error {
		a, err := c.roll(i, signed)
		if err != nil {
			return err
		}
		if a.status == http.StatusServiceUnavailable {
			return errorString(a.body)
		}
		final = a
		return nil
	})
	return final
}

type errorString string

func (e errorString) Error() string { return string(e) }

// Guards against accepted bundles that are lost and rolls that never end, while the
// leader is killed during each of several rolls and restarted. A bundle must not be
// acknowledged before a majority has synced it, and a resend is no new bundle.
func TestLeaderKilledDuringRolls(t *testing.T) {
	c := startCluster(t, 1)
	b := c.bundle
	for range 4 {
		b = c.next(b, "while the leader dies")
		leader := c.leader()
		signed := c.sign(b)
		to := c.running()[0]
		done := make(chan struct{})
		go func() {
			defer close(done)
			_, _ = c.roll(to, signed)
		}()
		leader.kill()
		<-done
		c.mustRoll(b)
		leader.start()
		c.awaitInForce(b)
	}
}

// Guards against bundles lost by two losses in turn: a voter is killed, wiped,
// restarted and repaired, then a second one is killed. A voter that has lost what it
// acknowledged must not count.
func TestSecondVoterLostAfterTheFirstWasRepaired(t *testing.T) {
	c := startCluster(t, 1)
	b := c.next(c.bundle, "before the losses")
	c.mustRoll(b)
	first, second := c.voter("jatim"), c.voter("bali")
	first.kill()
	first.wipe()
	b = c.next(b, "while one disk is lost")
	c.mustRoll(b)
	first.start()
	c.awaitInForce(b)
	// When the wiped voter counts again, the group has a majority without the second.
	c.eventually("the wiped voter is readmitted", func() error { return c.checkVoter(first) })
	second.kill()
	b = c.next(b, "after the second loss")
	c.mustRoll(b)
	second.start()
	c.awaitInForce(b)
}

// checkVoter returns an error unless the instance counts as a voter of the global group.
func (c *cluster) checkVoter(i *instance) error {
	s, err := c.status(i)
	if err != nil {
		return err
	}
	if !slices.Contains(s.Roles, "voter") {
		return errorString(fmt.Sprintf("%s has the roles %v", i.id(), s.Roles))
	}
	return nil
}

// Guards against a resumed leader that acts on stale state or puts an older bundle
// in force: it is stopped for longer than its lease while others accept two bundles,
// so the lease must be checked against the elapsed time.
func TestLeaderStoppedLongerThanItsLease(t *testing.T) {
	c := startCluster(t, 1)
	leader := c.leader()
	leader.signal(syscall.SIGSTOP)
	b := c.next(c.bundle, "while the leader is frozen")
	c.mustRoll(b)
	b = c.next(b, "and another")
	c.mustRoll(b)
	leader.signal(syscall.SIGCONT)
	if a := c.rollUntilAnswered(leader, c.sign(c.next(c.bundle, "a late rival"))); a.status == http.StatusOK {
		t.Errorf("the frozen leader accepted a rival of version 2: %+v", a)
	}
	c.awaitInForce(b)
}

// Guards against state that is acknowledged but not synced: after many bundles all
// processes are killed and restarted, and must not have an older bundle in force.
func TestAllKilledAfterManyChanges(t *testing.T) {
	c := startCluster(t, 1)
	b := c.bundle
	for range 30 {
		b = c.next(b, "one of many")
		c.mustRoll(b)
	}
	for _, i := range c.instances {
		i.kill()
	}
	for _, i := range c.instances {
		i.start()
	}
	c.awaitInForce(b)
	c.mustRoll(c.next(b, "after the restart"))
}

// Guards against an outcome that only the former leader knew, so that the loser of a
// race is accepted or the same bytes get another answer. Two operators roll different
// bundles of equal version everywhere while the leader is killed, and resend them after
// their answers are lost; once, all instances are killed and restarted.
func TestRaceHasOneWinnerWhileLeadersDie(t *testing.T) {
	c := startCluster(t, 2)
	b := c.bundle
	for round := range 3 {
		left, right := c.next(b, fmt.Sprint("left ", round)), c.next(b, fmt.Sprint("right ", round))
		rivals := [][]byte{c.sign(left), c.sign(right)}
		leader := c.leader()
		var wg sync.WaitGroup
		for n := range 6 {
			// These answers are lost.
			wg.Go(func() { _, _ = c.roll(c.instances[n], rivals[n%2]) })
		}
		leader.kill()
		wg.Wait()
		first := []rollAnswer{c.rollUntilAnswered(c.running()[0], rivals[0]), c.rollUntilAnswered(c.running()[1], rivals[1])}
		leader.start()
		winner := left
		if first[1].status == http.StatusOK {
			winner = right
		}
		if (first[0].status == http.StatusOK) == (first[1].status == http.StatusOK) {
			t.Fatalf("round %d: answers %+v", round, first)
		}
		c.awaitInForce(winner)
		c.sameAnswers(rivals, first)
		b = winner
		if round == 1 {
			for _, i := range c.instances {
				i.signal(syscall.SIGKILL)
			}
			for _, i := range c.instances {
				<-i.exited
				i.start()
			}
			c.awaitInForce(winner)
			c.sameAnswers(rivals, first)
		}
	}
}

// sameAnswers resends rivals to every instance and compares the answers.
func (c *cluster) sameAnswers(rivals [][]byte, first []rollAnswer) {
	c.t.Helper()
	for _, i := range c.instances {
		for r := range rivals {
			a := c.rollUntilAnswered(i, rivals[r])
			if a.status != first[r].status || a.digest != first[r].digest {
				c.t.Errorf("%s answered %+v; the first answer was %+v", i.id(), a, first[r])
			}
		}
	}
}
