package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// PlainAnswer is the response of a stand-in plain service.
type PlainAnswer struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	// Body is the SHA-256 of the request's body, in hex.
	Body string `json:"body_sha256"`
	// Execution counts the runs of the same key, from 1.
	Execution int `json:"execution"`
}

// Plain is a stand-in plain service, an http.Handler. It runs each request that
// reaches it and counts the runs by key, so that a test can detect a duplicate
// run. It is safe for concurrent use.
type Plain struct {
	service string
	faults  faults
	mu      sync.Mutex
	runs    map[string]int
}

// NewPlain returns a plain service of this name.
func NewPlain(service string) *Plain { return &Plain{service: service, runs: map[string]int{}} }

// SetFaults replaces the faults to inject; they match by path and body.
func (p *Plain) SetFaults(list ...Fault) { p.faults.set(list) }

// Runs returns the number of runs of a key: the Idempotency-Key, or else method
// and path with a space between.
func (p *Plain) Runs(key string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs[key]
}

// ServeHTTP runs a request. POST /fault sets faults.
func (p *Plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/fault" {
		p.faults.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f := p.faults.next(append([]byte(r.URL.Path+"\n"), body...))
	if f.Kind == FaultReject {
		if f.RetryAfter != "" {
			w.Header().Set("Retry-After", f.RetryAfter)
		}
		http.Error(w, "no room", http.StatusServiceUnavailable)
		return
	}
	p.answer(w, r, f, p.run(r, body))
}

func (p *Plain) run(r *http.Request, body []byte) PlainAnswer {
	key := r.Header.Get("Idempotency-Key")
	if key == "" {
		key = r.Method + " " + r.URL.Path
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, known := p.runs[key]; known || len(p.runs) < maxCountedKeys {
		p.runs[key]++
	}
	sum := sha256.Sum256(body)
	return PlainAnswer{
		Service:   p.service,
		Method:    r.Method,
		Path:      r.URL.RequestURI(),
		Body:      hex.EncodeToString(sum[:]),
		Execution: p.runs[key],
	}
}

func (p *Plain) answer(w http.ResponseWriter, r *http.Request, f Fault, a PlainAnswer) {
	switch f.Kind {
	case FaultCrash:
		abortConnection()
	case FaultHang:
		<-r.Context().Done()
		return
	case FaultError:
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	case FaultSlow, FaultLate:
		time.Sleep(f.delay())
	}
	out, _ := json.Marshal(a)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(out)))
	if f.Kind == FaultCut || f.Kind == FaultShort {
		_, _ = w.Write(out[:len(out)/2])
		_ = http.NewResponseController(w).Flush()
		abortConnection()
	}
	_, _ = w.Write(out)
}
