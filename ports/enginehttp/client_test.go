package enginehttp_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/ports"
	"github.com/gullhaven/gullhaven/ports/enginehttp"
	"github.com/gullhaven/gullhaven/ports/plainhttp"
	"github.com/gullhaven/gullhaven/ports/transport"
)

// Guards against a late second copy of an answer that is taken for that of the next attempt: a rejection
// would tell a caller that its request has not run, a failure or a body would be another request's.
func TestAnswerOfAnotherAttemptTellsNothing(t *testing.T) {
	for _, status := range []int{200, 400, 404, 429, 500, 503} {
		Convey(http.StatusText(status), t, func() {
			target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(ports.HeaderAttempt, "other")
				w.Header().Set(ports.HeaderVerdict, verdict.NotRun.String())
				w.Header().Set("Retry-After", "5")
				w.WriteHeader(status)
			}))
			defer target.Close()
			transports := transport.NewTransports(transport.Options{})
			defer transports.Close()
			address := strings.TrimPrefix(target.URL, "http://")
			_, err := enginehttp.New(address, transports).Complete(t.Context(), ports.Completion{Attempt: "own", Body: []byte("{}")})
			shouldBeWrongAnswer(err)
			_, err = plainhttp.New(address, transports).Do(t.Context(), ports.PlainRequest{Attempt: "own", Method: http.MethodGet, Path: "/"})
			shouldBeWrongAnswer(err)
		})
	}
}

func shouldBeWrongAnswer(err error) {
	e, ok := err.(*verdict.Error)
	So(ok, ShouldBeTrue)
	So(e.Code, ShouldEqual, ports.CodeWrongAnswer)
	So(e.Verdict, ShouldEqual, verdict.MayHaveRun)
	So(e.RetryAfter, ShouldBeZeroValue)
}
