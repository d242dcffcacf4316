package standin

import (
	"cmp"
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
	// shutdownTimeout bounds the graceful shutdown of a stand-in's server.
	shutdownTimeout = 2 * time.Second
)

// EngineConfig configures a stand-in engine.
type EngineConfig struct {
	// Slots bounds the requests that run at once; default 8.
	Slots int
	// MaxWaiting bounds the requests that wait for a slot; further ones get
	// status 429. Default 1024.
	MaxWaiting int
	// PrefillPerToken and PerToken are the times for a prompt token (4 bytes)
	// and for an answer token; zero means no delay.
	PrefillPerToken, PerToken time.Duration
	// LoadLag is the age up to which a load report is served again.
	LoadLag time.Duration
	// CacheBlocks bounds the cached prefix blocks; default 4096.
	CacheBlocks int
	// CacheGapEvery omits every n-th cache event; 0 omits none.
	CacheGapEvery int
	// CacheDelay delays each cache event.
	CacheDelay time.Duration
	// IgnoresFence accepts orders with any fencing number.
	IgnoresFence bool
	// LoadTime is how long an order to load a version or adapter takes.
	LoadTime time.Duration
	// Model, Version, Role and Adapters are the initial state; an engine
	// without them gets them by orders.
	Model, Version, Role string
	Adapters             []string
	// ResumeTTL is how long an interrupted run can be resumed; default 30 s.
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

// EngineCounts counts runs since the engine was made.
type EngineCounts struct {
	// Runs were started, Finished sent their whole answer, Cancelled were
	// cancelled or lost their client, Resumed are resume requests served, and
	// Rejected got status 429.
	Runs, Finished, Cancelled, Resumed, Rejected int64
}

// Engine is a stand-in model engine, an http.Handler. It is safe for concurrent use.
type Engine struct {
	cfg         EngineConfig
	mux         *http.ServeMux
	faults      faults
	slots       *slots
	runs        *runs
	cache       *cache
	orders      *orders
	load        loadReport
	incarnation atomic.Pointer[incarnation]

	began, finished, cancelled, resumed, rejected atomic.Int64
}

// NewEngine returns an idle engine with an empty cache.
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
	e.incarnation.Store(newIncarnation())
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

// incarnation is the time between two crashes of an engine.
type incarnation struct {
	started time.Time
	done    chan struct{}
}

func newIncarnation() *incarnation {
	return &incarnation{started: time.Now(), done: make(chan struct{})}
}

func (l *incarnation) ended() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

// crash ends the engine's incarnation: all runs are aborted, and a new one
// starts with no runs and an empty cache.
func (e *Engine) crash() {
	old := e.incarnation.Swap(newIncarnation())
	select {
	case <-old.done:
	default:
		close(old.done)
	}
	e.runs.clear()
	e.cache.clear()
}

// SetFaults replaces the faults to inject; they match by prompt, with the
// prefix "resume:", "export:" or "import:" for those calls.
func (e *Engine) SetFaults(list ...Fault) { e.faults.set(list) }

// Counts returns the counts so far.
func (e *Engine) Counts() EngineCounts {
	return EngineCounts{
		Runs:      e.began.Load(),
		Finished:  e.finished.Load(),
		Cancelled: e.cancelled.Load(),
		Resumed:   e.resumed.Load(),
		Rejected:  e.rejected.Load(),
	}
}

// RunsOf returns how often a prompt was run.
func (e *Engine) RunsOf(prompt string) int { return e.runs.count(prompt) }

// ServeHTTP serves the engine protocol, and POST /fault, which sets faults.
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
	f := e.faults.next(req.Prompt)
	priority, _ := strconv.Atoi(r.Header.Get(ports.HeaderPriority))
	if f.Kind == FaultReject || e.orders.draining() || !e.slots.acquire(r.Context(), priority) {
		e.rejected.Add(1)
		w.Header().Set("Retry-After", cmp.Or(f.RetryAfter, "1"))
		http.Error(w, "no room", http.StatusTooManyRequests)
		return
	}
	defer e.slots.release()
	run := e.begin(r, form, req)
	e.answer(w, r, run, answerOptions{fault: f, whole: !req.Stream})
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
	x := &run{Attempt: attempt, Chat: form == openai.Chat, Model: req.Model, Prompt: string(req.Prompt), Tokens: n, incarnation: e.incarnation.Load()}
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
	run = e.runs.put(run.copyFor(e.incarnation.Load()))
	e.answer(w, r, run, answerOptions{fault: e.faults.next([]byte("resume:" + run.Prompt)), after: after})
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
	f := e.faults.next([]byte("export:" + run.Prompt))
	switch f.Kind {
	case FaultError:
		http.Error(w, "internal error", http.StatusInternalServerError)
	case FaultCut:
		_, _ = w.Write([]byte(`{"attempt":`))
		_ = http.NewResponseController(w).Flush()
		abortConnection()
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
	switch e.faults.next([]byte("import:" + x.Prompt)).Kind {
	case FaultError:
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	case FaultCrash:
		abortConnection()
	}
	// A cache that is not resumed is removed after a while.
	e.runs.removeLater(e.runs.put(x))
	w.WriteHeader(http.StatusNoContent)
}

// loadReport keeps the last report, so that it can be served late.
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
	l := ports.LoadReport{At: now, Started: e.incarnation.Load().started}
	l.Running, l.Waiting = e.slots.load()
	l.KVUsed = e.cache.usedShare()
	e.orders.fillReport(&l)
	return l
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", ports.ContentTypeJSON)
	_ = json.NewEncoder(w).Encode(v)
}

// Serve serves a stand-in on l until ctx ends, then shuts down within 2 s. It
// returns any other error of the server.
func Serve(ctx context.Context, l net.Listener, h http.Handler) error {
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	stop := context.AfterFunc(ctx, func() {
		grace, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
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
