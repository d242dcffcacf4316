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

// noSleep is an environment whose Sleep returns immediately, with the error of a
// context that has ended.
var noSleep = Env{Now: time.Now, Sleep: func(ctx context.Context, _ time.Duration) error { return ctx.Err() }}

// fakeGateway serves a directory of the given addresses and forwards the rest.
type fakeGateway struct {
	list func() []string
	next http.Handler
}

func (g *fakeGateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/directory" {
		g.next.ServeHTTP(w, r)
		return
	}
	l := directoryAnswer{TTLMillis: 60_000}
	for i, address := range g.list() {
		l.Instances = append(l.Instances, entry{Instance: fmt.Sprint("i-", i), URL: "http://" + address, Weight: 1})
	}
	_ = json.NewEncoder(w).Encode(l)
}

// serveInstance starts an instance that lists itself and others.
func serveInstance(t *testing.T, h http.Handler, others ...string) string {
	t.Helper()
	var self string
	s := httptest.NewServer(&fakeGateway{list: func() []string { return append([]string{self}, others...) }, next: h})
	t.Cleanup(s.Close)
	self = addressOf(s.URL)
	return self
}

func listen(t *testing.T, h http.Handler) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return addressOf(s.URL)
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

// arrivals counts the requests to the gateway that a configuration makes.
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
	r, err := Run(t.Context(), c, noSleep)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// refusal answers with a refusal; retryAfter is the header's value, or "" for none.
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

// ranVerdictWriter sets the verdict header to "ran" whatever the handler set.
type ranVerdictWriter struct{ http.ResponseWriter }

func (k *ranVerdictWriter) WriteHeader(status int) {
	k.Header().Set(headerVerdict, verdict.Ran.String())
	k.ResponseWriter.WriteHeader(status)
}

const streamCut = "event: error\ndata: {\"error\":{\"code\":\"stream_cut\",\"verdict\":\"ran\",\"message\":\"m\"}}\n\n"

// cutWithEvent forwards two chunks of the engine, then an error event.
func cutWithEvent(e http.Handler) http.HandlerFunc { return twoChunks(e, streamCut) }

// twoChunks forwards two chunks of the engine, then a last event.
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

// answerToAnotherPrompt answers with the answer to another prompt of equal length.
func answerToAnotherPrompt(e http.Handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var body bytes.Buffer
		_, _ = body.ReadFrom(r.Body)
		r.Body = io.NopCloser(strings.NewReader(strings.Replace(body.String(), "request", "REQUEST", 1)))
		e.ServeHTTP(w, r)
	}
}

// Guards against a report without faults though answers were short, without an end
// mark or another request's, or refusals were not in the documented form.
func TestEachOutcomeIsCountedByKind(t *testing.T) {
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
		{"another's answer", answerToAnotherPrompt(engine()), func(s *DestReport) int64 { return s.Wrong }, "", true},
		{"another's answer, cut", cutWithEvent(answerToAnotherPrompt(engine())), func(s *DestReport) int64 { return s.Wrong }, "stream_cut ran", true},
		{"marked whole too early", twoChunks(engine(), "data: [DONE]\n\n"), func(s *DestReport) int64 { return s.Wrong }, "", true},
		{"goes on after its end", twoChunks(engine(), "data: [DONE]\n\ndata: [DONE]\n\n"), func(s *DestReport) int64 { return s.Wrong }, "", true},
		{"error event, then the mark", twoChunks(engine(), streamCut+"data: [DONE]\n\n"), func(s *DestReport) int64 { return s.Wrong }, "stream_cut ran", true},
		{"without header", refusal(503, "no_target", verdict.NotRun, "", 500), func(s *DestReport) int64 { return s.BadRefusal }, "no_target not_run", true},
		{"come back at once", refusal(429, "no_target", verdict.NotRun, "0", 500), func(s *DestReport) int64 { return s.BadRefusal }, "no_target not_run", true},
		{"without retry_after_ms", refusal(503, "no_target", verdict.NotRun, "1", 0), func(s *DestReport) int64 { return s.BadRefusal }, "no_target not_run", true},
		{"two verdicts", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			refusal(503, "no_target", verdict.NotRun, "1", 500)(&ranVerdictWriter{w}, r)
		}), func(s *DestReport) int64 { return s.BadRefusal }, "no_target not_run", true},
		{"untyped", http.NotFoundHandler(), func(s *DestReport) int64 { return s.BadRefusal }, "", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			cfg := modelConfig(serveInstance(t, c.h))
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

// Guards against asking a dead instance again and again while the directory still
// lists it.
func TestCallersFailOverFromAnInstanceThatAcceptsNoConnection(t *testing.T) {
	dead := httptest.NewServer(nil)
	dead.Close()
	cfg := modelConfig(serveInstance(t, standin.NewEngine(standin.EngineConfig{Slots: 256}), addressOf(dead.URL)))
	cfg.Concurrency = 1
	cfg.Rate = 20
	r := mustRun(t, cfg)
	if r.Gateway.Answered+r.Gateway.Unsent != arrivals(cfg) || r.Gateway.Answered == 0 || r.Gateway.Failovers > int64(cfg.Callers) {
		t.Fatalf("%+v", r.Gateway)
	}
}

func TestBaselineGetsTheSameLoad(t *testing.T) {
	var direct atomic.Int64
	e := standin.NewEngine(standin.EngineConfig{Slots: 512})
	cfg := modelConfig(serveInstance(t, e))
	cfg.Baseline = listen(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { direct.Add(1); e.ServeHTTP(w, r) }))
	r := mustRun(t, cfg)
	if r.Baseline == nil || r.Baseline.Answered != direct.Load() || direct.Load() == 0 || r.Gateway.Answered != arrivals(cfg) || r.Overhead == nil {
		t.Fatalf("%+v", r)
	}
}

// atMostOnceGateway is a correct at-most-once gateway with one target: it repeats the
// first answer of a key.
type atMostOnceGateway struct {
	target  http.Handler
	answers chan map[string]*httptest.ResponseRecorder
}

func newAtMostOnceGateway(target http.Handler) *atMostOnceGateway {
	g := &atMostOnceGateway{target: target, answers: make(chan map[string]*httptest.ResponseRecorder, 1)}
	g.answers <- map[string]*httptest.ResponseRecorder{}
	return g
}

func (g *atMostOnceGateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	byKey := <-g.answers
	rec := byKey[r.Header.Get(headerKey)]
	if rec == nil {
		rec = httptest.NewRecorder()
		http.StripPrefix("/services/desk", g.target).ServeHTTP(rec, r)
		byKey[r.Header.Get(headerKey)] = rec
	}
	g.answers <- byKey
	_, _ = w.Write(rec.Body.Bytes())
}

// Guards against a report without faults though a request ran twice: the gateway
// forwards resends, answers "not run" for a request that ran, or sends to two
// targets, each of which runs the key once.
func TestDuplicateRunsAndWrongVerdictsAreFound(t *testing.T) {
	strip := func(h http.Handler) http.Handler { return http.StripPrefix("/services/desk", h) }
	for _, c := range []struct {
		name                           string
		gateway                        func(plain, other http.Handler) http.Handler
		audit, duplicate, wrongVerdict bool
	}{
		{"correct", func(p, _ http.Handler) http.Handler { return newAtMostOnceGateway(p) }, true, false, false},
		{"passes resends on", func(p, _ http.Handler) http.Handler { return strip(p) }, false, true, false},
		{"two targets, hidden", func(p, o http.Handler) http.Handler {
			once := newAtMostOnceGateway(p)
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
			once := newAtMostOnceGateway(p)
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
			cfg := plainConfig(serveInstance(t, c.gateway(plain, other)))
			if c.audit {
				cfg.Audit = []string{listen(t, plain), listen(t, other)}
			}
			r := mustRun(t, cfg)
			if r.AtMostOnce.Keys != arrivals(cfg) || r.AtMostOnce.Audited != c.audit || r.Gateway.Resends != r.AtMostOnce.Keys {
				t.Fatalf("%+v, %+v", r.AtMostOnce, r.Gateway)
			}
			if (r.AtMostOnce.DuplicateRuns > 0) != c.duplicate || (r.AtMostOnce.WrongVerdicts > 0) != c.wrongVerdict || (r.Faults() > 0) != (c.duplicate || c.wrongVerdict) {
				t.Fatalf("%+v, notes %q", r.AtMostOnce, r.Notes)
			}
		})
	}
}

// Guards against a caller that never learns whether its request ran: the gateway
// runs it, but the connection breaks or the verdict is "may have run".
func TestAnUnknownResultIsResolvedByAResend(t *testing.T) {
	for name, loseAnswer := range map[string]http.HandlerFunc{
		"broken":       func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"may have run": refusal(502, "target_error", verdict.MayHaveRun, "", 0),
	} {
		t.Run(name, func(t *testing.T) {
			plain := standin.NewPlain("one")
			once := newAtMostOnceGateway(plain)
			cfg := plainConfig(serveInstance(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get(headerResend) == "false" {
					once.ServeHTTP(httptest.NewRecorder(), r)
					loseAnswer(w, r)
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
