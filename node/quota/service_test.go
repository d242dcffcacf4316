package quota_test

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/bundle/routes"
	"github.com/gullhaven/gullhaven/coord/link"
	"github.com/gullhaven/gullhaven/node/quota"
	"github.com/gullhaven/gullhaven/pipeline/exchange"
)

// instance is one entry instance of region p.
type instance struct {
	id     string
	s      *quota.Service
	hub    *link.Hub
	server *http.Server
}

func (i *instance) stop() {
	i.hub.Close()
	_ = i.server.Close()
}

// listen starts a hub and its server, and returns its ID.
func listen(t *testing.T) (string, *link.Hub, *http.Server) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	id := l.Addr().String()
	hub, err := link.New(link.Options{
		PlaintextID: id, Address: func(id string) (string, bool) { return id, true }, UrgentChannels: quota.Channels(),
		Rand: rand.New(rand.NewPCG(1, uint64(l.Addr().(*net.TCPAddr).Port))),
	})
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: hub.Handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { hub.Close(); _ = server.Close() })
	return id, hub, server
}

var regions = []string{"p", "q", "r"}

// leader starts a core instance that divides limits, and returns its ID.
func leader(t *testing.T) string {
	t.Helper()
	id, hub, _ := listen(t)
	var mu sync.Mutex
	d := quota.NewDivider(time.Unix(0, 0), 1, regions, nil)
	hub.Serve(quota.ChannelReport, 4, func(_ context.Context, from string, payload []byte) ([]byte, error) {
		var r quota.Report
		if err := cbor.Unmarshal(payload, &r); err != nil {
			return nil, err
		}
		mu.Lock()
		defer mu.Unlock()
		return cbor.Marshal(d.Report(time.Now(), from, &r))
	})
	return id
}

// start starts n instances that know each other. The limit allows a burst of 60 and almost no rate,
// so a region's floor burst is a third of half of that.
func start(t *testing.T, n int) []*instance {
	t.Helper()
	core := leader(t)
	var all []*instance
	for range n {
		i := &instance{}
		i.id, i.hub, i.server = listen(t)
		i.s = quota.New(quota.Options{
			Self: i.id, Region: "p", Regions: len(regions), Hub: i.hub, Core: func() string { return core }, Log: zap.NewNop(),
		})
		all = append(all, i)
	}
	setViews(all, table(limited))
	return all
}

const floorBurst = 10

var limited = routes.Workspace{Name: "w", Keys: []routes.KeyDigest{routes.DigestKey("k")}, Limit: routes.RateLimit{Rate: 1e-9, Burst: 6 * floorBurst}}

func table(list ...routes.Workspace) *routes.Index {
	return routes.NewIndex(&routes.Table{Version: 1, Keyed: true, Workspaces: list})
}

func setViews(all []*instance, x *routes.Index) {
	var ids []string
	for _, i := range all {
		ids = append(ids, i.id)
	}
	for _, i := range all {
		i.s.SetView(x, ids, len(ids))
	}
}

// consume sends requests to all instances in turn. It returns how many passed and which instance
// decided on the last refused one.
func consume(all []*instance, requests int) (passed int, by string) {
	for n := range requests {
		a := all[n%len(all)].s.Consume(context.Background(), &limited, 1)
		if a.Allowed {
			passed++
		} else {
			by = a.DecidedBy
		}
	}
	return passed, by
}

// startReports lets the first share of an instance arrive, so that no request waits for it.
func startReports(t *testing.T, all []*instance) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, i := range all {
		wg.Go(func() { i.s.Run(ctx) })
	}
	t.Cleanup(func() { cancel(); wg.Wait() })
}

// Guards against a limit that each instance of a region allows separately.
func TestOneInstanceOwnsAWorkspace(t *testing.T) {
	all := start(t, 4)
	startReports(t, all)
	passed, by := consume(all, 4*floorBurst)
	if passed < floorBurst || passed > floorBurst+1 {
		t.Errorf("%d of %d requests passed, %d are allowed", passed, 4*floorBurst, floorBurst)
	}
	if by == "" {
		t.Error("the last refusal does not name the owner of the workspace")
	}
}

// Guards against a workspace whose requests are all refused, or all allowed, after its owner ended.
func TestNextOwnerTakesOver(t *testing.T) {
	all := start(t, 3)
	startReports(t, all)
	_, by := consume(all, 4*floorBurst)
	var left []*instance
	for _, i := range all {
		if i.id == by {
			i.stop()
		} else {
			left = append(left, i)
		}
	}
	passed, next := consume(left, 4*floorBurst)
	if passed < floorBurst || passed > floorBurst+1 || next == by {
		t.Errorf("%d requests passed, the next owner allows a burst of %d; called %q after %q", passed, floorBurst, next, by)
	}
}

// Guards against units lost for requests that were rejected later.
func TestUnitsAreRefundedAtTheOwner(t *testing.T) {
	all := start(t, 2)
	startReports(t, all)
	_, by := consume(all, 3*floorBurst)
	for _, i := range all {
		i.s.Refund(&limited, 3, exchange.LimitDecision{Allowed: true, DecidedBy: by})
	}
	// A message to the other instance takes a moment.
	deadline := time.Now().Add(20 * time.Second)
	for passed := 0; passed < 5; {
		n, _ := consume(all, 2)
		passed += n
		if time.Now().After(deadline) {
			t.Fatalf("%d of 6 units were refunded", passed)
		}
	}
}

// Guards against an instance that allows all requests, or none, when it reaches no other.
func TestIsolatedInstanceAllowsAPart(t *testing.T) {
	all := start(t, 3)
	for _, i := range all[1:] {
		i.stop()
	}
	var others []string
	for _, i := range all[1:] {
		others = append(others, i.id)
	}
	all[0].s.SetView(table(limited), others, 60)
	passed, by := consume(all[:1], 4*floorBurst)
	if passed != 1 || by != "" {
		t.Errorf("%d requests passed, decided by %q", passed, by)
	}
}

// Guards against a refusal because the owner has an older configuration without the workspace.
func TestOwnerWithOlderConfigurationIsBypassed(t *testing.T) {
	all := start(t, 2)
	startReports(t, all)
	_, by := consume(all, 4*floorBurst)
	lags, other := all[0], all[1]
	if lags.id != by {
		lags, other = other, lags
	}
	lags.s.SetView(table(), []string{lags.id, other.id}, 60)
	if a := other.s.Consume(context.Background(), &limited, 0.01); !a.Allowed || a.DecidedBy == by {
		t.Errorf("%+v", a)
	}
}

// Guards against a refusal for a limit that was just removed.
func TestRequestOfAWorkspaceThatLosesItsLimitPasses(t *testing.T) {
	all := start(t, 1)
	free := limited
	free.Limit = routes.RateLimit{}
	setViews(all, table(free))
	if a := all[0].s.Consume(context.Background(), &limited, 1); !a.Allowed {
		t.Errorf("refused: %+v", a)
	}
}

// Guards against a second call to an owner that has just said that it knows no such limit, while
// the caller waits.
func TestOwnerWithoutTheLimitIsCalledOnce(t *testing.T) {
	core := leader(t)
	i := &instance{}
	i.id, i.hub, i.server = listen(t)
	i.s = quota.New(quota.Options{
		Self: i.id, Region: "p", Regions: len(regions), Hub: i.hub, Core: func() string { return core }, Log: zap.NewNop(),
	})
	owner, hub, _ := listen(t)
	var calls atomic.Int64
	hub.Serve(quota.Channels()[0], 4, func(context.Context, string, []byte) ([]byte, error) {
		calls.Add(1)
		return cbor.Marshal(quota.ConsumeResponse{UnknownLimit: true})
	})
	i.s.SetView(table(limited), []string{owner}, 2)
	for before := int64(0); calls.Load() == 0; before = calls.Load() {
		i.s.Consume(context.Background(), &limited, 1)
		if n := calls.Load() - before; n > 1 {
			t.Fatalf("%d calls", n)
		}
	}
}
