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

// coreStandIn answers reports with a state, each after answers was read once.
func coreStandIn(t *testing.T, s *newest.State, answers <-chan struct{}) (id string) {
	t.Helper()
	return answering(t, func(ctx context.Context, _ *feed.Report) (feed.Update, error) {
		select {
		case <-answers:
		case <-ctx.Done():
			return feed.Update{}, ctx.Err()
		}
		return feed.Update{Head: s.Head(), ListAgeMillis: -1}, nil
	})
}

// answering is a core instance that answers reports by a function.
func answering(t *testing.T, answer func(context.Context, *feed.Report) (feed.Update, error)) (id string) {
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

// Symptom: after a loss of power of all, entry instances serve by different versions, and
// refuse each other's requests until there is a leader.
// Events: no core instance hears from a leader; what each of them kept differs; the one
// that answers first has the older state.
// Cause: the first answer ended the questions to the others.
func TestNewerStateOfALaterAnswerIsTaken(t *testing.T) {
	now, later := make(chan struct{}), make(chan struct{})
	close(now)
	old, newer := coreStandIn(t, state(1, 5), now), coreStandIn(t, state(3, 9), later)
	i := newInstance(t)
	i.o.Seeds, i.askOn = []string{newer, old}, time.Minute
	ctx, cancel := context.WithCancel(t.Context())
	defer func() {
		cancel()
		i.wg.Wait()
	}()
	i.begin(ctx)
	index := func() uint64 {
		i.mu.Lock()
		defer i.mu.Unlock()
		if i.known.head == nil {
			return 0
		}
		return i.known.head.Index
	}
	if got := index(); got != 1 {
		t.Fatalf("begins with state %d", got)
	}
	close(later)
	for end := time.Now().Add(20 * time.Second); index() != 3; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("state %d", index())
		}
	}
}

// Symptom: a thousand instances start and none is ready for a minute: three core instances
// are at the end of their processor and elect no leader.
// Events: all instances know the same three core instances and ask each of them again and
// again.
// Cause: each answer held all targets and all entry instances.
func TestBeginsWithProbes(t *testing.T) {
	var mu sync.Mutex
	var reports []feed.Report
	core := answering(t, func(_ context.Context, r *feed.Report) (feed.Update, error) {
		mu.Lock()
		defer mu.Unlock()
		reports = append(reports, *r)
		return feed.Update{Led: len(reports) == 3, ListAgeMillis: -1}, nil
	})
	i := newInstance(t)
	i.o.Seeds, i.askOn = []string{core}, 0
	i.begin(t.Context())
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
