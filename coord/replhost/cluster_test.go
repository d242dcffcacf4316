package replhost_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gullhaven/gullhaven/coord/replhost"
	"github.com/gullhaven/gullhaven/coord/replog"
	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/coord/wal/faultfs"
)

var ids = []string{"a", "b", "c"}

// listMachine is a state machine that keeps the entries applied to it.
type listMachine struct {
	mu    sync.Mutex
	items []string
}

func (l *listMachine) Apply(_ uint64, data []byte) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.items = append(l.items, string(data))
	return data
}

func (l *listMachine) Snapshot() ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return json.Marshal(l.items)
}

func (l *listMachine) Restore(data []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.items = nil
	return json.Unmarshal(data, &l.items)
}

func (l *listMachine) get() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.items)
}

// cluster is three nodes on a network in memory and disks with injected faults. It runs
// in a synctest bubble, where time advances only while all goroutines wait.
type cluster struct {
	mu          sync.Mutex
	nodes       map[string]*replhost.Node
	lists       map[string]*listMachine
	disks       map[string]*faultfs.FS
	cut         map[string]bool // nodes that can neither send nor receive
	rng         *rand.Rand
	lossPercent int // of the payloads
	nextItem    int
	acked       []string        // proposals that succeeded
	notRun      map[string]bool // proposals that ended with verdict NotRun
	failures    []string
}

func newCluster(seed uint64) *cluster {
	c := &cluster{
		nodes: map[string]*replhost.Node{}, lists: map[string]*listMachine{}, disks: map[string]*faultfs.FS{},
		cut: map[string]bool{}, notRun: map[string]bool{}, rng: rand.New(rand.NewPCG(seed, 1)),
	}
	for _, id := range ids {
		c.disks[id] = faultfs.New()
	}
	return c
}

// newFormedCluster returns a cluster whose nodes all run and vote. It ends with t.
func newFormedCluster(t *testing.T, seed uint64) *cluster {
	t.Helper()
	c := newCluster(seed)
	t.Cleanup(c.close)
	for _, id := range ids {
		c.up(id)
	}
	if !c.waitHealthy() {
		t.Fatal("the group didn't form")
	}
	return c
}

func (c *cluster) fail(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures = append(c.failures, fmt.Sprintf(format, args...))
}

func (c *cluster) random() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.Uint64()
}

func (c *cluster) choose(n int) int { return int(c.random() % uint64(n)) }

// clusterTransport is one node's transport.
type clusterTransport struct {
	c    *cluster
	self string
}

func (p clusterTransport) Send(to string, payload []byte) {
	c := p.c
	roll := c.choose(100)
	c.mu.Lock()
	node := c.nodes[to]
	lost := roll < c.lossPercent || c.cut[to] || c.cut[p.self]
	c.mu.Unlock()
	if node != nil && !lost {
		node.Receive(p.self, payload)
	}
}

// up opens a node unless it runs. If its disk fails meanwhile, the node stays down.
func (c *cluster) up(id string) {
	if c.node(id) != nil {
		return
	}
	l := &listMachine{}
	n, err := replhost.Open(replhost.Options{
		Core: replog.Options{
			Self:      replog.Member{ID: id},
			Bootstrap: &replog.Bootstrap{Voters: ids},
		},
		FS: c.disks[id], Dir: "/data", SegmentBytes: 4096,
		Transport: clusterTransport{c: c, self: id}, StateMachine: l, Random: c.random,
		SnapshotEntries: 20, KeepEntries: 5, Repair: true,
	})
	if errors.Is(err, errDisk) || errors.Is(err, faultfs.ErrCrashed) {
		c.disks[id].Kill()
		return
	}
	if err != nil {
		c.fail("open %s: %v", id, err)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[id], c.lists[id] = n, l
}

// down ends a node as kill -9 does, or if power is set as a power loss does.
func (c *cluster) down(id string, power bool) {
	n := c.node(id)
	if n == nil {
		return
	}
	c.mu.Lock()
	delete(c.nodes, id)
	c.mu.Unlock()
	c.disks[id].CrashAfter(0)
	_ = n.Stop()
	if power {
		c.disks[id].PowerLoss(c.choose)
	} else {
		c.disks[id].Kill()
	}
}

func (c *cluster) setLoss(loss int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lossPercent = loss
}

func (c *cluster) node(id string) *replhost.Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[id]
}

// leader returns a node that holds a lease, waiting for one up to wait.
func (c *cluster) leader(wait time.Duration) *replhost.Node {
	for range int(wait / (50 * time.Millisecond)) {
		for _, id := range ids {
			if n := c.node(id); n != nil && !n.LeaseUntil().IsZero() {
				return n
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}

// healthy reports whether all nodes run and vote under their current disks.
func (c *cluster) healthy() bool {
	n := c.leader(50 * time.Millisecond)
	if n == nil {
		return false
	}
	s := n.Status().Core
	for _, id := range ids {
		n := c.node(id)
		if n == nil || !s.Config.IsVoter(n.Member()) || n.Status().State != replhost.Running {
			return false
		}
	}
	return s.Applied >= s.ConfigIndex
}

func (c *cluster) waitHealthy() bool {
	for range 400 {
		if c.healthy() {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// states describes the nodes for a failure message.
func (c *cluster) states() string {
	var b strings.Builder
	for _, id := range ids {
		if n := c.node(id); n != nil {
			s := n.Status()
			fmt.Fprintf(&b, "%s %v (%v) %v term %d applied %d of %d in %v; ",
				id, s.State, s.Err, s.Core.Role, s.Core.Term, s.Applied, s.Core.Last, s.Core.Config)
		}
	}
	return b.String()
}

// propose proposes one or two entries to a node and records the verdict.
func (c *cluster) propose(n *replhost.Node) error {
	c.mu.Lock()
	c.nextItem++
	data := fmt.Sprintf("item %d", c.nextItem)
	proposed := []string{data}
	if c.nextItem%2 == 0 {
		proposed = []string{data + ", first half", data}
	}
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	var encoded [][]byte
	for _, p := range proposed {
		encoded = append(encoded, []byte(p))
	}
	result, err := n.ProposeAll(ctx, encoded...)
	c.mu.Lock()
	defer c.mu.Unlock()
	var v *verdict.Error
	switch {
	case err == nil && string(result) == data:
		c.acked = append(c.acked, proposed...)
	case err == nil:
		c.failures = append(c.failures, fmt.Sprintf("%s got the result %q", data, result))
	case !errors.As(err, &v):
		c.failures = append(c.failures, fmt.Sprintf("%s got no verdict: %v", data, err))
	case v.Verdict == verdict.NotRun:
		for _, p := range proposed {
			c.notRun[p] = true
		}
	}
	return err
}

// burst proposes at all nodes concurrently.
func (c *cluster) burst(size int) {
	var wait sync.WaitGroup
	for _, id := range ids {
		if n := c.node(id); n != nil {
			for range size {
				wait.Go(func() { _ = c.propose(n) })
			}
		}
	}
	wait.Wait()
}

func (c *cluster) read(n *replhost.Node) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return n.Read(ctx)
}

// flush commits one more proposal. Entries whose proposers got no result may wait in the
// leader's log; with this one they are committed too, so that reads at two nodes
// can be compared.
func (c *cluster) flush() bool {
	for range 100 {
		if n := c.leader(time.Second); n != nil && c.propose(n) == nil {
			return true
		}
	}
	return false
}

// check compares the state machines with the results that callers got, after a read at
// each node.
func (c *cluster) check() {
	if !c.flush() {
		c.fail("no proposal went through: %s", c.states())
		return
	}
	var first []string
	for _, id := range ids {
		n := c.node(id)
		err := c.read(n)
		for range 50 {
			if err == nil {
				break
			}
			time.Sleep(100 * time.Millisecond)
			err = c.read(n)
		}
		if err != nil {
			c.fail("read at %s: %v, %+v", id, err, n.Status())
			return
		}
		items := c.lists[id].get()
		if first == nil {
			first = items
			c.checkItems(items)
		}
		if !slices.Equal(first, items) {
			c.fail("a and %s differ: %v, %v", id, first, items)
		}
	}
}

func (c *cluster) checkItems(items []string) {
	seen := map[string]bool{}
	for _, item := range items {
		if seen[item] || c.notRun[item] {
			c.fail("%s: twice %v, reported as not run %v", item, seen[item], c.notRun[item])
		}
		seen[item] = true
	}
	for _, item := range c.acked {
		if !seen[item] {
			c.fail("%s was acknowledged and is lost", item)
		}
	}
}

func (c *cluster) close() {
	for _, id := range ids {
		if n := c.node(id); n != nil {
			_ = n.Stop()
		}
	}
}
