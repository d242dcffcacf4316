package placing_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/bundle"
	"github.com/gullhaven/gullhaven/node/placing"
	"github.com/gullhaven/gullhaven/placement"
	"github.com/gullhaven/gullhaven/ports"
	"github.com/gullhaven/gullhaven/ports/enginehttp"
	"github.com/gullhaven/gullhaven/ports/transport"
	"github.com/gullhaven/gullhaven/standin"
)

// alwaysLeader is a leadership that is never lost.
type alwaysLeader struct{}

func (alwaysLeader) Term() (uint64, bool) { return 1, true }

const engineCount = 3

// fleet is a region of stand-in engines behind their HTTP interface.
type fleet struct {
	standins  []*standin.Engine
	addresses []string
	set       *enginehttp.Set
}

func newFleet(t *testing.T) *fleet {
	tr := transport.NewTransports(transport.Options{})
	t.Cleanup(tr.Close)
	f := &fleet{set: enginehttp.NewSet(tr)}
	for i := range engineCount {
		e := standin.NewEngine(standin.EngineConfig{
			PerToken: time.Millisecond, LoadTime: 50 * time.Millisecond, IgnoresFence: i == 0,
		})
		s := httptest.NewServer(f.checkOrders(t, e))
		t.Cleanup(s.Close)
		f.standins = append(f.standins, e)
		f.addresses = append(f.addresses, strings.TrimPrefix(s.URL, "http://"))
	}
	return f
}

// checkOrders wraps an engine and checks each order against the engines' state, as the
// stand-in itself would load a version while requests are in progress.
func (f *fleet) checkOrders(t *testing.T, e *standin.Engine) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == enginehttp.PathOrders {
			body, err := io.ReadAll(r.Body)
			var o ports.Order
			if err != nil || json.Unmarshal(body, &o) != nil {
				t.Errorf("malformed order %q", body)
			}
			f.checkOrder(t, e, o.Kind)
			r.Body = io.NopCloser(bytes.NewReader(body))
		}
		e.ServeHTTP(w, r)
	})
}

func (f *fleet) checkOrder(t *testing.T, e *standin.Engine, kind ports.OrderKind) {
	load := report(t, e)
	if kind == ports.OrderLoadVersion && load.Running+load.Waiting > 0 {
		t.Errorf("load of a version beside %d requests in progress", load.Running+load.Waiting)
	}
	if kind != ports.OrderDrain || load.Version == "" {
		return
	}
	for _, o := range f.standins {
		if o != e && report(t, o).Draining {
			t.Error("a second engine of three drained")
		}
	}
}

// report reads the load report of a stand-in without its server.
func report(t *testing.T, e *standin.Engine) (l ports.LoadReport) {
	w := httptest.NewRecorder()
	e.ServeHTTP(w, httptest.NewRequest(http.MethodGet, enginehttp.PathLoad, nil))
	if err := json.Unmarshal(w.Body.Bytes(), &l); err != nil {
		t.Errorf("load report: %v", err)
	}
	return l
}

// bundle returns a bundle that places a version at all engines of the fleet.
func (f *fleet) bundle(version string) *bundle.Bundle {
	b := &bundle.Bundle{
		Models: []bundle.Model{{
			ID:       "m",
			Versions: []bundle.ModelVersion{{ID: "v1", Weights: "w1", SizeBytes: 1}, {ID: "v2", Weights: "w2", SizeBytes: 1}},
			Adapters: []bundle.Adapter{{ID: "a", Weights: "wa", SizeBytes: 1}},
		}},
		Services: []bundle.Service{{ID: "s", Kind: bundle.KindModel, Model: "m", Version: version, Adapters: []string{"a"}}},
		Rules:    bundle.Rules{DrainSeconds: 30, WeightStoreBytesPerSecond: 1000, MaxConcurrentLoads: 2},
	}
	for i, a := range f.addresses {
		b.Targets = append(b.Targets, bundle.Target{
			ID: fmt.Sprintf("e%d", i), Service: "s", Region: "r", State: bundle.TargetActive, Address: a, Slots: 8,
			ChecksFence: i != 0, OrderExpiryMillis: 200,
		})
	}
	return b
}

// service runs the placement with shorter times than those of a region.
func (f *fleet) service(t *testing.T) *placing.Service {
	ms := time.Millisecond
	o := placement.Options{ReportLag: 20 * ms, PropagationDelay: 20 * ms, PollInterval: 10 * ms, RetryBase: 50 * ms}
	o.Lease.Duration, o.Lease.MaxDrift = 500*ms, 0.005
	s := placing.New(placing.Options{
		Region: "r", Engines: f.set, Leadership: alwaysLeader{}, Log: zap.NewNop(), Planner: o, Tick: 10 * ms,
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { s.Run(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	return s
}

// await waits until all engines have a version and accept requests, or the test ends.
func (f *fleet) await(t *testing.T, s *placing.Service, version string) {
	for t.Context().Err() == nil {
		done := len(s.Status().Targets) == engineCount
		for _, target := range s.Status().Targets {
			done = done && target.Converged
		}
		for _, a := range f.addresses {
			r, err := f.set.Engine(a).Load(t.Context())
			done = done && err == nil && r.Version == version && !r.Draining
		}
		if done {
			return
		}
		time.Sleep(5 * time.Millisecond) // Limits the polling rate; nothing depends on it.
	}
}

// sendRequests streams requests until stop. If an engine rejects one, it goes on with
// the next engine, as the request path does.
func (f *fleet) sendRequests(ctx context.Context, n int, stop *atomic.Bool, completed *atomic.Int64) error {
	body := []byte(`{"model":"s","stream":true,"max_tokens":20,"prompt":"hello"}`)
	for i := n; !stop.Load(); i++ {
		c := ports.Completion{Attempt: ports.AttemptID(fmt.Sprintf("%d-%d", n, i)), Stream: true, Body: body}
		stream, err := f.set.Engine(f.addresses[i%engineCount]).Complete(ctx, c)
		if err != nil {
			if !strings.Contains(err.Error(), string(ports.CodeRejected)) {
				return err
			}
			continue
		}
		for err == nil {
			_, err = stream.Next()
		}
		stream.Close()
		if err != io.EOF {
			return err
		}
		completed.Add(1)
	}
	return nil
}

// Guards against a roll of a new version that interrupts answers, if an engine loads
// before its requests in progress have ended, or that leaves an engine with the old
// version: a new bundle arrives while requests stream from all three engines.
func TestRollOfVersionInterruptsNoRequest(t *testing.T) {
	f := newFleet(t)
	s := f.service(t)
	s.SetBundle(f.bundle("v1"))
	f.await(t, s, "v1")
	before := make([]int, engineCount)
	for i, e := range f.standins {
		before[i] = len(e.Orders())
	}
	var stop atomic.Bool
	var completed atomic.Int64
	errs := make(chan error, 4)
	for n := range cap(errs) {
		go func() { errs <- f.sendRequests(t.Context(), n*1000, &stop, &completed) }()
	}
	s.SetBundle(f.bundle("v2"))
	f.await(t, s, "v2")
	stop.Store(true)
	for range cap(errs) {
		if err := <-errs; err != nil {
			t.Errorf("an answer ended with %v", err)
		}
	}
	if completed.Load() == 0 {
		t.Error("no request was answered during the roll")
	}
	want := []ports.OrderKind{ports.OrderDrain, ports.OrderLoadVersion, ports.OrderLoadAdapter, ports.OrderResume}
	for i, e := range f.standins {
		var kinds []ports.OrderKind
		for _, o := range e.Orders()[before[i]:] {
			kinds = append(kinds, o.Kind)
		}
		if fmt.Sprint(kinds) != fmt.Sprint(want) {
			t.Errorf("engine %d got %v, want %v", i, kinds, want)
		}
		if e.Counts().Cancelled != 0 {
			t.Errorf("engine %d: %+v", i, e.Counts())
		}
	}
}
