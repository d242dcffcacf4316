package pipeline

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gullhaven/gullhaven/bundle"
	"github.com/gullhaven/gullhaven/coord/retry"
	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/ports"
	"github.com/gullhaven/gullhaven/route"
	"github.com/gullhaven/gullhaven/standin"
)

// Guards against malformed requests that reach a target, because the parser
// guesses or replaces what it can't read by defaults.
func TestBadInputIsRefusedAtOnce(t *testing.T) {
	r := newRig(t, withDeps(func(d *Deps) { d.Bounds.MaxBodyBytes = 2048 }))
	good := chat("p", false, 2)
	for _, c := range []struct {
		name   string
		call   call
		status int
		code   verdict.Code
	}{
		{"no JSON", call{body: "{"}, 400, CodeBodyMalformed},
		{"empty", call{body: ""}, 400, CodeBodyMalformed},
		{"array", call{body: "[]"}, 400, CodeBodyMalformed},
		{"two objects", call{body: good + good}, 400, CodeBodyMalformed},
		{"no model", call{body: `{"messages":[{"role":"user","content":"x"}]}`}, 400, CodeBodyMalformed},
		{"model twice", call{body: `{"model":"briefing-llm",` + good[1:]}, 400, CodeBodyMalformed},
		{"model a number", call{body: `{"model":7,"messages":[]}`}, 400, CodeBodyMalformed},
		{"stream a string", call{body: `{"stream":"yes",` + strings.Replace(good[1:], `"stream":false,`, "", 1)}, 400, CodeBodyMalformed},
		{"no messages", call{body: `{"model":"briefing-llm","messages":[]}`}, 400, CodeBodyMalformed},
		{"role missing", call{body: `{"model":"briefing-llm","messages":[{"content":"x"}]}`}, 400, CodeBodyMalformed},
		{"tokens negative", call{body: strings.Replace(good, `"max_tokens":2`, `"max_tokens":-2`, 1)}, 400, CodeBodyMalformed},
		{"not UTF-8", call{body: strings.Replace(good, `"p"`, "\"\xff\"", 1)}, 400, CodeBodyMalformed},
		{"unknown model", call{body: strings.Replace(good, "briefing-llm", "other", 1)}, 404, CodeUnknownModel},
		{"unknown adapter", call{body: strings.Replace(good, "briefing-llm", "briefing-llm:x", 1)}, 404, CodeUnknownModel},
		{"plain service as model", call{body: strings.Replace(good, "briefing-llm", "lookups", 1)}, 404, CodeUnknownModel},
		{"model as plain service", call{path: "/services/briefing-llm/x"}, 404, CodeUnknownService},
		{"too large", call{body: chat(strings.Repeat("x", 4096), false, 2)}, 413, CodeBodyTooLarge},
		{"wrong type", call{body: good, header: map[string]string{"Content-Type": "text/csv"}}, 415, CodeContentType},
		{"type of curl", call{body: "{", header: map[string]string{"Content-Type": formType}}, 400, CodeBodyMalformed},
		{"wrong key", call{body: good, key: "nobody's"}, 401, CodeUnknownKey},
		{"deadline no number", call{body: good, header: map[string]string{HeaderDeadline: "soon"}}, 400, CodeWrongHeader},
		{"deadline zero", call{body: good, header: map[string]string{HeaderDeadline: "0"}}, 400, CodeWrongHeader},
		{"deadline too far", call{body: good, header: map[string]string{HeaderDeadline: "99999999999999999"}}, 400, CodeWrongHeader},
		{"priority above the workspace's", call{body: good, header: map[string]string{HeaderPriority: "9"}}, 403, CodePriorityNotAllowed},
		{"priority no number", call{body: good, header: map[string]string{HeaderPriority: "high"}}, 400, CodeWrongHeader},
		{"unknown region", call{body: good, header: map[string]string{HeaderResidency: "atlantis"}}, 400, CodeWrongHeader},
		{"mark not understood", call{body: good, header: map[string]string{HeaderIdempotent: "no"}}, 400, CodeWrongHeader},
		{"marked, no key", call{body: good, header: map[string]string{HeaderIdempotent: "false"}}, 400, CodeIdempotencyKeyRequired},
	} {
		t.Run(c.name, func(t *testing.T) {
			resp := r.do(c.call)
			if got := readRefusal(t, resp); resp.StatusCode != c.status || got.Code != c.code || got.Verdict != verdict.NotRun {
				t.Fatalf("%d %+v", resp.StatusCode, got)
			}
		})
	}
	if n := r.engines[0].Counts().Runs; n != 0 {
		t.Fatalf("%d requests reached the target", n)
	}
}

// Guards against running a truncated body, or waiting for its rest without end:
// the caller announces more bytes than it sends, then closes its side.
func TestTruncatedBody(t *testing.T) {
	r := newRig(t)
	c, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, _ = io.WriteString(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+testKey+
		"\r\nContent-Length: 4000\r\n\r\n"+chat("p", false, 2))
	_ = c.(*net.TCPConn).CloseWrite()
	answer, _ := io.ReadAll(c)
	if !strings.Contains(string(answer), string(CodeBodyTruncated)) || r.engines[0].Counts().Runs != 0 {
		t.Fatalf("answered %q", answer)
	}
}

// orderedDecider sends to its targets in order, one for each attempt.
type orderedDecider struct {
	route.Decider
	targets []route.TargetID
}

func (o orderedDecider) Decide(_ time.Time, q *route.Request) route.Decision {
	if len(q.Tried) >= len(o.targets) {
		return route.Decision{Action: route.Refuse, Reason: route.ReasonNoTarget}
	}
	return route.Decision{Action: route.Send, Target: o.targets[len(q.Tried)]}
}

// Guards against a bound that is checked against the announced length only: a
// body without a length would take any amount of memory.
func TestUnannouncedBodyIsBounded(t *testing.T) {
	r := newRig(t, withDeps(func(d *Deps) { d.Bounds.MaxBodyBytes = 2048 }))
	body := io.MultiReader(strings.NewReader(chat(strings.Repeat("x", 4096), false, 2)))
	if got := readRefusal(t, r.serveBody("", testKey, nil, body)); got.Code != CodeBodyTooLarge {
		t.Fatalf("%+v", got)
	}
}

// hedgingDecider is an orderedDecider that hedges at once.
type hedgingDecider struct{ orderedDecider }

func (h hedgingDecider) Decide(now time.Time, q *route.Request) route.Decision {
	d := h.orderedDecider.Decide(now, q)
	d.HedgeAt = now
	return d
}

// Guards against a slow target that delays the first token, as there is no second
// attempt, and against relaying parts of both answers. The first target hangs,
// breaks or answers late; the hedge answers.
func TestHedge(t *testing.T) {
	for _, kind := range []standin.FaultKind{standin.FaultHang, standin.FaultCrash, standin.FaultLate} {
		t.Run(string(kind), func(t *testing.T) {
			r := newRig(t, withEngines(2, standin.EngineConfig{}), withDeps(func(d *Deps) {
				d.Decider = hedgingDecider{orderedDecider{d.Decider, []route.TargetID{"runner-0", "runner-1"}}}
			}))
			r.engines[0].SetFaults(standin.Fault{Kind: kind, DelayMillis: 20})
			for range int(1 / hedgeShare) {
				r.p.budgets.countFirstAttempt("briefing-llm")
			}
			got := readStream(t, r.do(call{body: chat("p", true, 6)}).Body)
			if !got.ended || got.text != answerTo("p", 6) {
				t.Fatalf("%+v", got)
			}
		})
	}
	t.Run("never for what runs once", func(t *testing.T) {
		r := newRig(t, withEngines(2, standin.EngineConfig{}), withDeps(func(d *Deps) {
			d.Decider = hedgingDecider{orderedDecider{d.Decider, []route.TargetID{"runner-0", "runner-1"}}}
		}))
		r.engines[0].SetFaults(standin.Fault{Kind: standin.FaultLate, DelayMillis: 20})
		got := readStream(t, r.do(call{body: chat("p", true, 6), header: map[string]string{
			HeaderIdempotent: "false", HeaderIdempotencyKey: "k"}}).Body)
		if !got.ended || r.engines[1].Counts().Runs != 0 {
			t.Fatalf("%+v, %d runs of the hedge", got, r.engines[1].Counts().Runs)
		}
	})
}

// Guards against retries that multiply the load of a region which lost targets:
// every target fails, and without a budget over all requests of the instance each
// request is sent as often as the rules allow.
func TestRetriesKeepTheBudget(t *testing.T) {
	begin := time.Now()
	r := newRig(t, withEngines(3, standin.EngineConfig{}), withDeps(func(d *Deps) {
		d.Now = func() time.Time { return begin }
	}))
	for _, e := range r.engines {
		e.SetFaults(standin.Fault{Kind: standin.FaultReject})
	}
	want := int64(retry.NewBudget(begin, budgetConfig(r.b.Rules.RetryBudget)).Tokens())
	for range 30 {
		readRefusal(t, r.do(call{body: chat("p", true, 4)}))
	}
	if got := r.deps.Metrics.Retries.Count(); got != want || want == 0 {
		t.Fatalf("%d retries, want %d", got, want)
	}
}

// Guards against a request that waits for its target past the deadline: the
// target hangs, and nothing else ends the request.
func TestDeadlineEndsTheRequest(t *testing.T) {
	r := newRig(t)
	r.engines[0].SetFaults(standin.Fault{Kind: standin.FaultHang})
	got := readRefusal(t, r.do(call{body: chat("p", true, 4), header: map[string]string{HeaderDeadline: "30"}}))
	reached := r.engines[0].Counts().Runs > 0
	if got.Code != CodeDeadline || (reached && got.Verdict != verdict.MayHaveRun) {
		t.Fatalf("%+v", got)
	}
}

type fixedLimits struct{ requests, tokens float64 }

func (l *fixedLimits) Consume(_ time.Time, _ string, requests, tokens float64) ports.LimitDecision {
	if requests > l.requests || tokens > l.tokens {
		return ports.LimitDecision{RetryAfter: 1200 * time.Millisecond}
	}
	l.requests -= requests
	l.tokens -= tokens
	return ports.LimitDecision{Allowed: true}
}

func TestLimitsSetRetryAfter(t *testing.T) {
	r := newRig(t, withDeps(func(d *Deps) { d.Limits = &fixedLimits{requests: 2, tokens: 100} }))
	for i, want := range []int{200, 429, 429} {
		tokens := []int{2, 2000, 2}[i]
		resp := r.do(call{body: chat("p", false, tokens)})
		if resp.StatusCode != want {
			t.Fatalf("request %d: %d", i, resp.StatusCode)
		}
		if want == 429 && resp.Header.Get("Retry-After") != "2" {
			t.Fatalf("Retry-After %q", resp.Header.Get("Retry-After"))
		}
	}
}

// suspects treats a digest as a suspect after one crash, and refuses it after a
// second one.
type suspects struct {
	mu      sync.Mutex
	digests map[ports.AttemptID]ports.Digest
	crashes map[ports.Digest]int
	alone   int
}

func newSuspects() *suspects {
	return &suspects{digests: map[ports.AttemptID]ports.Digest{}, crashes: map[ports.Digest]int{}}
}

func (s *suspects) Check(_ time.Time, d ports.Digest) ports.Suspicion {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ports.Suspicion(min(s.crashes[d], int(ports.SuspectRefused)))
}

func (s *suspects) Started(_ time.Time, a ports.AttemptID, _ string, d ports.Digest, alone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.digests[a] = d
	if alone {
		s.alone++
	}
}

func (s *suspects) Ended(_ time.Time, a ports.AttemptID, e ports.AttemptEnd) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e == ports.AttemptCrashed {
		s.crashes[s.digests[a]]++
	}
	if e == ports.AttemptFinished {
		delete(s.crashes, s.digests[a])
	}
}

// fixedLone reserves always the same target, and counts its releases.
type fixedLone struct {
	target   string
	released int
}

func (l *fixedLone) Begin(context.Context, string, ports.Digest) (ports.LoneRun, error) {
	return ports.LoneRun{Target: l.target, Release: func() { l.released++ }}, nil
}

// Guards against a poison request that crashes target after target: it comes
// again under another id, streamed or not, and is recognised by id or bytes only,
// or runs beside others. Also against a suspect that is never cleared: a request
// that ran beside it at the first crash comes again.
func TestSuspectsRunAloneAndAreRecognisedInAnotherForm(t *testing.T) {
	known, lone := newSuspects(), &fixedLone{target: "runner-1"}
	r := newRig(t, withEngines(2, standin.EngineConfig{}), withDeps(func(d *Deps) { d.Suspects, d.LoneRuns = known, lone }),
		withBundle(func(b *bundle.Bundle) { b.Rules.MaxAttempts = 1 }))
	r.p.Routing().SetReserved([]route.TargetID{"runner-1"})
	for _, e := range r.engines {
		e.SetFaults(standin.Fault{Kind: standin.FaultCrash, Match: "poison"}, standin.Fault{Kind: standin.FaultCrash, Match: "innocent", Count: 1})
	}
	ask := func(prompt string, i int) *http.Response {
		return r.do(call{body: chat(prompt, i%2 == 0, 2+i), header: map[string]string{HeaderIdempotencyKey: prompt + string(rune('a'+i)), HeaderResend: "false"}})
	}
	readRefusal(t, ask("poison", 0))
	readRefusal(t, ask("innocent", 0))
	if n := r.engines[1].Counts().Runs; n != 0 {
		t.Fatalf("the reserved target ran %d requests", n)
	}
	r.engines[1].SetFaults(standin.Fault{Kind: standin.FaultCrash, Match: "poison"})
	readRefusal(t, ask("poison", 1))
	if got := readStream(t, ask("innocent", 2).Body); !got.ended || known.alone != 2 || lone.released != 2 {
		t.Fatalf("%+v, %d alone, %d released", got, known.alone, lone.released)
	}
	if got := readStream(t, ask("innocent", 4).Body); !got.ended || known.alone != 2 {
		t.Fatalf("not cleared by its whole answer: %+v, %d alone", got, known.alone)
	}
	if got := readRefusal(t, ask("poison", 2)); got.Code != CodeSuspected || got.Verdict != verdict.NotRun {
		t.Fatalf("%+v", got)
	}
	if n := r.engines[1].Counts().Runs + r.engines[0].Counts().Runs; n != 5 {
		t.Fatalf("%d runs", n)
	}
}

// Guards against a poison request that crashes as many targets as it has
// attempts: suspicion is checked on arrival only, so that a retry after the first
// crash runs beside other requests.
func TestRetryOfASuspectRunsAlone(t *testing.T) {
	known, lone := newSuspects(), &fixedLone{target: "runner-1"}
	r := newRig(t, withEngines(3, standin.EngineConfig{}), withDeps(func(d *Deps) { d.Suspects, d.LoneRuns = known, lone }),
		withBundle(func(b *bundle.Bundle) { b.Rules.MaxAttempts = 3 }))
	r.p.Routing().SetReserved([]route.TargetID{"runner-1"})
	for _, e := range r.engines {
		e.SetFaults(standin.Fault{Kind: standin.FaultCrash, Match: "poison"})
	}
	readRefusal(t, r.do(call{body: chat("poison", false, 2)}))
	var runs int64
	for _, e := range r.engines {
		runs += e.Counts().Runs
	}
	if runs != 2 || known.alone != 1 || r.engines[1].Counts().Runs != 1 {
		t.Fatalf("%d runs, %d alone, %d at the reserved target", runs, known.alone, r.engines[1].Counts().Runs)
	}
}

// overtakenDecider calls overtake after the first decision, before the request is sent.
type overtakenDecider struct {
	route.Decider
	once     sync.Once
	overtake func(route.TargetID)
}

func (o *overtakenDecider) Decide(now time.Time, q *route.Request) route.Decision {
	d := o.Decider.Decide(now, q)
	o.once.Do(func() { o.overtake(d.Target) })
	return d
}

// Guards against a refusal while other targets are free: the chosen target is reserved for a lone run,
// or leaves, between the decision and the start of the request, which uses up its only attempt.
func TestDecisionThatIsOvertakenIsNoAttempt(t *testing.T) {
	for name, overtake := range map[string]func(*rig, route.TargetID){
		"reserved": func(r *rig, id route.TargetID) { r.p.Routing().SetReserved([]route.TargetID{id}) },
		"leaving": func(r *rig, id route.TargetID) {
			b := *r.b
			b.Targets = slices.Clone(b.Targets)
			for n := range b.Targets {
				if b.Targets[n].ID == string(id) {
					b.Targets[n].State = bundle.TargetLeaving
				}
			}
			// Routing has not heard of it.
			r.p.view.Store(NewView(&b, "", r.deps.Region))
		},
	} {
		t.Run(name, func(t *testing.T) {
			o := &overtakenDecider{}
			r := newRig(t, withEngines(2, standin.EngineConfig{}), withDeps(func(d *Deps) { o.Decider, d.Decider = d.Decider, o }),
				withBundle(func(b *bundle.Bundle) { b.Rules.MaxAttempts = 1 }))
			o.overtake = func(id route.TargetID) { overtake(r, id) }
			if got := readStream(t, r.do(call{body: chat("hello", true, 3)}).Body); !got.ended {
				t.Fatalf("%+v", got)
			}
			if n := r.deps.Metrics.Retries.Count(); n != 0 {
				t.Fatalf("%d retries", n)
			}
		})
	}
}

// Guards against held requests that take any amount of memory: more requests are
// to be held than the bound allows.
func TestHoldIsBounded(t *testing.T) {
	r := newRouting(nil, time.Now, 1)
	ctx, cancel := context.WithCancel(context.Background())
	first := make(chan bool)
	go func() { first <- r.Hold(ctx, time.Now().Add(time.Hour)) }()
	for {
		r.mu.Lock()
		n := len(r.held)
		r.mu.Unlock()
		if n == 1 {
			break
		}
	}
	if r.Hold(ctx, time.Now().Add(time.Hour)) {
		t.Fatal("held more requests than the bound allows")
	}
	cancel()
	if !<-first || len(r.held) != 0 {
		t.Fatalf("%d still held", len(r.held))
	}
}
