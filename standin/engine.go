package standin

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gullhaven/gullhaven/pipeline/openai"
	"github.com/gullhaven/gullhaven/ports"
)

const (
	maxBodyBytes = 16 << 20
	// shutdownGrace bounds the end of a stand-in's server.
	shutdownGrace = 2 * time.Second
)

// EngineConfig sets up a stand-in engine.
type EngineConfig struct {
	// ID names it in answers.
	ID string
	// Slots is how many requests it runs at once; default 8.
	Slots int
	// MaxWaiting bounds the requests that wait for a slot; beyond it answers
	// 429. Default 1024.
	MaxWaiting int
	// PrefillPerToken and PerToken are the times for a prompt token and for an
	// answer token; zero means at once.
	PrefillPerToken, PerToken time.Duration
	// LoadLag is how old a load report may be.
	LoadLag time.Duration
	// CacheBlocks bounds the prefix blocks it keeps; default 4096.
	CacheBlocks int
	// CacheGapEvery leaves out each n-th cache event; 0 means none.
	CacheGapEvery int
	// CacheDelay holds each cache event back.
	CacheDelay time.Duration
	// IgnoresFence takes orders whatever their fencing number.
	IgnoresFence bool
	// LoadTime is how long an order to load is under way.
	LoadTime time.Duration
	// Model, Version, Role and Adapters are what it has loaded at its start;
	// empty is an engine that must be told.
	Model, Version, Role string
	Adapters             []string
	// KeepRuns is how long a broken-off run can be resumed; default 30 s.
	ResumeTTL time.Duration
}

func (c EngineConfig) withDefaults() EngineConfig {
	if c.Slots <= 0 {
		c.Slots = 8
	}
	if c.MaxWaiting <= 0 {
		c.MaxWaiting = 1024
	}
	if c.CacheBlocks <= 0 {
		c.CacheBlocks = 4096
	}
	if c.ResumeTTL <= 0 {
		c.ResumeTTL = 30 * time.Second
	}
	return c
}

// EngineCounts are what an engine did since its start.
type EngineCounts struct {
	// Runs began, Finished gave their whole answer, Cancelled were given up by
	// the other side.
	Runs, Finished, Cancelled, Resumed, Rejected int64
}

// Engine is a stand-in model engine; it is an http.Handler.
type Engine struct {
	cfg    EngineConfig
	mux    *http.ServeMux
	faults faults
	slots  *slots
	runs   *runs
	cache  *cache
	orders *orders
	load   loadReport
	life   atomic.Pointer[life]

	began, finished, cancelled, resumed, rejected atomic.Int64
}

// NewEngine makes an engine.
func NewEngine(cfg EngineConfig) *Engine {
	cfg = cfg.withDefaults()
	e := &Engine{
		cfg:    cfg,
		mux:    http.NewServeMux(),
		slots:  newSlots(cfg.Slots, cfg.MaxWaiting),
		runs:   newRuns(cfg.ResumeTTL),
		cache:  newCache(cfg),
		orders: newOrders(cfg),
	}
	e.life.Store(newLife())
	e.mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { e.complete(w, r, openai.Chat) })
	e.mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { e.complete(w, r, openai.Text) })
	e.mux.HandleFunc("POST /v1/completions/{attempt}/resume", e.resume)
	e.mux.HandleFunc("POST /v1/completions/{attempt}/cancel", e.cancel)
	e.mux.HandleFunc("GET /load", e.serveLoad)
	e.mux.HandleFunc("GET /cache/events", e.cache.serve)
	e.mux.HandleFunc("POST /orders", e.orders.serve)
	e.mux.HandleFunc("GET /kv/{attempt}", e.exportKV)
	e.mux.HandleFunc("PUT /kv/{attempt}", e.importKV)
	e.mux.Handle("POST /fault", &e.faults)
	return e
}

// life is the time between two crashes of an engine.
type life struct {
	started time.Time
	over    chan struct{}
}

func newLife() *life { return &life{started: time.Now(), over: make(chan struct{})} }

func (l *life) ended() bool {
	select {
	case <-l.over:
		return true
	default:
		return false
	}
}

// crash ends the engine's life: all that runs breaks off, and it starts anew
// with nothing running and an empty cache.
func (e *Engine) crash() {
	old := e.life.Swap(newLife())
	select {
	case <-old.over:
	default:
		close(old.over)
	}
	e.runs.clear()
	e.cache.clear()
}

// SetFaults replaces the faults to make.
func (e *Engine) SetFaults(list ...Fault) { e.faults.set(list) }

// Counts returns what it did so far.
func (e *Engine) Counts() EngineCounts {
	return EngineCounts{
		Runs:      e.began.Load(),
		Finished:  e.finished.Load(),
		Cancelled: e.cancelled.Load(),
		Resumed:   e.resumed.Load(),
		Rejected:  e.rejected.Load(),
	}
}

// RunsOf counts the runs of one prompt.
func (e *Engine) RunsOf(prompt string) int { return e.runs.count(prompt) }

// ServeHTTP serves the engine's interface.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

func (e *Engine) complete(w http.ResponseWriter, r *http.Request, form openai.Form) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	req, err := openai.Parse(form, body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f := e.faults.take(req.Prompt)
	priority, _ := strconv.Atoi(r.Header.Get(ports.HeaderPriority))
	if f.Kind == FaultReject || e.orders.draining() || !e.slots.acquire(r.Context(), priority) {
		e.rejected.Add(1)
		w.Header().Set("Retry-After", "1")
		http.Error(w, "no room", http.StatusTooManyRequests)
		return
	}
	defer e.slots.release()
	run := e.begin(r, form, req)
	e.answer(w, r, run, answering{fault: f, whole: !req.Stream})
}

func (e *Engine) begin(r *http.Request, form openai.Form, req *openai.Request) *run {
	e.began.Add(1)
	n := req.MaxTokens
	if n == 0 {
		n = defaultTokens
	}
	attempt := r.Header.Get(ports.HeaderAttempt)
	if attempt == "" {
		attempt = "run-" + strconv.FormatInt(e.began.Load(), 10)
	}
	x := &run{Attempt: attempt, Chat: form == openai.Chat, Model: req.Model, Prompt: string(req.Prompt), Tokens: n, life: e.life.Load()}
	e.runs.add(x)
	e.cache.prefill(req.Model, req.Prompt)
	return x
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	run, ok := e.runs.get(r.PathValue("attempt"))
	if !ok {
		http.Error(w, "unknown attempt", http.StatusNotFound)
		return
	}
	last := r.Header.Get(ports.HeaderLastEvent)
	after, err := strconv.Atoi(last[strings.LastIndexByte(last, ':')+1:])
	if err != nil || after < 0 || after > run.Tokens {
		http.Error(w, "malformed "+ports.HeaderLastEvent, http.StatusBadRequest)
		return
	}
	if !e.slots.acquire(r.Context(), 0) {
		http.Error(w, "no room", http.StatusTooManyRequests)
		return
	}
	defer e.slots.release()
	e.resumed.Add(1)
	run = e.runs.takeUp(run.in(e.life.Load()))
	e.answer(w, r, run, answering{fault: e.faults.take([]byte("resume:" + run.Prompt)), after: after})
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	run, ok := e.runs.remove(r.PathValue("attempt"))
	if !ok {
		http.Error(w, "unknown attempt", http.StatusNotFound)
		return
	}
	run.cancelled.Store(true)
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	run, ok := e.runs.get(r.PathValue("attempt"))
	if !ok {
		http.Error(w, "unknown attempt", http.StatusNotFound)
		return
	}
	f := e.faults.take([]byte("export:" + run.Prompt))
	switch f.Kind {
	case FaultError:
		http.Error(w, "internal error", http.StatusInternalServerError)
	case FaultCut:
		_, _ = w.Write([]byte(`{"attempt":`))
		_ = http.NewResponseController(w).Flush()
		drop()
	default:
		writeJSON(w, run)
	}
}

func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	x := new(run)
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(x)
	if err != nil || x.Attempt != r.PathValue("attempt") {
		http.Error(w, "malformed KV cache", http.StatusBadRequest)
		return
	}
	switch e.faults.take([]byte("import:" + x.Prompt)).Kind {
	case FaultError:
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	case FaultCrash:
		drop()
	}
	// A cache that nobody takes up is dropped.
	e.runs.brokenOff(e.runs.takeUp(x))
	w.WriteHeader(http.StatusNoContent)
}

// loadReport keeps the last report, so that it can be told late.
type loadReport struct {
	mu   sync.Mutex
	last ports.LoadReport
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	e.load.mu.Lock()
	if e.load.last.At.IsZero() || now.Sub(e.load.last.At) >= e.cfg.LoadLag {
		e.load.last = e.report(now)
	}
	report := e.load.last
	e.load.mu.Unlock()
	writeJSON(w, report)
}

func (e *Engine) report(now time.Time) ports.LoadReport {
	l := ports.LoadReport{At: now, Started: e.life.Load().started}
	l.Running, l.Waiting = e.slots.load()
	l.KVUsed = e.cache.used()
	e.orders.fill(&l)
	return l
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", ports.ContentTypeJSON)
	_ = json.NewEncoder(w).Encode(v)
}

// Serve serves a stand-in on l until ctx ends, then closes after a bounded grace.
func Serve(ctx context.Context, l net.Listener, h http.Handler) error {
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	stop := context.AfterFunc(ctx, func() {
		grace, cancel := context.WithTimeout(context.Background(), shutdownGrace)
		defer cancel()
		if s.Shutdown(grace) != nil {
			_ = s.Close()
		}
	})
	defer stop()
	if err := s.Serve(l); err != http.ErrServerClosed {
		return err
	}
	return nil
}
