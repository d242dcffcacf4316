package pipeline

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/gullhaven/gullhaven/bundle"
	"github.com/gullhaven/gullhaven/coord/broken"
	"github.com/gullhaven/gullhaven/ports"
	"github.com/gullhaven/gullhaven/standin"
)

// Guards against an answer of a target that is not valid HTTP and reaches a caller as whole, or runs twice, or is
// taken for the crash of its target, or is counted and logged nowhere.
func TestBrokenAnswersReachNoCaller(t *testing.T) {
	for name, c := range map[string]struct {
		call call
		body string
	}{
		"plain":  {call{method: http.MethodGet, path: "/services/archive/x"}, "wrong"},
		"once":   {call{path: "/services/ledger/x", body: "{}", header: map[string]string{HeaderIdempotencyKey: "k"}}, "wrong"},
		"whole":  {call{body: chat("hello", false, 3)}, `"wrong"`},
		"stream": {call{body: chat("hello", true, 3)}, "data: wrong\n\n"},
	} {
		for wrong, text := range broken.Answers("", c.body) {
			t.Run(name+", "+wrong, func(t *testing.T) {
				core, logs := observer.New(zap.InfoLevel)
				known := newSuspects()
				s := broken.Serve(t, nil, text)
				r := newRig(t, withEngines(0, standin.EngineConfig{}), withDeps(func(d *Deps) { d.Log, d.Suspects = zap.New(core), known }), withBundle(func(b *bundle.Bundle) {
					b.Rules.MaxAttempts = 1
					b.Services = append(b.Services, bundle.Service{ID: "archive", Kind: bundle.KindPlain, DefaultDeadlineMillis: 30000},
						bundle.Service{ID: "ledger", Kind: bundle.KindPlain, NonIdempotent: true, DefaultDeadlineMillis: 30000})
				}))
				for _, service := range []string{"archive", "ledger", "briefing-llm"} {
					r.addTarget(service, service+"-0", s.Addr)
				}
				r.p.SetView(NewView(r.b, "", r.deps.Region))
				// No answer at all is a connection that was closed before its first bytes were sent.
				if resp, err := r.try(c.call); err == nil {
					body, err := io.ReadAll(resp.Body)
					cut := err != nil || strings.Contains(string(body), "event: error")
					if resp.StatusCode != http.StatusBadGateway && !cut || strings.Contains(string(body), ports.EndMark) || resp.Header.Get("Retry-After") != "" {
						t.Errorf("%d %q, %v, Retry-After %q", resp.StatusCode, body, err, resp.Header.Get("Retry-After"))
					}
				}
				s.CheckClosed(t)
				if n := s.Requests(); name == "once" && n != 1 {
					t.Errorf("sent %d times", n)
				}
				lines := logs.FilterMessage("broken answer").All()
				if n := r.deps.Metrics.BrokenAnswers.Count(); n != 1 || len(lines) != 1 {
					t.Fatalf("%d counted, log %v", n, logs.All())
				}
				if line := lines[0].ContextMap(); line["id"] == "" || !strings.Contains(fmt.Sprint(line["error"]), "not valid HTTP") {
					t.Errorf("%v", line)
				}
				known.mu.Lock()
				defer known.mu.Unlock()
				if len(known.crashes) > 0 {
					t.Error("it counts as a crash")
				}
			})
		}
	}
}

// Guards against a part of an early answer that is passed on as whole, as the write of the request takes the reset.
func TestPartsOfEarlyAnswersAreNotPassedOnAsWhole(t *testing.T) {
	const rounds, uploadBytes = 20, 6 << 20
	reset := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nGullhaven-Attempt: "+r.Header.Get("Gullhaven-Attempt")+"\r\n\r\npart")
		_, _ = io.CopyN(io.Discard, c, uploadBytes/4)
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	})
	r := newRig(t, withEngines(0, standin.EngineConfig{}), withDeps(func(d *Deps) { d.Bounds.MaxBodyBytes = 2 * uploadBytes }), withBundle(func(b *bundle.Bundle) {
		b.Rules.MaxAttempts = 1
		b.Services = append(b.Services, bundle.Service{ID: "archive", Kind: bundle.KindPlain, DefaultDeadlineMillis: 30000})
	}))
	r.addTarget("archive", "archive-0", r.listen(reset))
	r.p.SetView(NewView(r.b, "", r.deps.Region))
	for range rounds {
		resp, err := r.try(call{path: "/services/archive/x", body: strings.Repeat("x", uploadBytes)})
		if err != nil {
			continue
		}
		if body, err := io.ReadAll(resp.Body); err == nil && resp.StatusCode < http.StatusInternalServerError {
			t.Errorf("%d %q, whole", resp.StatusCode, body)
		}
	}
}
