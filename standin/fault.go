package standin

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"
)

// FaultKind names a fault.
type FaultKind string

// Kinds of faults. Chunk is Fault.Chunk, Delay is Fault.DelayMillis.
const (
	// FaultSlow waits Delay before each chunk.
	FaultSlow FaultKind = "slow"
	// FaultLate waits Delay before the first chunk.
	FaultLate FaultKind = "late"
	// FaultCut breaks the connection after Chunk; the run can be resumed.
	FaultCut FaultKind = "cut"
	// FaultLost is FaultCut, but the run can't be resumed.
	FaultLost FaultKind = "lost"
	// FaultShort ends the answer cleanly after Chunk, without an end mark.
	FaultShort FaultKind = "short"
	// FaultDuplicate sends Chunk twice.
	FaultDuplicate FaultKind = "duplicate"
	// FaultReorder sends Chunk after the one that follows it.
	FaultReorder FaultKind = "reorder"
	// FaultGap leaves Chunk out.
	FaultGap FaultKind = "gap"
	// FaultForeign sends a chunk of another attempt before Chunk.
	FaultForeign FaultKind = "foreign"
	// FaultWrongAnswer answers as another attempt.
	FaultWrongAnswer FaultKind = "wrong_answer"
	// FaultReject answers 429 and runs nothing.
	FaultReject FaultKind = "reject"
	// FaultError runs, then answers 500.
	FaultError FaultKind = "error"
	// FaultCrash ends the engine's life when it runs the request: all that runs
	// there breaks off. A plain service breaks this connection only.
	FaultCrash FaultKind = "crash"
	// FaultHang runs and never answers.
	FaultHang FaultKind = "hang"
	// FaultStall stops after Chunk until the other side goes away, or for
	// Delay if that is set.
	FaultStall FaultKind = "stall"
)

// Fault is one fault to make.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// Match selects requests whose prompt, path or body holds it; empty means all.
	Match string `json:"match,omitempty"`
	// Count is how many requests it hits; 0 means all.
	Count int `json:"count,omitempty"`
	// Chunk counts from 1.
	Chunk int `json:"chunk,omitempty"`
	// DelayMillis is in milliseconds.
	DelayMillis int64 `json:"delay_ms,omitempty"`
}

func (f Fault) delay() time.Duration { return time.Duration(f.DelayMillis) * time.Millisecond }

// faults holds the faults set, and gives each out at most Count times.
type faults struct {
	mu   sync.Mutex
	list []Fault
}

func (f *faults) set(list []Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list = slices.Clone(list)
}

// take returns the first fault that matches.
func (f *faults) take(text []byte) Fault {
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

// ServeHTTP takes a JSON array of faults that replaces those set.
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

// drop breaks the connection of a request off.
func drop() { panic(http.ErrAbortHandler) }
