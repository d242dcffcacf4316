package pipeline

import (
	"net/http/httptest"
	"testing"

	"github.com/gullhaven/gullhaven/coord/verdict"
)

// Guards against a status that promises "not run" for a request whose earlier attempt may have run.
func TestStatusOfARequestThatMayHaveRunPromisesNothing(t *testing.T) {
	for code := range statuses {
		for _, v := range []verdict.Verdict{verdict.NotRun, verdict.MayHaveRun, verdict.Ran} {
			w := httptest.NewRecorder()
			WriteRefusal(w, verdict.New(v, code, "text"))
			switch {
			case v == verdict.NotRun && w.Code != StatusOf(code):
				t.Errorf("%s, %s: %d, want %d", code, v, w.Code, StatusOf(code))
			case v != verdict.NotRun && (w.Code == 421 || w.Code == 429 || w.Code == 503):
				t.Errorf("%s, %s: %d", code, v, w.Code)
			}
		}
	}
}
