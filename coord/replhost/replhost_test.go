package replhost_test

import (
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/gullhaven/gullhaven/coord/replhost"
	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/coord/wal"
	"github.com/gullhaven/gullhaven/coord/wal/faultfs"
)

var errDisk = errors.New("planted fault of the disk")

// step is one event of a plan. Plans are drawn outside of the bubble, as rapid
// ends a draw by a panic.
type step struct {
	kind, node, size int
	power            bool
}

const (
	stepBurst = iota
	stepCrash
	stepDisk
	stepDown
	stepUp
	stepCut
	stepWipe
	stepWait
	stepKinds
)

func drawPlan(t *rapid.T) []step {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			kind:  rapid.IntRange(0, stepKinds-1).Draw(t, "kind"),
			node:  rapid.IntRange(0, len(ids)-1).Draw(t, "node"),
			size:  rapid.IntRange(0, 12).Draw(t, "size"),
			power: rapid.Bool().Draw(t, "power loss"),
		}
	}), 1, 14).Draw(t, "plan")
}

func (c *cluster) run(s step) {
	id := ids[s.node]
	switch s.kind {
	case stepBurst:
		c.burst(s.size)
	case stepCrash:
		c.disks[id].CrashAfter(s.size * s.size * 40)
		c.burst(s.size)
		c.down(id, s.power)
	case stepDisk:
		op := []faultfs.Op{faultfs.OpWrite, faultfs.OpSync, faultfs.OpSyncDir, faultfs.OpRename}[s.size%4]
		c.disks[id].Fail(op, s.size, errDisk)
		c.burst(s.size)
	case stepDown:
		c.down(id, s.power)
	case stepUp:
		c.up(id)
	case stepCut:
		c.mu.Lock()
		c.cut[id] = !c.cut[id]
		c.mu.Unlock()
	case stepWipe:
		// A second lost disk before the first is repaired takes a majority's
		// memory, which no log can bear.
		if c.whole() {
			c.down(id, true)
			c.disks[id].Wipe()
			c.up(id)
		}
	case stepWait:
		time.Sleep(time.Duration(s.size) * 300 * time.Millisecond)
	}
}

// mend ends all faults and waits until each node votes again.
func (c *cluster) mend() {
	c.mu.Lock()
	c.loss, c.cut = 0, map[string]bool{}
	c.mu.Unlock()
	for _, id := range ids {
		c.disks[id].ClearFaults()
	}
	// A node that met its planted fault just before has to be seen as failed.
	time.Sleep(time.Second)
	for _, id := range ids {
		if n := c.node(id); n != nil && n.Status().State == replhost.Failed {
			c.down(id, true)
		}
		c.up(id)
	}
	if len(c.failures) == 0 && !c.waitWhole() {
		c.fail("the group didn't come back: %s", c.states())
	}
}

// Symptom: a proposal that was acknowledged is gone, one that was told not to
// have run is there, or two nodes differ.
// Events: bursts of proposals at all nodes; crashes at any byte, failing disks,
// nodes down and up, cut off, with wiped disks; lost messages.
// Cause: a message sent before the sync that it rests on, a lost disk counted,
// a verdict that says less than what can have happened.
func TestNoAcknowledgedProposalIsLost(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		plan := drawPlan(rt)
		seed := rapid.Uint64().Draw(rt, "seed")
		loss := rapid.SampledFrom([]int{0, 5, 20}).Draw(rt, "loss")
		var c *cluster
		synctest.Test(t, func(*testing.T) {
			c = newCluster(seed)
			for _, id := range ids {
				c.up(id)
			}
			if !c.waitWhole() {
				c.fail("the group didn't form")
			}
			c.setLoss(loss)
			for _, s := range plan {
				c.run(s)
			}
			c.mend()
			if len(c.failures) == 0 {
				c.check()
			}
			c.close()
		})
		if len(c.failures) > 0 {
			rt.Fatal(strings.Join(c.failures, "\n"))
		}
	})
}

// Symptom: an acknowledged proposal is lost after a second failure right after
// the first.
// Events: c comes back with an empty disk while b is down; later, c readmitted,
// b is lost for good.
// Cause: an emptied voter that counts before it was readmitted and caught up.
func TestWipedDiskCountsOnlyOnceReadmitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := formed(t, 1)
		c.burst(30)
		c.down("b", true)
		c.down("c", true)
		c.disks["c"].Wipe()
		c.up("c")
		time.Sleep(3 * time.Second) // a lease of before may last until here
		if !c.node("c").Status().New || c.leader(10*time.Second) != nil {
			t.Fatal("one voter and an emptied one made a majority")
		}
		if c.propose(c.node("a")) == nil || c.read(c.node("a")) == nil {
			t.Fatal("a proposal or read went through with one voter and an emptied one")
		}
		c.up("b")
		if !c.waitWhole() {
			t.Fatal("the emptied voter was not readmitted")
		}
		c.down("b", true)
		if n := c.leader(10 * time.Second); n == nil || c.propose(n) != nil {
			t.Fatal("no majority after the readmission")
		}
		c.up("b")
		c.check()
		if len(c.failures) > 0 || len(c.acked) < 31 {
			t.Fatal(len(c.acked), c.failures)
		}
	})
}

// Symptom: a leader goes on answering although its disk keeps nothing.
// Events: a sync fails once at the leader.
// Cause: a host that tries again, or sends messages after the failure.
func TestFailedDiskEndsTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := formed(t, 2)
		old := c.leader(time.Second)
		c.disks[old.Member().ID].Fail(faultfs.OpSync, 0, errDisk)
		var v *verdict.Error
		if err := c.propose(old); !errors.As(err, &v) || v.Verdict != verdict.MayHaveRun || v.Code != replhost.CodeStopped {
			t.Fatalf("the proposal ended with %v", err)
		}
		if err := c.propose(old); !errors.As(err, &v) || v.Verdict != verdict.NotRun || !errors.Is(err, errDisk) {
			t.Fatalf("a later proposal ended with %v", err)
		}
		s := old.Status()
		var p *wal.PoisonedError
		if s.State != replhost.Failed || !errors.As(s.Err, &p) || !old.LeaseUntil().IsZero() || old.Read(t.Context()) == nil {
			t.Fatalf("%v, %v", s.State, s.Err)
		}
		if n := c.leader(10 * time.Second); n == nil || n == old || c.propose(n) != nil {
			t.Fatal("no other leader took over")
		}
		c.mend()
		c.check()
		if len(c.failures) > 0 {
			t.Fatal(c.failures)
		}
	})
}

// Symptom: a node whose disk has failed leads on until the next proposal.
// Events: the batch is synced, the write of the mark behind it fails.
// Cause: a failure that is kept by the log and not asked for.
func TestFailureBehindADurableBatchEndsTheNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := formed(t, 3)
		old := c.leader(time.Second)
		c.disks[old.Member().ID].Fail(faultfs.OpWrite, 1, errDisk)
		// The leader may end before the group's answer is there.
		var v *verdict.Error
		if err := c.propose(old); err != nil && (!errors.As(err, &v) || v.Verdict != verdict.MayHaveRun) {
			t.Fatalf("the proposal ended with %v", err)
		}
		time.Sleep(10 * time.Millisecond)
		if s := old.Status(); s.State != replhost.Failed || !errors.Is(s.Err, errDisk) {
			t.Fatalf("%v, %v", s.State, s.Err)
		}
		c.mend()
		c.check()
		if len(c.failures) > 0 {
			t.Fatal(c.failures)
		}
	})
}
