package membership

import (
	"runtime"
	"slices"
	"testing"
	"time"
)

// TestCost prints the cost of membership per member and second at several
// sizes, in virtual time and on one core, and how fast a crash is detected. It
// fails only if the bytes exceed their bound; CPU time and memory are printed
// for information. The largest size, which takes half a minute, runs with -v
// only.
func TestCost(t *testing.T) {
	const (
		steady = 60 * time.Second
		// maxPayload is the share of membership in the budget of 8 KB/s, in
		// payload bytes per member and second.
		maxPayload = 500
	)
	t.Logf("%8s %8s %8s %10s %10s %10s %10s %10s", "members", "msg/s", "B/s", "cpu us/s", "mem B/mbr", "join KB", "found p50", "found p99")
	sizes := []int{3, 9, 30, 90}
	if testing.Verbose() {
		sizes = append(sizes, 360)
	}
	for _, n := range sizes {
		before := heapInUse()
		sim := newSimulation(t, n, uint64(n))
		sim.run(joinTime)
		joined := sim.bytes
		sim.checkConverged()
		sim.queue = slices.Clip(sim.queue)
		held := heapInUse() - before
		sim.messages, sim.bytes, sim.timed = 0, 0, true
		sim.run(steady)
		sim.timed = false
		perMember := float64(n) * steady.Seconds()
		sent := float64(sim.bytes) / perMember
		messages := float64(sim.messages) / perMember
		spent := float64(sim.spent.Microseconds()) / perMember
		found := sim.detection(5)
		t.Logf("%8d %8.2f %8.0f %10.1f %10.0f %10.1f %10v %10v", n, messages, sent, spent,
			float64(held)/float64(n), float64(joined)/float64(n)/1000, quantile(found, 0.5), quantile(found, 0.99))
		if sent > maxPayload {
			t.Errorf("%d members: %.0f B per member and second", n, sent)
		}
		runtime.KeepAlive(sim)
	}
}

// joinTime is long enough for all members to start at once and to compare their
// whole views.
const joinTime = 120 * time.Second

// detection crashes members one by one and returns how long each of the others
// took to declare them dead.
func (sim *simulation) detection(crashes int) []time.Duration {
	var found []time.Duration
	for i := range min(crashes, len(sim.ids)-2) {
		id := sim.ids[i]
		sim.hosts[id].running = false
		at := sim.now
		for _, h := range sim.hosts {
			h.events = nil
		}
		sim.run(60 * time.Second)
		for _, h := range sim.hosts {
			for _, e := range h.events {
				if h.running && e.State == Dead && e.Member.ID == id {
					found = append(found, e.At.Sub(at))
				}
			}
		}
		sim.start(id, uint64(sim.now.UnixMilli()))
		sim.run(30 * time.Second)
		sim.checkConverged()
	}
	return found
}

func quantile(d []time.Duration, q float64) time.Duration {
	slices.Sort(d)
	return d[int(q*float64(len(d)-1))].Round(time.Millisecond)
}

func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
