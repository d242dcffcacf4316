package standin

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"
)

// FaultKind is a kind of fault.
type FaultKind string

// Kinds of faults. Chunk is Fault.Chunk, Delay is Fault.DelayMillis.
const (
	// FaultSlow waits Delay before each chunk.
	FaultSlow FaultKind = "slow"
	// FaultLate waits Delay before the first chunk.
	FaultLate FaultKind = "late"
	// FaultCut aborts the connection after Chunk; the run can be resumed.
	FaultCut FaultKind = "cut"
	// FaultLost aborts the connection after Chunk; the run can't be resumed.
	FaultLost FaultKind = "lost"
	// FaultShort ends the answer cleanly after Chunk, without an end mark.
	FaultShort FaultKind = "short"
	// FaultDuplicate sends Chunk twice.
	FaultDuplicate FaultKind = "duplicate"
	// FaultReorder sends Chunk after the one that follows it.
	FaultReorder FaultKind = "reorder"
	// FaultGap omits Chunk.
	FaultGap FaultKind = "gap"
	// FaultForeign sends a chunk of another attempt before Chunk.
	FaultForeign FaultKind = "foreign"
	// FaultWrongAnswer sends the answer under the ID of another attempt.
	FaultWrongAnswer FaultKind = "wrong_answer"
	// FaultReject answers 429 (a plain service 503) and runs nothing.
	FaultReject FaultKind = "reject"
	// FaultError runs the request, then answers 500.
	FaultError FaultKind = "error"
	// FaultCrash crashes the engine when it runs the request: all its runs are
	// aborted. A plain service aborts this connection only.
	FaultCrash FaultKind = "crash"
	// FaultHang runs the request and never answers.
	FaultHang FaultKind = "hang"
	// FaultStall stops after Chunk until the client disconnects, or for
	// Delay if that is set.
	FaultStall FaultKind = "stall"
)

// Fault is one fault to inject.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// Match selects requests whose prompt, path or body contains it; empty selects all.
	Match string `json:"match,omitempty"`
	// Count is the number of requests to which it applies; 0 means all.
	Count int `json:"count,omitempty"`
	// Chunk is the number of a chunk of the answer, from 1.
	Chunk       int   `json:"chunk,omitempty"`
	DelayMillis int64 `json:"delay_ms,omitempty"`
	// RetryAfter is the Retry-After of FaultReject; empty for 1 at an engine and
	// none at a plain service.
	RetryAfter string `json:"retry_after,omitempty"`
}

func (f Fault) delay() time.Duration { return time.Duration(f.DelayMillis) * time.Millisecond }

// faults holds the faults to inject and returns each at most Count times.
type faults struct {
	mu   sync.Mutex
	list []Fault
}

func (f *faults) set(list []Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list = slices.Clone(list)
}

// next returns the first fault that matches text and uses up one of its Count.
// Without a match it returns the zero Fault.
func (f *faults) next(text []byte) Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.list {
		x := f.list[i]
		if !bytes.Contains(text, []byte(x.Match)) {
			continue
		}
		if x.Count > 0 {
			f.list[i].Count--
			if f.list[i].Count == 0 {
				f.list = slices.Delete(f.list, i, i+1)
			}
		}
		return x
	}
	return Fault{}
}

// ServeHTTP replaces the faults by the JSON array in the request's body.
func (f *faults) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var list []Fault
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&list); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.set(list)
	w.WriteHeader(http.StatusNoContent)
}

// abortConnection aborts the connection of the request being served.
func abortConnection() { panic(http.ErrAbortHandler) }
