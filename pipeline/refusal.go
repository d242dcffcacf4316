package pipeline

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/ports"
)

// Refusal is the JSON body of every refusal and failure.
type Refusal struct {
	Error RefusalDetail `json:"error"`
}

// RefusalDetail says what happened and whether a retry can help.
type RefusalDetail struct {
	Code    verdict.Code    `json:"code"`
	Verdict verdict.Verdict `json:"verdict"`
	Message string          `json:"message"`
	// RetryAfterMillis is 0 and left out where a later retry makes no difference.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
}

// RefusalOf returns the body for an error, without the underlying error.
func RefusalOf(e *verdict.Error) Refusal {
	return Refusal{Error: RefusalDetail{
		Code:             e.Code,
		Verdict:          e.Verdict,
		Message:          e.Message,
		RetryAfterMillis: ceilMillis(e.RetryAfter),
	}}
}

func ceilMillis(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

// WriteRefusal writes an error as the response, with status, headers and body.
func WriteRefusal(w http.ResponseWriter, e *verdict.Error) {
	body, _ := json.Marshal(RefusalOf(e))
	h := w.Header()
	h.Set("Content-Type", ports.ContentTypeJSON)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(HeaderVerdict, e.Verdict.String())
	if e.RetryAfter > 0 {
		h.Set(HeaderRetryAfter, strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	w.WriteHeader(StatusOf(e.Code))
	_, _ = w.Write(body)
}

// errorEvent returns the last event of a stream that ends early. No end mark
// may follow it, so that the answer can't be taken for a whole one.
func errorEvent(e *verdict.Error) []byte {
	body, _ := json.Marshal(RefusalOf(e))
	event := append([]byte("event: error\ndata: "), body...)
	return append(event, "\n\n"...)
}
