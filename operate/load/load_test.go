package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/standin"
)

// atOnce is a host whose sleeps end at once; a closed context still ends them.
var atOnce = Env{Now: time.Now, Sleep: func(ctx context.Context, _ time.Duration) error { return ctx.Err() }}

// fakeGateway has a directory that lists given addresses, and passes the rest on.
type fakeGateway struct {
	list func() []string
	next http.Handler
}

func (g *fakeGateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/directory" {
		g.next.ServeHTTP(w, r)
		return
	}
	l := listing{TTLMillis: 60_000}
	for i, address := range g.list() {
		l.Instances = append(l.Instances, entry{Instance: fmt.Sprint("i-", i), URL: "http://" + address, Weight: 1})
	}
	_ = json.NewEncoder(w).Encode(l)
}

// serve starts an instance that lists itself and others.
func serve(t *testing.T, h http.Handler, others ...string) string {
	t.Helper()
	var self string
	s := httptest.NewServer(&fakeGateway{list: func() []string { return append([]string{self}, others...) }, next: h})
	t.Cleanup(s.Close)
	self = hostOf(s.URL)
	return self
}

func listen(t *testing.T, h http.Handler) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return hostOf(s.URL)
}

func modelConfig(to string) Config {
	return Config{
		To: []string{to}, Keys: []string{"k"}, Model: "m", Callers: 3, Rate: 60, Duration: time.Second,
		Concurrency: 256, Tokens: 8, PromptTokens: 20, SharedPrefix: 10, Seed: 7,
	}
}

func plainConfig(to string) Config {
	c := modelConfig(to)
	c.Model, c.Plain, c.ResendShare = "", "desk", 1
	return c
}

// arrivals is how many requests of a side a configuration makes.
func arrivals(c Config) (n int64) {
	p := NewPlan(&c)
	for r, more := p.Next(); more; r, more = p.Next() {
		if r.Dest == ToGateway {
			n++
		}
	}
	return n
}

func mustRun(t *testing.T, c Config) *Report {
	t.Helper()
	r, err := Run(t.Context(), c, atOnce)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// refusal answers with a refusal; retryAfter is the header, if any.
func refusal(status int, code string, v verdict.Verdict, retryAfter string, retryMillis int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerVerdict, v.String())
		if retryAfter != "" {
			w.Header().Set(headerRetryAfter, retryAfter)
		}
		w.WriteHeader(status)
		_, _ = fmt.Fprintf(w, `{"error":{"code":%q,"verdict":%q,"message":"m","retry_after_ms":%d}}`, code, v, retryMillis)
	}
}

// keptVerdict writes an answer whose header says "ran".
type keptVerdict struct{ http.ResponseWriter }

func (k *keptVerdict) WriteHeader(status int) {
	k.Header().Set(headerVerdict, verdict.Ran.String())
	k.ResponseWriter.WriteHeader(status)
}

const streamCut = "event: error\ndata: {\"error\":{\"code\":\"stream_cut\",\"verdict\":\"ran\",\"message\":\"m\"}}\n\n"

// cutWithEvent passes two chunks of the engine on, then an error event.
func cutWithEvent(e http.Handler) http.HandlerFunc { return twoChunks(e, streamCut) }

// twoChunks passes two chunks of the engine on, then a last event.
func twoChunks(e http.Handler, last string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		rec := httptest.NewRecorder()
		e.ServeHTTP(rec, r)
		for _, event := range bytes.SplitAfter(rec.Body.Bytes(), []byte("\n\n"))[:2] {
			_, _ = w.Write(event)
		}
		_, _ = w.Write([]byte(last))
	}
}

// anothers answers a prompt with the answer to another one of its length.
func anothers(e http.Handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var body bytes.Buffer
		_, _ = body.ReadFrom(r.Body)
		r.Body = io.NopCloser(strings.NewReader(strings.Replace(body.String(), "request", "REQUEST", 1)))
		e.ServeHTTP(w, r)
	}
}

// Symptom: a run is called clean though answers were short, another's or
// without an end mark, or though refusals broke their promise.
func TestEachEndIsCountedAsWhatItIs(t *testing.T) {
	engine := func(f ...standin.Fault) http.Handler {
		e := standin.NewEngine(standin.EngineConfig{Slots: 256})
		e.SetFaults(f...)
		return e
	}
	for _, c := range []struct {
		name   string
		h      http.Handler
		want   func(*DestReport) int64
		code   string
		faulty bool
	}{
		{"whole", engine(), func(s *DestReport) int64 { return s.Answered }, "", false},
		{"short", engine(standin.Fault{Kind: standin.FaultShort, Chunk: 3}), func(s *DestReport) int64 { return s.Unmarked }, "", true},
		{"gap", engine(standin.Fault{Kind: standin.FaultGap, Chunk: 3}), func(s *DestReport) int64 { return s.Wrong }, "", true},
		{"duplicate", engine(standin.Fault{Kind: standin.FaultDuplicate, Chunk: 1}), func(s *DestReport) int64 { return s.Wrong }, "", true},
		{"foreign", engine(standin.Fault{Kind: standin.FaultForeign, Chunk: 2}), func(s *DestReport) int64 { return s.Wrong }, "", true},
		{"cut", engine(standin.Fault{Kind: standin.FaultCut, Chunk: 2}), func(s *DestReport) int64 { return s.Broken }, "", false},
		{"error event", cutWithEvent(engine()), func(s *DestReport) int64 { return s.CutWithEvent }, "stream_cut ran", false},
		{"refused", refusal(503, "no_target", verdict.NotRun, "1", 500), func(s *DestReport) int64 { return s.Refused }, "no_target not_run", false},
		{"another's answer", anothers(engine()), func(s *DestReport) int64 { return s.Wrong }, "", true},
		{"another's answer, cut", cutWithEvent(anothers(engine())), func(s *DestReport) int64 { return s.Wrong }, "stream_cut ran", true},
		{"marked whole too early", twoChunks(engine(), "data: [DONE]\n\n"), func(s *DestReport) int64 { return s.Wrong }, "", true},
		{"goes on after its end", twoChunks(engine(), "data: [DONE]\n\ndata: [DONE]\n\n"), func(s *DestReport) int64 { return s.Wrong }, "", true},
		{"error event, then the mark", twoChunks(engine(), streamCut+"data: [DONE]\n\n"), func(s *DestReport) int64 { return s.Wrong }, "stream_cut ran", true},
		{"without header", refusal(503, "no_target", verdict.NotRun, "", 500), func(s *DestReport) int64 { return s.BadRefusal }, "no_target not_run", true},
		{"come back at once", refusal(429, "no_target", verdict.NotRun, "0", 500), func(s *DestReport) int64 { return s.BadRefusal }, "no_target not_run", true},
		{"without retry_after_ms", refusal(503, "no_target", verdict.NotRun, "1", 0), func(s *DestReport) int64 { return s.BadRefusal }, "no_target not_run", true},
		{"two verdicts", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			refusal(503, "no_target", verdict.NotRun, "1", 500)(&keptVerdict{w}, r)
		}), func(s *DestReport) int64 { return s.BadRefusal }, "no_target not_run", true},
		{"untyped", http.NotFoundHandler(), func(s *DestReport) int64 { return s.BadRefusal }, "", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			cfg := modelConfig(serve(t, c.h))
			r := mustRun(t, cfg)
			n := arrivals(cfg)
			if n == 0 || c.want(&r.Gateway) != n || r.Gateway.Sent != n || (r.Faults() > 0) != c.faulty {
				t.Fatalf("of %d: %+v, notes %q", n, r.Gateway, r.Notes)
			}
			if c.code != "" && (len(r.Gateway.Codes) != 1 || r.Gateway.Codes[0] != CodeCount{c.code, n}) {
				t.Fatalf("codes %+v", r.Gateway.Codes)
			}
		})
	}
}

// Symptom: a caller goes on asking an instance that has died.
// Events: the directory still lists it.
func TestCallersMoveOnFromAnInstanceThatTakesNoConnection(t *testing.T) {
	dead := httptest.NewServer(nil)
	dead.Close()
	cfg := modelConfig(serve(t, standin.NewEngine(standin.EngineConfig{Slots: 256}), hostOf(dead.URL)))
	cfg.Concurrency = 1
	cfg.Rate = 20
	r := mustRun(t, cfg)
	if r.Gateway.Answered+r.Gateway.Unsent != arrivals(cfg) || r.Gateway.Answered == 0 || r.Gateway.Failovers > int64(cfg.Callers) {
		t.Fatalf("%+v", r.Gateway)
	}
}

func TestBaselineGetsTheSameLoad(t *testing.T) {
	var straight atomic.Int64
	e := standin.NewEngine(standin.EngineConfig{Slots: 512})
	cfg := modelConfig(serve(t, e))
	cfg.Baseline = listen(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { straight.Add(1); e.ServeHTTP(w, r) }))
	r := mustRun(t, cfg)
	if r.Baseline == nil || r.Baseline.Answered != straight.Load() || straight.Load() == 0 || r.Gateway.Answered != arrivals(cfg) || r.Overhead == nil {
		t.Fatalf("%+v", r)
	}
}

// gatewayOnce is a correct at-most-once gateway before one target: it keeps the
// first answer of a key.
type gatewayOnce struct {
	target http.Handler
	gate   chan map[string]*httptest.ResponseRecorder
}

func newGatewayOnce(target http.Handler) *gatewayOnce {
	g := &gatewayOnce{target: target, gate: make(chan map[string]*httptest.ResponseRecorder, 1)}
	g.gate <- map[string]*httptest.ResponseRecorder{}
	return g
}

func (g *gatewayOnce) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kept := <-g.gate
	rec := kept[r.Header.Get(headerKey)]
	if rec == nil {
		rec = httptest.NewRecorder()
		http.StripPrefix("/services/desk", g.target).ServeHTTP(rec, r)
		kept[r.Header.Get(headerKey)] = rec
	}
	g.gate <- kept
	_, _ = w.Write(rec.Body.Bytes())
}

// Symptom: a booking is made twice and the run is called clean.
// Events: a gateway passes resends on; or answers "not run" for what ran; or
// sends to two targets, each of which runs the key once.
func TestDoubledRunsAndWrongVerdictsAreSeen(t *testing.T) {
	strip := func(h http.Handler) http.Handler { return http.StripPrefix("/services/desk", h) }
	for _, c := range []struct {
		name                 string
		gateway              func(plain, other http.Handler) http.Handler
		audit, doubled, lied bool
	}{
		{"correct", func(p, _ http.Handler) http.Handler { return newGatewayOnce(p) }, true, false, false},
		{"passes resends on", func(p, _ http.Handler) http.Handler { return strip(p) }, false, true, false},
		{"two targets, hidden", func(p, o http.Handler) http.Handler {
			once := newGatewayOnce(p)
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get(headerResend) == "true" {
					strip(o).ServeHTTP(httptest.NewRecorder(), r.Clone(r.Context()))
				}
				once.ServeHTTP(w, r)
			})
		}, true, true, false},
		{"two targets, answered", func(p, o http.Handler) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				target := p
				if r.Header.Get(headerResend) == "true" {
					target = o
				}
				strip(target).ServeHTTP(w, r)
			})
		}, false, true, false},
		{"says not run after an answer", func(p, _ http.Handler) http.Handler {
			once := newGatewayOnce(p)
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get(headerResend) == "true" {
					refusal(503, "no_target", verdict.NotRun, "1", 500)(w, r)
					return
				}
				once.ServeHTTP(w, r)
			})
		}, false, false, true},
		{"says not run", func(p, _ http.Handler) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get(headerResend) == "false" {
					strip(p).ServeHTTP(httptest.NewRecorder(), r)
				}
				refusal(503, "no_target", verdict.NotRun, "1", 500)(w, r)
			})
		}, true, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			plain, other := standin.NewPlain("one"), standin.NewPlain("two")
			cfg := plainConfig(serve(t, c.gateway(plain, other)))
			if c.audit {
				cfg.Audit = []string{listen(t, plain), listen(t, other)}
			}
			r := mustRun(t, cfg)
			if r.AtMostOnce.Keys != arrivals(cfg) || r.AtMostOnce.Audited != c.audit || r.Gateway.Resends != r.AtMostOnce.Keys {
				t.Fatalf("%+v, %+v", r.AtMostOnce, r.Gateway)
			}
			if (r.AtMostOnce.DuplicateRuns > 0) != c.doubled || (r.AtMostOnce.WrongVerdicts > 0) != c.lied || (r.Faults() > 0) != (c.doubled || c.lied) {
				t.Fatalf("%+v, notes %q", r.AtMostOnce, r.Notes)
			}
		})
	}
}

// Symptom: a caller that lost an answer never learns what became of it.
// Events: the gateway runs the request; the connection breaks, or the instance
// says that it may have run.
func TestAnUnknownEndIsSettledByAResend(t *testing.T) {
	for name, lose := range map[string]http.HandlerFunc{
		"broken":       func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"may have run": refusal(502, "target_error", verdict.MayHaveRun, "", 0),
	} {
		t.Run(name, func(t *testing.T) {
			plain := standin.NewPlain("one")
			once := newGatewayOnce(plain)
			cfg := plainConfig(serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get(headerResend) == "false" {
					once.ServeHTTP(httptest.NewRecorder(), r)
					lose(w, r)
					return
				}
				once.ServeHTTP(w, r)
			})))
			cfg.ResendShare = 0
			cfg.Audit = []string{listen(t, plain)}
			r := mustRun(t, cfg)
			n := arrivals(cfg)
			if r.Gateway.Broken+r.Gateway.Refused != n || r.Gateway.Resends != n || r.AtMostOnce.Answered != n || r.Faults() != 0 {
				t.Fatalf("%+v, %+v, notes %q", r.Gateway, r.AtMostOnce, r.Notes)
			}
		})
	}
}
