package quota_test

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
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

// listen makes a hub with a server.
func listen(t *testing.T) (string, *link.Hub, *http.Server) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	id := l.Addr().String()
	hub, err := link.New(link.Options{
		Plain: id, Address: func(id string) (string, bool) { return id, true }, Urgent: quota.Channels(),
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

// leader is a core instance that divides limits.
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

// start starts n instances that know each other, with a limit that lets pass a burst of 60 and
// next to nothing after it: of that each region is lent a third of the half.
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
	know(all, table(limited))
	return all
}

const lent = 10

var limited = routes.Workspace{Name: "w", Keys: []routes.KeyDigest{routes.DigestKey("k")}, Limit: routes.RateLimit{Rate: 1e-9, Burst: 6 * lent}}

func table(list ...routes.Workspace) *routes.Index {
	return routes.NewIndex(&routes.Table{Version: 1, Keyed: true, Workspaces: list})
}

func know(all []*instance, x *routes.Index) {
	var ids []string
	for _, i := range all {
		ids = append(ids, i.id)
	}
	for _, i := range all {
		i.s.SetView(x, ids, len(ids))
	}
}

// passes asks all instances in turn, and returns how many of the requests passed, and who was
// asked last.
func passes(all []*instance, requests int) (passed int, by string) {
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

// run has an instance's first share come, so that no request waits for it.
func run(t *testing.T, all []*instance) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, i := range all {
		wg.Go(func() { i.s.Run(ctx) })
	}
	t.Cleanup(func() { cancel(); wg.Wait() })
}

// Guards against a limit that each instance of a region spends by itself.
func TestOneInstanceStandsForAWorkspace(t *testing.T) {
	all := start(t, 4)
	run(t, all)
	passed, by := passes(all, 4*lent)
	if passed < lent || passed > lent+1 {
		t.Errorf("%d of %d requests passed, %d are allowed", passed, 4*lent, lent)
	}
	if by == "" {
		t.Error("the last refusal does not tell who stands for the workspace")
	}
}

// Guards against a workspace that is shut out because the instance that stood for it ended,
// and against one that is let pass without bound then.
func TestAnotherInstanceStandsInForOneThatEnds(t *testing.T) {
	all := start(t, 3)
	run(t, all)
	_, by := passes(all, 4*lent)
	var left []*instance
	for _, i := range all {
		if i.id == by {
			i.stop()
		} else {
			left = append(left, i)
		}
	}
	passed, next := passes(left, 4*lent)
	if passed < lent || passed > lent+1 || next == by {
		t.Errorf("%d requests passed, %d are lent to the next one; asked %q after %q", passed, lent, next, by)
	}
}

// Guards against units lost for requests that were turned away later.
func TestUnitsOfOtherInstancesAreGivenBack(t *testing.T) {
	all := start(t, 2)
	run(t, all)
	_, by := passes(all, 3*lent)
	for _, i := range all {
		i.s.Refund(&limited, 3, exchange.LimitDecision{Allowed: true, DecidedBy: by})
	}
	// A message to the other instance takes a moment.
	deadline := time.Now().Add(20 * time.Second)
	for passed := 0; passed < 5; {
		n, _ := passes(all, 2)
		passed += n
		if time.Now().After(deadline) {
			t.Fatalf("%d of 6 units came back", passed)
		}
	}
}

// Guards against an instance that lets all pass, or none, once it reaches no other.
func TestInstanceAloneLetsPassAPart(t *testing.T) {
	all := start(t, 3)
	for _, i := range all[1:] {
		i.stop()
	}
	var others []string
	for _, i := range all[1:] {
		others = append(others, i.id)
	}
	all[0].s.SetView(table(limited), others, 60)
	passed, by := passes(all[:1], 4*lent)
	if passed != 1 || by != "" {
		t.Errorf("%d requests passed, asked %q", passed, by)
	}
}

// Guards against a workspace that an instance with an older configuration does not know.
func TestHolderThatLagsIsDoneWithout(t *testing.T) {
	all := start(t, 2)
	run(t, all)
	_, by := passes(all, 4*lent)
	lags, other := all[0], all[1]
	if lags.id != by {
		lags, other = other, lags
	}
	lags.s.SetView(table(), []string{lags.id, other.id}, 60)
	if a := other.s.Consume(context.Background(), &limited, 0.01); !a.Allowed || a.DecidedBy == by {
		t.Errorf("%+v", a)
	}
}

// Guards against a workspace that is refused for a limit which has just been taken away.
func TestRequestOfAWorkspaceThatLosesItsLimitPasses(t *testing.T) {
	all := start(t, 1)
	free := limited
	free.Limit = routes.RateLimit{}
	know(all, table(free))
	if a := all[0].s.Consume(context.Background(), &limited, 1); !a.Allowed {
		t.Errorf("refused: %+v", a)
	}
}
