package replhost_test

import (
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gullhaven/gullhaven/coord/replhost"
	"github.com/gullhaven/gullhaven/coord/replog"
)

const benchProposalBytes = 256

// emptyMachine is a state machine without state.
type emptyMachine struct{}

func (emptyMachine) Apply(uint64, []byte) []byte { return nil }
func (emptyMachine) Snapshot() ([]byte, error)   { return []byte{0}, nil }
func (emptyMachine) Restore([]byte) error        { return nil }

// benchNetwork connects nodes of one process.
type benchNetwork struct {
	mu    sync.RWMutex
	nodes map[string]*replhost.Node
}

type benchTransport struct {
	w    *benchNetwork
	self string
}

func (p benchTransport) Send(to string, payload []byte) {
	p.w.mu.RLock()
	n := p.w.nodes[to]
	p.w.mu.RUnlock()
	if n != nil {
		n.Receive(p.self, payload)
	}
}

func benchGroup(b *testing.B) (leader *replhost.Node) {
	b.Helper()
	w := &benchNetwork{nodes: map[string]*replhost.Node{}}
	folder := b.TempDir()
	for _, id := range ids {
		n, err := replhost.Open(replhost.Options{
			Core: replog.Options{Self: replog.Member{ID: id}, Bootstrap: &replog.Bootstrap{Voters: ids}},
			Dir:  filepath.Join(folder, id), Transport: benchTransport{w, id}, StateMachine: emptyMachine{},
		})
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { _ = n.Stop() })
		w.mu.Lock()
		w.nodes[id] = n
		w.mu.Unlock()
	}
	for range 1000 {
		for _, n := range w.nodes {
			if !n.LeaseUntil().IsZero() {
				return n
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	b.Fatal("no leader")
	return nil
}

// BenchmarkPropose measures proposals of 256 bytes at the leader of three nodes on one
// real disk, without a network, by the number of concurrent proposers.
func BenchmarkPropose(b *testing.B) {
	for _, waiting := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			leader := benchGroup(b)
			before := leader.Status().Counters
			data := make([]byte, benchProposalBytes)
			var left atomic.Int64
			left.Store(int64(b.N))
			var wait sync.WaitGroup
			b.ResetTimer()
			for range waiting {
				wait.Go(func() {
					for left.Add(-1) >= 0 {
						if _, err := leader.Propose(context.Background(), data); err != nil {
							b.Error(err)
							return
						}
					}
				})
			}
			wait.Wait()
			b.StopTimer()
			c := leader.Status().Counters
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "proposals/s")
			b.ReportMetric(float64(c.SyncedEntries-before.SyncedEntries)/float64(max(1, c.Syncs-before.Syncs)), "entries/sync")
		})
	}
}
