package pipeline

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/gullhaven/gullhaven/bundle"
	"github.com/gullhaven/gullhaven/coord/claim"
	"github.com/gullhaven/gullhaven/metrics"
	"github.com/gullhaven/gullhaven/pipeline/openai"
	"github.com/gullhaven/gullhaven/ports"
	"github.com/gullhaven/gullhaven/ports/enginehttp"
	"github.com/gullhaven/gullhaven/ports/plainhttp"
	"github.com/gullhaven/gullhaven/ports/transport"
	"github.com/gullhaven/gullhaven/route"
	"github.com/gullhaven/gullhaven/standin"
)

const (
	testKey = "key-of-agents"
	// restrictedKey belongs to a workspace whose residency is the region bali.
	restrictedKey = "key-of-bound"
)

// rig is an instance of region jatim with stand-in targets on loopback.
type rig struct {
	t       testing.TB
	deps    Deps
	p       *Pipeline
	url     string
	engines []*standin.Engine
	plain   *standin.Plain
	// onPlain is called before each run of the plain service.
	onPlain func()
	claims  *memClaims
	b       *bundle.Bundle
}

type rigOption func(*rig)

func withEngines(n int, cfg standin.EngineConfig) rigOption {
	return func(r *rig) {
		r.engines = nil
		for range n {
			r.engines = append(r.engines, standin.NewEngine(cfg))
		}
	}
}

func withDeps(f func(*Deps)) rigOption { return func(r *rig) { f(&r.deps) } }

func withBundle(f func(*bundle.Bundle)) rigOption { return func(r *rig) { f(r.b) } }

func newRig(t testing.TB, options ...rigOption) *rig {
	t.Helper()
	transports := transport.NewTransports(transport.Options{})
	t.Cleanup(transports.Close)
	r := &rig{t: t, claims: newMemClaims(), b: testBundle()}
	r.engines = []*standin.Engine{standin.NewEngine(standin.EngineConfig{})}
	r.plain = standin.NewPlain("booking-desk")
	r.deps = Deps{
		Instance: claim.Instance{ID: "malang-1", Incarnation: 1},
		Region:   "jatim",
		Zone:     "a",
		Decider:  route.New(route.Config{Region: "jatim", Zone: "a", Instances: 1}, rand.New(rand.NewPCG(1, 2))),
		Engines:  enginehttp.NewSet(transports),
		Plains:   plainhttp.NewSet(transports),
		Claims:   r.claims,
		Metrics:  metrics.NewSet(),
	}
	for _, o := range options {
		o(r)
	}
	r.serveTargets()
	r.p = New(r.deps)
	r.p.SetView(NewView(r.b, "", r.deps.Region))
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() { defer close(stopped); r.p.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-stopped })
	r.url = r.listen(r.handler())
	return r
}

// serveTargets serves the stand-ins and adds them to the bundle.
func (r *rig) serveTargets() {
	for i, e := range r.engines {
		r.addTarget("briefing-llm", fmt.Sprintf("runner-%d", i), r.listen(e))
	}
	plain := r.listen(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if r.onPlain != nil {
			r.onPlain()
		}
		r.plain.ServeHTTP(w, q)
	}))
	r.addTarget("booking-desk", "desk-0", plain)
	r.addTarget("lookups", "lookup-0", plain)
}

func (r *rig) listen(h http.Handler) string {
	s := httptest.NewServer(h)
	r.t.Cleanup(s.Close)
	return s.URL
}

func (r *rig) addTarget(service, id, url string) {
	r.b.Targets = append(r.b.Targets, bundle.Target{
		ID: id, Service: service, Region: "jatim", Zone: "a",
		State: bundle.TargetActive, Address: strings.TrimPrefix(url, "http://"), Slots: 64,
		PrefillTokensPerSecond: 1e6, DecodeTokensPerSecond: 1e6, CostPerSecond: 1,
	})
}

func (r *rig) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /v1/chat/completions", r.p.Handler(KindChat))
	mux.Handle("POST /v1/completions", r.p.Handler(KindText))
	mux.Handle("/services/", r.p.Handler(KindPlain))
	return mux
}

func testBundle() *bundle.Bundle {
	return &bundle.Bundle{
		Version: 1,
		Regions: []bundle.Region{
			{ID: "jatim", Zones: []string{"a"}, Neighbours: []bundle.Neighbour{{Region: "bali", OneWayMillis: 80, MaxShare: 1}}},
			{ID: "bali", Zones: []string{"a"}},
		},
		Services: []bundle.Service{
			{ID: "briefing-llm", Kind: bundle.KindModel, Adapters: []string{"pilots"}, DefaultDeadlineMillis: 30000},
			{ID: "booking-desk", Kind: bundle.KindPlain, NonIdempotent: true, DefaultDeadlineMillis: 30000},
			{ID: "lookups", Kind: bundle.KindPlain, DefaultDeadlineMillis: 30000},
		},
		Workspaces: []bundle.Workspace{
			{ID: "agents", KeyHashes: []string{keyHash(testKey)}, Home: "jatim", MaxPriority: 7, Weight: 1},
			{ID: "bound", KeyHashes: []string{keyHash(restrictedKey)}, Home: "bali", Residency: []string{"bali"}, Weight: 1},
		},
		Rules: bundle.Rules{MaxAttempts: 3, RetryBudget: 0.2, ClaimLifetimeSeconds: 3600},
	}
}

func keyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// call is one request of a test.
type call struct {
	method, path, key, body string
	header                  map[string]string
}

func (r *rig) do(c call) *http.Response {
	r.t.Helper()
	resp, err := r.try(c)
	if err != nil {
		r.t.Fatal(err)
	}
	return resp
}

func (r *rig) try(c call) (*http.Response, error) {
	r.t.Helper()
	if c.method == "" {
		c.method = http.MethodPost
	}
	if c.path == "" {
		c.path = "/v1/chat/completions"
	}
	if c.key == "" {
		c.key = testKey
	}
	req, err := http.NewRequest(c.method, r.url+c.path, strings.NewReader(c.body))
	if err != nil {
		r.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	for k, v := range c.header {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err == nil {
		r.t.Cleanup(func() { resp.Body.Close() })
	}
	return resp, err
}

// chat is the body of a chat request.
func chat(prompt string, stream bool, tokens int) string {
	body, _ := json.Marshal(map[string]any{
		"model":      "briefing-llm",
		"stream":     stream,
		"max_tokens": tokens,
		"messages":   []map[string]string{{"role": "user", "content": prompt}},
	})
	return string(body)
}

// answerTo returns the whole answer that the stand-in gives to chat.
func answerTo(prompt string, tokens int) string {
	req, err := openai.Parse(openai.Chat, []byte(chat(prompt, true, tokens)))
	if err != nil {
		panic(err)
	}
	return standin.Answer(req.Prompt, tokens)
}

// streamed is a streamed answer as it was read.
type streamed struct {
	text  string
	ended bool
	err   *RefusalDetail
}

func readStream(t testing.TB, body io.Reader) streamed {
	t.Helper()
	var out streamed
	var text strings.Builder
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, 1<<20)
	failed := false
	for lines.Scan() {
		line := lines.Text()
		if line == "event: error" {
			failed = true
			continue
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		switch {
		case data == ports.EndMark:
			out.ended = true
		case failed:
			var r Refusal
			if err := json.Unmarshal([]byte(data), &r); err != nil {
				t.Fatalf("error event %q: %v", data, err)
			}
			out.err = &r.Error
		default:
			text.WriteString(deltaOf(t, data))
		}
	}
	out.text = text.String()
	return out
}

func deltaOf(t testing.TB, data string) string {
	var c struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if err := json.Unmarshal([]byte(data), &c); err != nil || len(c.Choices) != 1 {
		t.Fatalf("chunk %q: %v", data, err)
	}
	return c.Choices[0].Delta.Content
}

func readRefusal(t testing.TB, resp *http.Response) RefusalDetail {
	t.Helper()
	var r Refusal
	if err := json.NewDecoder(resp.Body).Decode(&r); err != nil {
		t.Fatalf("status %d: %v", resp.StatusCode, err)
	}
	if got := resp.Header.Get(HeaderVerdict); got != r.Error.Verdict.String() {
		t.Fatalf("header says %q, body %q", got, r.Error.Verdict)
	}
	return r.Error
}

// memClaims is a table of claims without a log.
type memClaims struct {
	mu    sync.Mutex
	table *claim.Table
	err   error
	// hook is called before each command.
	hook func(home string, c claim.Command)
}

func newMemClaims() *memClaims { return &memClaims{table: claim.NewTable()} }

func (m *memClaims) fail(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.err = err
}

// Propose applies a command at once.
func (m *memClaims) Propose(_ context.Context, home string, c claim.Command) (claim.Result, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.hook != nil {
		m.hook(home, c)
	}
	if m.err != nil {
		return claim.Result{}, m.err
	}
	return m.table.Step(c), nil
}

// countingBody is a body that counts its reads.
type countingBody struct{ reads int }

func (u *countingBody) Read([]byte) (int, error) {
	u.reads++
	return 0, io.ErrUnexpectedEOF
}

// serveBody passes a request with this body to the handler, without a connection.
func (r *rig) serveBody(path, key string, header map[string]string, body io.Reader) *http.Response {
	if path == "" {
		path = "/v1/chat/completions"
	}
	req := httptest.NewRequest(http.MethodPost, path, body)
	req.Header.Set("Authorization", "Bearer "+key)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	w := httptest.NewRecorder()
	r.handler().ServeHTTP(w, req)
	return w.Result()
}
