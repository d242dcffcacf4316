package pipeline

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/gullhaven/gullhaven/bundle"
	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/standin"
)

// Guards against a whole, empty answer to a caller whose target has closed the connection after its head.
func TestAnswerThatStopsAfterItsHeadIsLost(t *testing.T) {
	stops := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nGullhaven-Attempt: "+r.Header.Get("Gullhaven-Attempt")+"\r\n\r\n")
		_ = c.(*net.TCPConn).CloseWrite()
	})
	for name, c := range map[string]call{
		"plain": {method: http.MethodGet, path: "/services/archive/x"},
		"whole": {body: chat("hello", false, 3)},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, withEngines(0, standin.EngineConfig{}), withBundle(func(b *bundle.Bundle) {
				b.Rules.MaxAttempts = 1
				b.Services = append(b.Services, bundle.Service{ID: "archive", Kind: bundle.KindPlain, DefaultDeadlineMillis: 30000})
			}))
			r.addTarget("briefing-llm", "runner-0", r.listen(stops))
			r.addTarget("archive", "archive-0", r.listen(stops))
			r.p.SetView(NewView(r.b, "", r.deps.Region))
			resp := r.do(c)
			if got := readRefusal(t, resp); resp.StatusCode < http.StatusInternalServerError || got.Verdict != verdict.MayHaveRun {
				t.Errorf("%d %+v", resp.StatusCode, got)
			}
		})
	}
}
