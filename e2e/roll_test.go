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

// Symptom: two regions run different bundles under one version.
// Events: two operators roll different bundles of equal version at different
// instances at the same time; both resend.
// Cause: acceptance that is not one compare-and-set.
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

// rollUntilAnswered sends the same bytes until an answer is final.
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

// Symptom: an accepted bundle is lost, or a roll never ends.
// Events: the leader is killed while bundles are rolled, again and again; each
// killed one starts again.
// Cause: acknowledging before a majority has synced, or a resend that is taken
// for a new bundle.
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
		c.inForce(b)
	}
}

// Symptom: accepted bundles are gone after two losses in turn.
// Events: a voter is killed and its disk wiped; it comes back and is repaired;
// then a second voter is killed for good.
// Cause: counting a voter that has forgotten what it acknowledged.
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
	c.inForce(b)
	// Once the wiped voter counts again, the group has a majority without the second.
	c.eventually("the wiped voter is readmitted", func() error { return c.readmitted(first) })
	second.kill()
	b = c.next(b, "after the second loss")
	c.mustRoll(b)
	second.start()
	c.inForce(b)
}

// readmitted checks that a voter counts in the group.
func (c *cluster) readmitted(i *instance) error {
	s, err := c.status(i)
	if err != nil {
		return err
	}
	if !slices.Contains(s.Roles, "voter") {
		return errorString(fmt.Sprintf("%s has the roles %v", i.id(), s.Roles))
	}
	return nil
}

// Symptom: an instance that was frozen acts on what it believed before, or
// puts an older bundle in force.
// Events: the leader is stopped for longer than its lease; others accept two
// bundles; it goes on.
// Cause: a lease that is not checked against the time that passed.
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
	c.inForce(b)
}

// Symptom: after a restart an instance serves under an older bundle.
// Events: many changes, then every process is killed at once and started again.
// Cause: state that was acknowledged but not synced.
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
	c.inForce(b)
	c.mustRoll(c.next(b, "after the restart"))
}

// Symptom: after a change of leader the loser of a race is accepted, or the same
// bytes get another answer.
// Events: two operators roll different bundles of equal version everywhere while
// the leader is killed again and again; their answers are lost, and they send
// again; at last all instances are killed and started.
// Cause: an outcome that only the leader of the time knew.
func TestRaceHasOneWinnerWhileLeadersDie(t *testing.T) {
	c := startCluster(t, 2)
	b := c.bundle
	for round := range 3 {
		left, right := c.next(b, fmt.Sprint("left ", round)), c.next(b, fmt.Sprint("right ", round))
		rivals := [][]byte{c.sign(left), c.sign(right)}
		leader := c.leader()
		var wg sync.WaitGroup
		for n := range 6 {
			// What these are answered is lost.
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
		c.inForce(winner)
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
			c.inForce(winner)
			c.sameAnswers(rivals, first)
		}
	}
}

// sameAnswers sends rivals again to every instance and compares the answers.
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
