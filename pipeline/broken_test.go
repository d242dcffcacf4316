package pipeline

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/gullhaven/gullhaven/bundle"
	"github.com/gullhaven/gullhaven/standin"
)

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
