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

var errDisk = errors.New("injected disk fault")

// faultStep is one event of a plan. Plans are drawn outside of the synctest bubble, as
// rapid ends a draw by a panic.
type faultStep struct {
	kind, node, size int
	power            bool
}

const (
	stepBurst = iota
	stepCrash
	stepDiskFault
	stepDown
	stepUp
	stepCut
	stepWipe
	stepWait
	stepKinds
)

func drawPlan(t *rapid.T) []faultStep {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) faultStep {
		return faultStep{
			kind:  rapid.IntRange(0, stepKinds-1).Draw(t, "kind"),
			node:  rapid.IntRange(0, len(ids)-1).Draw(t, "node"),
			size:  rapid.IntRange(0, 12).Draw(t, "size"),
			power: rapid.Bool().Draw(t, "power loss"),
		}
	}), 1, 14).Draw(t, "plan")
}

func (c *cluster) run(s faultStep) {
	id := ids[s.node]
	switch s.kind {
	case stepBurst:
		c.burst(s.size)
	case stepCrash:
		c.disks[id].CrashAfter(s.size * s.size * 40)
		c.burst(s.size)
		c.down(id, s.power)
	case stepDiskFault:
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
		// A second lost disk before the first is repaired loses a majority's state,
		// which no log can tolerate.
		if c.healthy() {
			c.down(id, true)
			c.disks[id].Wipe()
			c.up(id)
		}
	case stepWait:
		time.Sleep(time.Duration(s.size) * 300 * time.Millisecond)
	}
}

// endFaults ends all faults and waits until each node votes again.
func (c *cluster) endFaults() {
	c.mu.Lock()
	c.lossPercent, c.cut = 0, map[string]bool{}
	c.mu.Unlock()
	for _, id := range ids {
		c.disks[id].ClearFaults()
	}
	// A node that hit its injected fault just before has to be seen as failed.
	time.Sleep(time.Second)
	for _, id := range ids {
		if n := c.node(id); n != nil && n.Status().State == replhost.Failed {
			c.down(id, true)
		}
		c.up(id)
	}
	if len(c.failures) == 0 && !c.waitHealthy() {
		c.fail("the group didn't come back: %s", c.states())
	}
}

// Guards against an acknowledged proposal that is lost, one reported as not run that is
// there, and nodes that differ, under bursts of proposals at all nodes with crashes at
// any byte, failing disks, restarts, partitions, wiped disks and lost messages. Causes
// would be a message sent before the sync that it depends on, a lost disk that is
// counted, or a wrong verdict.
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
			if !c.waitHealthy() {
				c.fail("the group didn't form")
			}
			c.setLoss(loss)
			for _, s := range plan {
				c.run(s)
			}
			c.endFaults()
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

// Guards against losing an acknowledged proposal after two failures in a row: c comes
// back with an empty disk while b is down; later, with c readmitted, b is lost for
// good. An empty voter must not count before it is readmitted and has caught up.
func TestWipedDiskCountsOnlyOnceReadmitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newFormedCluster(t, 1)
		c.burst(30)
		c.down("b", true)
		c.down("c", true)
		c.disks["c"].Wipe()
		c.up("c")
		time.Sleep(3 * time.Second) // an earlier lease may last until here
		if !c.node("c").Status().New || c.leader(10*time.Second) != nil {
			t.Fatal("one voter and an empty one made a majority")
		}
		if c.propose(c.node("a")) == nil || c.read(c.node("a")) == nil {
			t.Fatal("a proposal or read went through with one voter and an empty one")
		}
		c.up("b")
		if !c.waitHealthy() {
			t.Fatal("the empty voter was not readmitted")
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

// Guards against a leader that answers although its disk keeps nothing: a sync fails
// once at the leader. The host must neither retry nor send messages after the failure.
func TestFailedDiskEndsTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newFormedCluster(t, 2)
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
		c.endFaults()
		c.check()
		if len(c.failures) > 0 {
			t.Fatal(c.failures)
		}
	})
}

// Guards against a node that leads on after a disk failure until the next proposal: the
// batch is synced, and writing the mark after it fails. The log keeps that failure, and
// the host must ask for it.
func TestFailureBehindADurableBatchEndsTheNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newFormedCluster(t, 3)
		old := c.leader(time.Second)
		c.disks[old.Member().ID].Fail(faultfs.OpWrite, 1, errDisk)
		// The leader may end before the group's answer arrives.
		var v *verdict.Error
		if err := c.propose(old); err != nil && (!errors.As(err, &v) || v.Verdict != verdict.MayHaveRun) {
			t.Fatalf("the proposal ended with %v", err)
		}
		time.Sleep(10 * time.Millisecond)
		if s := old.Status(); s.State != replhost.Failed || !errors.Is(s.Err, errDisk) {
			t.Fatalf("%v, %v", s.State, s.Err)
		}
		c.endFaults()
		c.check()
		if len(c.failures) > 0 {
			t.Fatal(c.failures)
		}
	})
}
