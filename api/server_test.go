package api

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gullhaven/gullhaven/api/gen/operators"
	"github.com/gullhaven/gullhaven/bundle"
	"github.com/gullhaven/gullhaven/coord/claim"
	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/metrics"
	"github.com/gullhaven/gullhaven/metrics/burn"
	"github.com/gullhaven/gullhaven/pipeline"
	"github.com/gullhaven/gullhaven/ports"
	"github.com/gullhaven/gullhaven/ports/enginehttp"
	"github.com/gullhaven/gullhaven/ports/sending"
	"github.com/gullhaven/gullhaven/route"
	"github.com/gullhaven/gullhaven/standin"
)

const key = "k"

type fixedDirectory struct{}

func (fixedDirectory) Lookup(q ports.DirectoryQuery) ports.DirectoryAnswer {
	return ports.DirectoryAnswer{
		Entries: []ports.DirectoryEntry{{Instance: "malang-1", URL: "http://127.0.0.1:8080", Region: "jatim", Zone: q.Zone, Weight: 1}},
		TTL:     5 * time.Second,
	}
}

// fixedOperator is an Operator that has accepted one bundle, "winner".
type fixedOperator struct{}

func (fixedOperator) Roll(_ context.Context, signed []byte) (*operators.RollResult, error) {
	switch string(signed) {
	case "winner":
		return &operators.RollResult{Version: 2, Digest: "d", Accepted: true, Again: true}, nil
	case "late":
		return nil, &verdict.Error{Verdict: verdict.MayHaveRun, Code: CodeNoQuorum, Message: "no majority", RetryAfter: 1500 * time.Millisecond}
	}
	return nil, verdict.New(verdict.NotRun, CodeBundleConflict, "version 2 is d")
}

func (fixedOperator) Status(context.Context) (*operators.InstanceReport, error) {
	return &operators.InstanceReport{Instance: "malang-1", Region: "jatim"}, nil
}

// Burn reports two requests, one of which met its objective.
func (fixedOperator) Burn(context.Context) (*operators.BurnReport, error) {
	now := time.Now()
	h := burn.NewHistory("malang-1", "jatim", 1)
	h.Observe(now, burn.Event{Service: "s", Workspace: "w"})
	h.Observe(now, burn.Event{Service: "s", Workspace: "w", Cause: burn.Late})
	services := []bundle.Service{{ID: "s", Objective: bundle.Objective{FirstTokenMillis: 300, Share: 0.9}}}
	return BurnReportOf(BurnSource{Instance: "malang-1", Region: "jatim", Version: 1, Services: services, Snapshot: h.Snapshot(now)}, now)
}

func notReady() error { return errors.New("no bundle") }

func serveAPI(t *testing.T) string {
	t.Helper()
	engine := httptest.NewServer(standin.NewEngine(standin.EngineConfig{}))
	t.Cleanup(engine.Close)
	sum := sha256.Sum256([]byte(key))
	b := &bundle.Bundle{
		Regions:    []bundle.Region{{ID: "jatim"}},
		Services:   []bundle.Service{{ID: "briefing-llm", Kind: bundle.KindModel, Adapters: []string{"pilots"}}},
		Workspaces: []bundle.Workspace{{ID: "w", KeyHashes: []string{hex.EncodeToString(sum[:])}, Home: "jatim"}},
		Targets: []bundle.Target{{
			ID: "r", Service: "briefing-llm", Region: "jatim", Slots: 8, Address: strings.TrimPrefix(engine.URL, "http://"),
			PrefillTokensPerSecond: 1e6, DecodeTokensPerSecond: 1e6,
		}},
	}
	set := metrics.NewSet()
	p := pipeline.New(pipeline.Deps{
		Instance: claim.Instance{ID: "malang-1"},
		Region:   "jatim",
		Decider:  route.New(route.Config{Region: "jatim", Instances: 1}, rand.New(rand.NewPCG(1, 1))),
		Engines:  enginehttp.NewSet(sending.NewTransports(sending.Options{})),
		Metrics:  set,
	})
	p.SetView(pipeline.NewView(b, "", "jatim"))
	s := httptest.NewServer(New(Deps{Pipeline: p, Directory: fixedDirectory{}, Operator: fixedOperator{}, Metrics: set, Ready: notReady}))
	t.Cleanup(s.Close)
	return s.URL
}

func TestInterface(t *testing.T) {
	url := serveAPI(t)
	chat := `{"model":"briefing-llm:pilots","messages":[{"role":"user","content":"hi"}],"max_tokens":3}`
	for _, c := range []struct {
		method, path, body string
		status             int
		holds              string
		header             string
	}{
		{"GET", "/v1/models", "", 200, `"id":"briefing-llm:pilots"`, ""},
		{"GET", "/v1/directory?zone=b", "", 200, `"ttl_ms":5000`, "Cache-Control: max-age=5"},
		{"POST", "/v1/chat/completions", chat, 200, `"finish_reason":"stop"`, "Gullhaven-Verdict: ran"},
		{"POST", "/v1/completions", chat, 400, `"code":"body_malformed"`, "Gullhaven-Verdict: not_run"},
		{"GET", "/v1/completions", "", 405, `"code":"unknown_method"`, "Allow: POST"},
		{"GET", "/nowhere", "", 404, `"code":"unknown_path"`, ""},
		{"GET", "/services/nothing/x", "", 404, `"code":"unknown_service"`, ""},
		{"POST", "/operator/v1/bundles", "winner", 200, `"again":true`, ""},
		{"POST", "/operator/v1/bundles", "other", 409, `"code":"bundle_conflict"`, "Gullhaven-Verdict: not_run"},
		{"POST", "/operator/v1/bundles", "late", 503, `"retry_after_ms":1500`, "Retry-After: 2"},
		{"GET", "/operator/v1/status", "", 200, `"instance":"malang-1"`, ""},
		{"GET", "/operator/v1/burn", "", 200, `{"window_ms":300000,"requests":2,"missed":1,"rate":5`, ""},
		{"GET", "/operator/v1/burn", "", 200, `"causes":[{"cause":"late","requests":1}]`, ""},
		{"GET", "/healthz", "", 204, "", ""},
		{"GET", "/readyz", "", 503, `"code":"not_ready"`, "Gullhaven-Verdict: not_run"},
		{"GET", "/metrics", "", 200, "gullhaven_requests_total 3", "Content-Type: text/plain; version=0.0.4; charset=utf-8"},
	} {
		t.Run(c.method+" "+c.path, func(t *testing.T) {
			req, _ := http.NewRequest(c.method, url+c.path, strings.NewReader(c.body))
			req.Header.Set("Authorization", "Bearer "+key)
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			body, _ := io.ReadAll(resp.Body)
			if resp.StatusCode != c.status || !strings.Contains(string(body), c.holds) {
				t.Fatalf("%d %s", resp.StatusCode, body)
			}
			name, value, _ := strings.Cut(c.header, ": ")
			if c.header != "" && resp.Header.Get(name) != value {
				t.Fatalf("%s is %q", name, resp.Header.Get(name))
			}
			if c.status >= 400 && !json.Valid(body) {
				t.Fatalf("the refusal is not JSON: %s", body)
			}
		})
	}
}
