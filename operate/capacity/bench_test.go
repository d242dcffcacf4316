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
	"github.com/gullhaven/gullhaven/coord/limit"
	"github.com/gullhaven/gullhaven/node/loads"
	"github.com/gullhaven/gullhaven/pipeline"
	"github.com/gullhaven/gullhaven/ports/enginehttp"
	"github.com/gullhaven/gullhaven/ports/sending"
	"github.com/gullhaven/gullhaven/route"
	"github.com/gullhaven/gullhaven/standin"
)

// processorTime of this process so far.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkObservation measures one load observation as a batch of the region
// carries it, and what a receiver spends on it but for the link.
func BenchmarkObservation(b *testing.B) {
	const targets = 16
	var batch struct {
		Observations []loads.Observation `cbor:"1,keyasint"`
	}
	for i := range targets {
		batch.Observations = append(batch.Observations, loads.Observation{
			Target: fmt.Sprintf("runner-%04d", i), AgeMillis: 40, Running: 37, Waiting: 12, WaitingTokens: 48_000,
			KVUsed: 0.8125, State: route.Warm, Version: "2026-11", Adapters: []string{"summaries", "synopses"}, Life: 1_796_000_000_000,
		})
	}
	data, err := cbor.Marshal(batch)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if err := cbor.Unmarshal(data, &batch); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(data))/targets, "B/observation")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/targets, "ns/observation")
}

// BenchmarkDemand measures one demand of a workspace's limit and its share.
func BenchmarkDemand(b *testing.B) {
	const workspaces = 16
	var demands []limit.Demand
	var shares []limit.Share
	for i := range workspaces {
		id := limit.ID{Workspace: fmt.Sprintf("workspace-%05d", i), Resource: 1}
		demands = append(demands, limit.Demand{ID: id, Rate: 3.75, Held: 123456})
		shares = append(shares, limit.Share{ID: id, Seq: 123456, Limit: limit.Limit{Rate: 4.25, Burst: 9}, Lease: 5 * time.Second})
	}
	var up, down []byte
	for b.Loop() {
		var err1, err2 error
		up, err1 = cbor.Marshal(demands)
		down, err2 = cbor.Marshal(shares)
		if err1 != nil || err2 != nil {
			b.Fatal(err1, err2)
		}
	}
	b.ReportMetric(float64(len(up))/workspaces, "B/demand")
	b.ReportMetric(float64(len(down))/workspaces, "B/share")
}

// countedListener counts the bytes of its connections.
type countedListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept counts what the connection carries.
func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countedConn{c, l.bytes}, err
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read counts.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write counts.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkPoll measures one poll of an engine's load over loopback: bytes of
// HTTP both ways, and processor time of owner and stand-in together, which is an
// upper bound for the owner.
func BenchmarkPoll(b *testing.B) {
	var bytes atomic.Int64
	server := httptest.NewUnstartedServer(standin.NewEngine(standin.EngineConfig{ID: "e"}))
	server.Listener = countedListener{server.Listener, &bytes}
	server.Start()
	defer server.Close()
	set := enginehttp.NewSet(sending.NewTransports(sending.Options{}))
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

// heap is what is held after a collection.
func heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkBundleHeap measures what an instance holds for a bundle of the
// planned size: the bundle with the view of it that requests use.
func BenchmarkBundleHeap(b *testing.B) {
	data, err := json.Marshal(bundletest.Large(bundletest.FullSize))
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		before := heap()
		decoded, err := bundle.Decode(data)
		if err != nil {
			b.Fatal(err)
		}
		held := heap()
		view := pipeline.NewView(decoded, "", decoded.Regions[0].ID)
		both := heap()
		b.ReportMetric(float64(held-before), "B/bundle")
		b.ReportMetric(float64(both-held), "B/view")
		runtime.KeepAlive(decoded)
		runtime.KeepAlive(view)
	}
}

// BenchmarkInstall measures what each instance spends on one accepted change of
// a workspace: the change is applied, its digest compared, and the view made
// anew.
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
