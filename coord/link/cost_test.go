package link

import (
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// cpu returns the CPU time that this process has used.
func cpu(t testing.TB) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		t.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkSend measures one-way messages with a window that fits the rings, so
// that none is refused: messages per second, CPU time and bytes on the wire
// (with TLS and WebSocket, without TCP/IP headers), for both ends together.
func BenchmarkSend(b *testing.B) {
	for _, size := range []int{32, 256, 4096, 65536} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			c := newCluster(b)
			a, z := c.instance("a", nil), c.instance("z", nil)
			window := make(chan struct{}, DefaultRingSize/2)
			var got sync.WaitGroup
			z.Handle("m", func(string, []byte) { <-window; got.Done() })
			payload := make([]byte, size)
			send := func() {
				window <- struct{}{}
				got.Add(1)
				if !a.Send("z", "m", payload) {
					b.Fatal("refused")
				}
			}
			send()
			got.Wait()
			wire, used := c.wire.Load(), cpu(b)
			for b.Loop() {
				send()
			}
			got.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "msg/s")
			b.ReportMetric(float64(cpu(b)-used)/float64(b.N), "cpu-ns/msg")
			b.ReportMetric(float64(c.wire.Load()-wire)/float64(b.N), "wire-B/msg")
		})
	}
}

// BenchmarkPaced measures the cost of a message that is sent alone, as pings are.
func BenchmarkPaced(b *testing.B) {
	c := newCluster(b)
	a, z := c.instance("a", nil), c.instance("z", nil)
	got := make(chan struct{})
	z.Handle("m", func(string, []byte) { got <- struct{}{} })
	a.Send("z", "m", make([]byte, 64))
	<-got
	wire, used := c.wire.Load(), cpu(b)
	for b.Loop() {
		a.Send("z", "m", make([]byte, 64))
		<-got
	}
	b.ReportMetric(float64(cpu(b)-used)/float64(b.N), "cpu-ns/msg")
	b.ReportMetric(float64(c.wire.Load()-wire)/float64(b.N), "wire-B/msg")
}

// TestCostOfLinks prints the cost of opening and holding links, per end. The
// figures are for information; the test fails only if links can't be opened.
func TestCostOfLinks(t *testing.T) {
	t.Logf("%6s %12s %12s %14s %14s", "links", "heap B/end", "stack B/end", "cpu us/link", "handshake B")
	for _, n := range []int{8, 32, 128} {
		c := newCluster(t)
		a := c.instance("a", nil)
		var got atomic.Int64
		all := make(chan struct{})
		peers := make([]*instance, n)
		for i := range n {
			peers[i] = c.instance(fmt.Sprintf("p%d", i), nil)
			peers[i].Handle("m", func(string, []byte) {
				if got.Add(1) == int64(n) {
					close(all)
				}
			})
		}
		heap, stack := memory()
		used := cpu(t)
		for i := range n {
			if !a.Send(fmt.Sprintf("p%d", i), "m", nil) {
				t.Fatal("refused")
			}
		}
		recv(t, all, "message to each peer")
		used = cpu(t) - used
		wire := c.wire.Load()
		heap2, stack2 := memory()
		ends := float64(2 * n)
		t.Logf("%6d %12.0f %12.0f %14.0f %14.0f", n, float64(heap2-heap)/ends, float64(stack2-stack)/ends,
			float64(used.Microseconds())/float64(n), float64(wire)/float64(n))
		a.Close()
	}
}

func memory() (heap, stack int64) {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc), int64(m.StackInuse)
}
