package pipeline

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/gullhaven/gullhaven/bundle"
	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/ports"
	"github.com/gullhaven/gullhaven/route"
	"github.com/gullhaven/gullhaven/standin"
)

// Guards against garbled or partial answers that look whole: the engine sends a
// chunk twice, out of order, late, of another attempt or not at all, or the
// stream ends before its end mark, and the relay copies bytes without checking.
func TestAnswersAreWholeOrEndWithAnError(t *testing.T) {
	const prompt, tokens = "dossier 12", 12
	for _, c := range []struct {
		name  string
		fault standin.Fault
		whole bool
		code  verdict.Code
		count func(*rig) int64
	}{
		{"duplicate", standin.Fault{Kind: standin.FaultDuplicate, Chunk: 4}, true, "",
			func(r *rig) int64 { return r.deps.Metrics.Duplicates.Count() }},
		{"out of order", standin.Fault{Kind: standin.FaultReorder, Chunk: 4}, true, "",
			func(r *rig) int64 { return r.deps.Metrics.Reordered.Count() }},
		{"another's chunk", standin.Fault{Kind: standin.FaultForeign, Chunk: 4}, true, "",
			func(r *rig) int64 { return r.deps.Metrics.Foreign.Count() }},
		{"late", standin.Fault{Kind: standin.FaultLate, DelayMillis: 5}, true, "", nil},
		{"cut, resumed", standin.Fault{Kind: standin.FaultCut, Chunk: 4}, true, "",
			func(r *rig) int64 { return r.deps.Metrics.Resumes.Count() }},
		{"cut, not resumed", standin.Fault{Kind: standin.FaultLost, Chunk: 4}, false, ports.CodeStreamCut,
			func(r *rig) int64 { return r.deps.Metrics.CutAnswers.Count() }},
		{"short", standin.Fault{Kind: standin.FaultShort, Chunk: 4}, false, ports.CodeStreamCut,
			func(r *rig) int64 { return r.deps.Metrics.CutAnswers.Count() }},
		{"gap", standin.Fault{Kind: standin.FaultGap, Chunk: 4}, false, ports.CodeStreamGap,
			func(r *rig) int64 { return r.deps.Metrics.CutAnswers.Count() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t)
			c.fault.Count = 1
			r.engines[0].SetFaults(c.fault)
			got := readStream(t, r.do(call{body: chat(prompt, true, tokens)}).Body)
			want := answerTo(prompt, tokens)
			if got.ended != c.whole || (c.whole && got.text != want) || (!c.whole && got.text == want) {
				t.Fatalf("%+v; want %q", got, want)
			}
			if !c.whole && (got.err == nil || got.err.Code != c.code || got.err.Verdict != verdict.Ran) {
				t.Fatalf("ended with %+v", got.err)
			}
			if c.count != nil && c.count(r) != 1 {
				t.Fatalf("counted %d", c.count(r))
			}
		})
	}
}

// Guards against the verdict "not run" for a request that may have run: a target
// accepts it and breaks, rejects it, or can't be reached, and the verdict comes
// from the last error alone. The caller sends the request again and it runs twice.
func TestVerdictsOfFailures(t *testing.T) {
	for _, c := range []struct {
		kind standin.FaultKind
		want verdict.Verdict
	}{
		{standin.FaultReject, verdict.NotRun},
		{standin.FaultError, verdict.MayHaveRun},
		{standin.FaultCrash, verdict.MayHaveRun},
		{standin.FaultWrongAnswer, verdict.MayHaveRun},
	} {
		t.Run(string(c.kind), func(t *testing.T) {
			r := newRig(t)
			r.engines[0].SetFaults(standin.Fault{Kind: c.kind})
			resp := r.do(call{body: chat("p", true, 4)})
			if got := readRefusal(t, resp); got.Verdict != c.want {
				t.Fatalf("%d %+v", resp.StatusCode, got)
			}
		})
	}
	t.Run("crash, then rejected", func(t *testing.T) {
		r := newRig(t, withEngines(2, standin.EngineConfig{}), withDeps(func(d *Deps) {
			d.Decider = orderedDecider{d.Decider, []route.TargetID{"runner-0", "runner-1"}}
		}))
		r.engines[0].SetFaults(standin.Fault{Kind: standin.FaultCrash})
		r.engines[1].SetFaults(standin.Fault{Kind: standin.FaultReject})
		if got := readRefusal(t, r.do(call{body: chat("p", true, 4)})); got.Verdict != verdict.MayHaveRun {
			t.Fatalf("%+v", got)
		}
	})
	t.Run("nobody there", func(t *testing.T) {
		r := newRig(t, withEngines(0, standin.EngineConfig{}))
		r.b.Targets = append(r.b.Targets, bundle.Target{ID: "gone", Service: "briefing-llm", Region: "jatim", Zone: "a",
			State: bundle.TargetActive, Address: "127.0.0.1:1", Slots: 1, PrefillTokensPerSecond: 1e6, DecodeTokensPerSecond: 1e6})
		r.p.SetView(NewView(r.b, "", "jatim"))
		resp := r.do(call{body: chat("p", true, 4)})
		if got := readRefusal(t, resp); got.Verdict != verdict.NotRun || resp.Header.Get("Retry-After") == "" {
			t.Fatalf("%+v, Retry-After %q", got, resp.Header.Get("Retry-After"))
		}
	})
}

// Guards against answers that reach the wrong caller because they are matched to
// requests by order or by connection: many requests run at once over reused
// connections, and some answers are cut, duplicated or of another attempt.
func TestWholeAnswersToTheRightCallers(t *testing.T) {
	r := newRig(t, withEngines(3, standin.EngineConfig{Slots: 64}))
	for _, e := range r.engines {
		e.SetFaults(
			standin.Fault{Kind: standin.FaultForeign, Match: "x1", Chunk: 2},
			standin.Fault{Kind: standin.FaultDuplicate, Match: "x2", Chunk: 3},
			standin.Fault{Kind: standin.FaultWrongAnswer, Match: "x3", Count: 1},
			standin.Fault{Kind: standin.FaultCut, Match: "x4", Chunk: 3},
		)
	}
	var wait sync.WaitGroup
	for i := range 120 {
		wait.Go(func() {
			prompt := fmt.Sprintf("request %d x%d", i, i%6)
			resp := r.do(call{body: chat(prompt, true, 8)})
			if resp.StatusCode != http.StatusOK && i%6 == 3 {
				return // each target answered as another attempt
			}
			got := readStream(t, resp.Body)
			if got.err == nil && (!got.ended || got.text != answerTo(prompt, 8)) {
				t.Errorf("%s: %+v", prompt, got)
			}
			if got.err != nil && i%6 != 3 {
				t.Errorf("%s failed: %+v", prompt, got.err)
			}
		})
	}
	wait.Wait()
}

// Guards against reading a request's body in a region that its residency
// excludes, because residency is decided after the body was read, or from it.
func TestResidencyIsDecidedBeforeTheBody(t *testing.T) {
	restricted := func(b *bundle.Bundle) {
		b.Services = append(b.Services, bundle.Service{ID: "bali-llm", Kind: bundle.KindModel, Residency: []string{"bali"}})
	}
	for _, c := range []struct {
		name   string
		key    string
		header map[string]string
		path   string
		option rigOption
		status int
	}{
		{"by workspace", restrictedKey, nil, "", nil, http.StatusMisdirectedRequest},
		{"by header", testKey, map[string]string{HeaderResidency: "bali"}, "", nil, http.StatusMisdirectedRequest},
		{"by workspace, plain", restrictedKey, nil, "/services/lookups/x", nil, http.StatusMisdirectedRequest},
		{"by service", testKey, map[string]string{HeaderService: "bali-llm"}, "", withBundle(restricted), http.StatusMisdirectedRequest},
		{"service not named", testKey, nil, "", withBundle(restricted), http.StatusPreconditionRequired},
		{"no region left", restrictedKey, map[string]string{HeaderResidency: "jatim"}, "", nil, http.StatusBadRequest},
	} {
		t.Run(c.name, func(t *testing.T) {
			options := []rigOption{}
			if c.option != nil {
				options = append(options, c.option)
			}
			r := newRig(t, options...)
			body := &countingBody{}
			resp := r.serveBody(c.path, c.key, c.header, body)
			if resp.StatusCode != c.status || body.reads != 0 {
				t.Fatalf("status %d after %d reads of the body", resp.StatusCode, body.reads)
			}
			if got := readRefusal(t, resp); got.Verdict != verdict.NotRun {
				t.Fatalf("%+v", got)
			}
			if c.status == http.StatusMisdirectedRequest && resp.Header.Get(HeaderRegions) != "bali" {
				t.Fatalf("regions header %q", resp.Header.Get(HeaderRegions))
			}
		})
	}
}

// Guards against new work for a leaving target: a bundle that marks it as leaving
// comes into force while requests of the old view are held or retried, and the
// decision is followed without a check against the new view.
func TestLeavingTargetsGetNoNewWork(t *testing.T) {
	r := newRig(t, withEngines(2, standin.EngineConfig{}))
	left := *r.b
	left.Targets = append([]bundle.Target(nil), r.b.Targets...)
	for i := range left.Targets {
		if left.Targets[i].ID == "runner-0" {
			left.Targets[i].State = bundle.TargetLeaving
		}
	}
	// Only the view changes; for routing both targets are still active.
	r.p.view.Store(NewView(&left, "", "jatim"))
	for i := range 20 {
		readStream(t, r.do(call{body: chat(fmt.Sprint(i), true, 2)}).Body)
	}
	if n := r.engines[0].Counts().Runs; n != 0 {
		t.Fatalf("the leaving target ran %d requests", n)
	}
	if n := r.engines[1].Counts().Runs; n == 0 {
		t.Fatal("the other target ran none")
	}
}

// Guards against copying all headers of plain requests and answers: the target
// would get the workspace's key, and could send callers a verdict.
func TestHeadersOfPlainServices(t *testing.T) {
	r := newRig(t)
	var seen http.Header
	r.addTarget("echo", "echo-0", r.listen(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		seen = q.Header.Clone()
		w.Header().Set(HeaderVerdict, "not_run")
		w.Header().Set(HeaderRequestID, "forged")
		w.Header().Set("Connection", "X-Hop")
		w.Header().Set("X-Hop", "1")
		w.Header().Set("X-End", "1")
		w.WriteHeader(http.StatusTeapot)
	})))
	r.b.Services = append(r.b.Services, bundle.Service{ID: "echo", Kind: bundle.KindPlain})
	r.p.SetView(NewView(r.b, "", "jatim"))
	resp := r.do(call{path: "/services/echo/", header: map[string]string{"X-End": "2", HeaderPriority: "1"}})
	if seen.Get("Authorization") != "" || seen.Get(HeaderPriority) != "" || seen.Get("X-End") != "2" {
		t.Fatalf("the target saw %v", seen)
	}
	h := resp.Header
	if resp.StatusCode != http.StatusTeapot || h.Get(HeaderVerdict) != "ran" || h.Get(HeaderRequestID) == "forged" || h.Get("X-Hop") != "" || h.Get("X-End") != "1" {
		t.Fatalf("%d %v", resp.StatusCode, h)
	}
}
