package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/gullhaven/gullhaven/bundle"
	"github.com/gullhaven/gullhaven/bundle/bundletest"
	"github.com/gullhaven/gullhaven/node/limits"
	"github.com/gullhaven/gullhaven/node/loads"
	"github.com/gullhaven/gullhaven/pipeline"
	"github.com/gullhaven/gullhaven/ports"
	"github.com/gullhaven/gullhaven/ports/enginehttp"
	"github.com/gullhaven/gullhaven/ports/transport"
	"github.com/gullhaven/gullhaven/standin"
)

// processorTime returns the processor time that this process has used.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkObservation measures the bytes of one load observation in an owner's
// message, the bytes of a message without any, and the receiver's time for one
// observation without the link.
func BenchmarkObservation(b *testing.B) {
	const engines = 16
	owner, other := loads.NewTable("owner"), loads.NewTable("other")
	var targets []loads.Target
	for i := range engines {
		targets = append(targets, loads.Target{ID: fmt.Sprintf("runner-%04d", i)})
	}
	for _, table := range []*loads.Table{owner, other} {
		table.SetTargets(targets)
		table.SetMembers([]string{"owner", "other"})
	}
	now := time.Unix(1_796_000_000, 0)
	// share returns the owner's message after the loads of some targets changed.
	share := func(observed int) []byte {
		now = now.Add(5 * time.Second)
		for i := range observed {
			_, _ = owner.HandlePoll(now, targets[i].ID, ports.LoadReport{
				At: now.Add(-40 * time.Millisecond), Running: 37, Waiting: 12, WaitingTokens: 48_000, KVUsed: 0.8125,
			}, nil)
		}
		data, err := owner.Share(now.Add(10 * time.Millisecond))
		if err != nil {
			b.Fatal(err)
		}
		return data
	}
	// The first messages carry the details as well.
	share(engines)
	share(engines)
	one, all := share(1), share(engines)
	row := float64(len(all)-len(one)) / (engines - 1)
	for b.Loop() {
		if _, _, err := other.HandleMessage(now, all); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(row, "B/observation")
	b.ReportMetric(float64(len(one))-row, "B/message")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/engines, "ns/observation")
}

// BenchmarkDemand measures the bytes of one demand and one share of a limit (a row
// has two of each), of a partition without rows, and of a report without
// partitions.
func BenchmarkDemand(b *testing.B) {
	const workspaces = 16
	var rows []limits.Row
	var shares []limits.ShareRow
	for i := range workspaces {
		name := fmt.Sprintf("workspace-%05d", i)
		rows = append(rows, limits.Row{Workspace: name, Requests: 3.76, RequestsHeld: 123456, Tokens: 871.3, TokensHeld: 123457})
		shares = append(shares, limits.ShareRow{RequestsSeq: 123458, Requests: 4.26, TokensSeq: 123459, Tokens: 902.7})
	}
	size := func(v any) float64 {
		data, err := cbor.Marshal(v)
		if err != nil {
			b.Fatal(err)
		}
		return float64(len(data))
	}
	empty := limits.PartitionReport{Index: 60, Number: 70_000}
	report := func(p ...limits.PartitionReport) limits.Report {
		return limits.Report{Incarnation: 1 << 31, Partitions: p}
	}
	answer := func(s []limits.ShareRow) limits.Answer {
		return limits.Answer{Partitions: []limits.PartitionShares{{Index: 60, Number: 70_000, Rows: s}}}
	}
	full := limits.PartitionReport{Index: 60, Number: 70_000, Rows: rows}
	var up, down float64
	for b.Loop() {
		up, down = size(report(full)), size(answer(shares))
	}
	b.ReportMetric((up-size(report(empty)))/workspaces/2, "B/demand")
	b.ReportMetric((down-size(answer(nil)))/workspaces/2, "B/share")
	b.ReportMetric(size(report(empty, empty))-size(report(empty)), "B/part")
	b.ReportMetric(2*size(report(empty))-size(report(empty, empty)), "B/report")
}

// countingListener counts the bytes of its connections, both ways.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept wraps the connection to count its bytes.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read counts the bytes read.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write counts the bytes written.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkPoll measures one poll of an engine's load over loopback: bytes of HTTP
// both ways, and processor time of owner and stand-in together, an upper bound for
// the owner.
func BenchmarkPoll(b *testing.B) {
	var bytes atomic.Int64
	server := httptest.NewUnstartedServer(standin.NewEngine(standin.EngineConfig{}))
	server.Listener = countingListener{server.Listener, &bytes}
	server.Start()
	defer server.Close()
	set := enginehttp.NewSet(transport.NewTransports(transport.Options{}))
	engine := set.Engine(strings.TrimPrefix(server.URL, "http://"))
	if _, err := engine.Load(context.Background()); err != nil {
		b.Fatal(err)
	}
	sent, used := bytes.Load(), processorTime(b)
	for b.Loop() {
		if _, err := engine.Load(context.Background()); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(bytes.Load()-sent)/float64(b.N), "B/poll")
	b.ReportMetric(float64(processorTime(b)-used)/float64(b.N), "cpu-ns/poll")
}

// heapBytes returns the bytes in use after a garbage collection.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkBundleHeap measures the memory of a bundle of the planned size, and of the
// view of it that requests use.
func BenchmarkBundleHeap(b *testing.B) {
	data, err := json.Marshal(bundletest.Large(bundletest.FullSize))
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		before := heapBytes()
		decoded, err := bundle.Decode(data)
		if err != nil {
			b.Fatal(err)
		}
		held := heapBytes()
		view := pipeline.NewView(decoded, "", decoded.Regions[0].ID)
		both := heapBytes()
		b.ReportMetric(float64(held-before), "B/bundle")
		b.ReportMetric(float64(both-held), "B/view")
		runtime.KeepAlive(decoded)
		runtime.KeepAlive(view)
	}
}

// BenchmarkInstall measures the processor time of an instance for one accepted
// change of a workspace: the delta is applied, the digest computed and the view
// rebuilt.
func BenchmarkInstall(b *testing.B) {
	from, to := bundletest.Large(bundletest.FullSize), bundletest.Large(bundletest.FullSize)
	digest, err := from.Digest()
	if err != nil {
		b.Fatal(err)
	}
	to.Version, to.Parent = from.Version+1, digest
	to.Workspaces[4711].Limits.TokensPerSecond++
	delta, err := bundle.DeltaOf(from, to)
	if err != nil {
		b.Fatal(err)
	}
	used := processorTime(b)
	for b.Loop() {
		applied, err := delta.Apply(from)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := applied.Digest(); err != nil {
			b.Fatal(err)
		}
		pipeline.NewView(applied, "", applied.Regions[0].ID)
	}
	b.ReportMetric(float64(processorTime(b)-used)/float64(b.N), "cpu-ns/install")
}
