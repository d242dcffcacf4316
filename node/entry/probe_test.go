package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/gullhaven/gullhaven/bundle/newest"
	"github.com/gullhaven/gullhaven/coord/link"
	"github.com/gullhaven/gullhaven/node/control"
	"github.com/gullhaven/gullhaven/node/feed"
)

// stubCore answers reports with a state, each after one value was read from answers.
func stubCore(t *testing.T, s *newest.State, answers <-chan struct{}) (id string) {
	t.Helper()
	return serveReports(t, func(ctx context.Context, _ *feed.Report) (feed.Update, error) {
		select {
		case <-answers:
		case <-ctx.Done():
			return feed.Update{}, ctx.Err()
		}
		return feed.Update{Head: s.Head(), ListAgeMillis: -1}, nil
	})
}

// serveReports starts a core instance that answers reports by a function, and returns its ID.
func serveReports(t *testing.T, answer func(context.Context, *feed.Report) (feed.Update, error)) (id string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	id = l.Addr().String()
	hub, err := link.New(link.Options{
		PlaintextID: id, Address: func(id string) (string, bool) { return id, true }, Rand: rand.New(rand.NewPCG(1, 2)),
	})
	if err != nil {
		t.Fatal(err)
	}
	hub.Serve(control.ChannelReport, 4, func(ctx context.Context, _ string, payload []byte) ([]byte, error) {
		var r feed.Report
		if err := cbor.Unmarshal(payload, &r); err != nil {
			return nil, err
		}
		u, err := answer(ctx, &r)
		if err != nil {
			return nil, err
		}
		return cbor.Marshal(u)
	})
	server := &http.Server{Handler: hub.Handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { hub.Close(); _ = server.Close() })
	return id
}

// Guards against entry instances that, after a power loss of all, serve different versions and
// refuse each other's requests until there is a leader: no core instance has a leader, each has
// kept another state, and the first answer, with an older one, ends the probes of the others.
func TestNewerStateOfLaterAnswerIsUsed(t *testing.T) {
	now, later := make(chan struct{}), make(chan struct{})
	close(now)
	old, newer := stubCore(t, state(1, 5), now), stubCore(t, state(3, 9), later)
	i := newInstance(t)
	i.o.Seeds, i.startupProbeTime = []string{newer, old}, time.Minute
	ctx, cancel := context.WithCancel(t.Context())
	defer func() {
		cancel()
		i.wg.Wait()
	}()
	i.probeCores(ctx)
	index := func() uint64 {
		i.mu.Lock()
		defer i.mu.Unlock()
		if i.known.head == nil {
			return 0
		}
		return i.known.head.Index
	}
	if got := index(); got != 1 {
		t.Fatalf("first state is %d", got)
	}
	close(later)
	for end := time.Now().Add(20 * time.Second); index() != 3; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("state %d", index())
		}
	}
}

// Guards against a thousand starting instances of which none is ready for a minute: all know the
// same three core instances and ask them repeatedly, each answer holds all targets and all entry
// instances, and the core instances run out of processor time and elect no leader.
func TestStartsWithProbes(t *testing.T) {
	var mu sync.Mutex
	var reports []feed.Report
	core := serveReports(t, func(_ context.Context, r *feed.Report) (feed.Update, error) {
		mu.Lock()
		defer mu.Unlock()
		reports = append(reports, *r)
		return feed.Update{HasLeader: len(reports) == 3, ListAgeMillis: -1}, nil
	})
	i := newInstance(t)
	i.o.Seeds, i.startupProbeTime = []string{core}, 0
	i.probeCores(t.Context())
	i.wg.Wait()
	if len(reports) != 3 {
		t.Errorf("%d reports", len(reports))
	}
	for _, r := range reports {
		if !r.Probe || r.WaitMillis == 0 {
			t.Errorf("report %+v", r)
		}
	}
}
