package pipeline

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/gullhaven/gullhaven/bundle"
)

// resting is a target that turns requests away and asks for rest.
type resting struct {
	arrived atomic.Int64
	status  int
}

func (x *resting) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	x.arrived.Add(1)
	w.Header().Set("Retry-After", "60")
	w.WriteHeader(x.status)
}

// Guards against requests to a target that has turned one away and said when it wants more.
func TestTargetThatAsksForRestGetsNoRequests(t *testing.T) {
	for _, c := range []struct {
		name, service string
		status        int
		call          call
	}{
		{"a plain service that rests", "lookups", 503, call{method: "GET", path: "/services/lookups/x"}},
		{"an engine that rests", "briefing-llm", 503, call{body: chat("p", false, 2)}},
		{"an engine that is busy", "briefing-llm", 429, call{body: chat("p", false, 2)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := &resting{status: c.status}
			r := newRig(t, func(r *rig) {
				for range 3 {
					r.addTarget(c.service, "rests-"+strconv.Itoa(len(r.b.Targets)), r.listen(x))
				}
			})
			for range 60 {
				r.do(c.call)
			}
			if n := x.arrived.Load(); n < 1 || n > 3 {
				t.Errorf("%d requests reached three resting targets", n)
			}
		})
	}
}

// Guards against refusals with another time than the end of the first rest, and against requests
// that are sent during it.
func TestCallersAreToldWhenTheFirstRestEnds(t *testing.T) {
	x := &resting{status: http.StatusServiceUnavailable}
	r := newRig(t, withBundle(func(b *bundle.Bundle) {
		b.Services = append(b.Services, bundle.Service{ID: "archive", Kind: bundle.KindPlain, DefaultDeadlineMillis: 30000})
	}), func(r *rig) { r.addTarget("archive", "rests", r.listen(x)) })
	request := call{method: "GET", path: "/services/archive/x"}
	r.do(request)
	for range 5 {
		got := r.do(request)
		after, err := strconv.Atoi(got.Header.Get(HeaderRetryAfter))
		if got.StatusCode != http.StatusServiceUnavailable || err != nil || after < 50 || after > 62 {
			t.Errorf("status %d, Retry-After %q", got.StatusCode, got.Header.Get(HeaderRetryAfter))
		}
	}
	if n := x.arrived.Load(); n != 1 {
		t.Errorf("%d requests reached the resting target", n)
	}
}
