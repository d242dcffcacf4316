package pipeline

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gullhaven/gullhaven/coord/claim"
	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/ports"
	"github.com/gullhaven/gullhaven/route"
)

// spillingDecider spills every request to one region.
type spillingDecider struct {
	route.Decider
	region string
}

func (s spillingDecider) Decide(_ time.Time, _ *route.Request) route.Decision {
	return route.Decision{Action: route.Spill, Region: s.region}
}

// localForwarder forwards to handlers in this process, as one instance.
type localForwarder struct {
	name     string
	handlers map[string]http.Handler
	sent     int
}

func (p *localForwarder) Forward(ctx context.Context, f ports.ForwardRequest) (*ports.PlainAnswer, error) {
	p.sent++
	req := httptest.NewRequestWithContext(ctx, f.Method, f.Target, f.Body)
	req.Header = f.Header
	req.Header.Set("Test-Peer", p.name)
	w := httptest.NewRecorder()
	to := f.Region
	if f.Instance != "" {
		to = f.Instance
	}
	p.handlers[to].ServeHTTP(w, req)
	resp := w.Result()
	return &ports.PlainAnswer{Status: resp.StatusCode, Header: resp.Header, Body: resp.Body}, nil
}

func peerName(r *http.Request) string { return r.Header.Get("Test-Peer") }

// Guards against a request that is forwarded between two regions until its
// deadline: each spills to the other, and the hop header is written but not
// checked.
func TestTwoRegionsThatSpillToEachOther(t *testing.T) {
	out := &localForwarder{name: "malang-1", handlers: map[string]http.Handler{}}
	back := &localForwarder{name: "denpasar-1", handlers: map[string]http.Handler{}}
	jatim := newRig(t, withDeps(func(d *Deps) {
		d.Decider, d.Forwarder = spillingDecider{d.Decider, "bali"}, out
	}))
	bali := newRig(t, withDeps(func(d *Deps) {
		d.Instance, d.Region = claim.Instance{ID: "denpasar-1"}, "bali"
		d.Decider, d.Forwarder = spillingDecider{d.Decider, "jatim"}, back
	}))
	out.handlers["bali"] = bali.p.PeerHandler(KindChat, peerName)
	back.handlers["jatim"] = jatim.p.PeerHandler(KindChat, peerName)
	got := readRefusal(t, jatim.do(call{body: chat("p", true, 4)}))
	if got.Verdict != verdict.NotRun || out.sent == 0 || back.sent != 0 {
		t.Fatalf("%+v; %d there, %d back", got, out.sent, back.sent)
	}
}

// Guards against trusting the sender's hops: a request arrives with hops that no
// correct instance sends, or a caller forges them.
func TestHopsAreCheckedOnArrival(t *testing.T) {
	r := newRig(t)
	for _, c := range []struct {
		name, peer, hops string
		code             verdict.Code
	}{
		{"from a caller", "", "malang-2@jatim", CodeHopNotAllowed},
		{"none from a peer", "malang-2", "", CodeHopNotAllowed},
		{"malformed", "malang-2", "malang-2", CodeHopNotAllowed},
		{"of another sender", "malang-2", "malang-3@jatim", CodeHopNotAllowed},
		{"was here", "denpasar-1", "malang-1@jatim, denpasar-1@bali", CodeLoop},
		{"crosses back", "denpasar-1", "malang-2@jatim, denpasar-1@bali", CodeLoop},
		{"second step", "malang-3", "malang-2@jatim, malang-3@jatim", CodeLoop},
		{"one crossing", "denpasar-1", "denpasar-1@bali", ""},
		{"step, crossing", "denpasar-1", "denpasar-2@bali, denpasar-1@bali", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			req := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(chat("p", false, 2)))
			req.Header.Set("Authorization", "Bearer "+testKey)
			if c.hops != "" {
				req.Header.Set(HeaderHop, c.hops)
			}
			w := httptest.NewRecorder()
			h := r.p.Handler(KindChat)
			if c.peer != "" {
				req.Header.Set("Test-Peer", c.peer)
				h = r.p.PeerHandler(KindChat, peerName)
			}
			h.ServeHTTP(w, req)
			resp := w.Result()
			if c.code == "" {
				if resp.StatusCode != http.StatusOK {
					t.Fatalf("status %d: %s", resp.StatusCode, w.Body)
				}
				return
			}
			if got := readRefusal(t, resp); got.Code != c.code || got.Verdict != verdict.NotRun {
				t.Fatalf("%+v", got)
			}
		})
	}
}

// Guards against a spilled answer that broke off but looks whole, or whose
// verdict is lost, because the other instance's bytes are copied without checking
// how they end.
func TestSpilledAnswers(t *testing.T) {
	out := &localForwarder{name: "malang-1", handlers: map[string]http.Handler{}}
	jatim := newRig(t, withDeps(func(d *Deps) { d.Decider, d.Forwarder = spillingDecider{d.Decider, "bali"}, out }))
	bali := newRig(t)
	for _, c := range []struct {
		name   string
		stream bool
		from   func(w http.ResponseWriter, r *http.Request)
		check  func(*testing.T, *http.Response)
	}{
		{"whole", false, bali.peerHandlerAs(), func(t *testing.T, resp *http.Response) {
			if resp.StatusCode != http.StatusOK {
				t.Fatalf("status %d", resp.StatusCode)
			}
		}},
		{"streamed", true, bali.peerHandlerAs(), func(t *testing.T, resp *http.Response) {
			if got := readStream(t, resp.Body); !got.ended || got.text != answerTo("p", 4) {
				t.Fatalf("%+v", got)
			}
		}},
		{"cut", true, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", ports.ContentTypeEvents)
			_, _ = w.Write([]byte("data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n"))
		}, func(t *testing.T, resp *http.Response) {
			if got := readStream(t, resp.Body); got.ended || got.err == nil || got.err.Verdict != verdict.Ran {
				t.Fatalf("%+v", got)
			}
		}},
		{"may have run there", true, func(w http.ResponseWriter, _ *http.Request) {
			WriteRefusal(w, verdict.New(verdict.MayHaveRun, ports.CodeStreamCut, "broke"))
		}, func(t *testing.T, resp *http.Response) {
			if got := readRefusal(t, resp); got.Verdict != verdict.MayHaveRun {
				t.Fatalf("%+v", got)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			out.handlers["bali"] = http.HandlerFunc(c.from)
			c.check(t, jatim.do(call{body: chat("p", c.stream, 4)}))
		})
	}
}

// peerHandlerAs serves forwarded requests as an instance of its own.
func (r *rig) peerHandlerAs() func(http.ResponseWriter, *http.Request) {
	r.deps.Instance = claim.Instance{ID: "denpasar-1"}
	p := New(r.deps)
	p.SetView(r.p.View())
	return p.PeerHandler(KindChat, peerName).ServeHTTP
}

// spillFirstDecider spills requests that were not forwarded, and leaves the others
// to its Decider.
type spillFirstDecider struct{ spillingDecider }

func (s spillFirstDecider) Decide(now time.Time, q *route.Request) route.Decision {
	if q.Forwarded {
		return s.Decider.Decide(now, q)
	}
	return s.spillingDecider.Decide(now, q)
}

// outcomeObserver sends the outcomes to a channel.
type outcomeObserver struct{ outcomes chan Outcome }

func (l outcomeObserver) Observe(o Outcome) { l.outcomes <- o }

// Guards against counting a request as spilled that was answered in its own
// region, after the other region had refused it unrun.
func TestFailedSpillIsNotCountedAsSpilled(t *testing.T) {
	out := &localForwarder{name: "malang-1", handlers: map[string]http.Handler{}}
	observed := outcomeObserver{outcomes: make(chan Outcome, 1)}
	jatim := newRig(t, withDeps(func(d *Deps) {
		d.Decider, d.Forwarder, d.Observer = spillFirstDecider{spillingDecider{d.Decider, "bali"}}, out, observed
	}))
	out.handlers["bali"] = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		WriteRefusal(w, verdict.New(verdict.NotRun, CodeOverloaded, "full"))
	})
	resp := jatim.do(call{body: chat("p", false, 4)})
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("status %d", resp.StatusCode)
	}
	if o := <-observed.outcomes; o.SpillRegion != "" || o.Target == "" || o.Code != "" {
		t.Fatalf("%+v", o)
	}
}
