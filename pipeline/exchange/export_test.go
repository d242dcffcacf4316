package exchange

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"time"

	"github.com/gullhaven/gullhaven/bundle/routes"
	"github.com/gullhaven/gullhaven/ports/rawhttp"
	"github.com/gullhaven/gullhaven/route/pick"
)

// ForwardedTimeout returns what a request that is forwarded with so much time left says of it.
func (g *Gateway) ForwardedTimeout(left time.Duration) string {
	now := time.Now()
	q := &request{g: g, view: g.View(), r: &http.Request{Header: http.Header{}}, deadline: now.Add(left)}
	return q.peerRequest(now).Header.Get(headerTimeout)
}

// TripMillis returns the estimated round trip to another region, in milliseconds.
func (g *Gateway) TripMillis(region string) float64 { return g.trips.To(region) }

// OverlapWith returns for how long a hedge in another region may be without an event beside a run in this
// one, when a round trip to it has taken so long many times.
func (g *Gateway) OverlapWith(region string, trip time.Duration) time.Duration {
	const trips = 100
	for range trips {
		g.trips.Learn(region, float64(trip.Milliseconds()), 0)
	}
	here, there := &destination{choice: &pick.Choice{}}, &destination{peer: Peer{Region: region}}
	return (&request{g: g}).overlap(here, there)
}

// SetStartWait sets how long requests wait for the first view.
func (g *Gateway) SetStartWait(d time.Duration) { g.startWait = d }

// SetStreamIdle sets how long a stream may be silent before another place is looked for, at once and
// then again.
func (g *Gateway) SetStreamIdle(d time.Duration) { g.streamIdle, g.placeSearch = d, d }

// SetMaxOverlap sets how long two targets may run one stream.
func (g *Gateway) SetMaxOverlap(d time.Duration) { g.maxOverlap = d }

// ForwardAfterRefusals makes a region that has refused count like any other at once.
func (g *Gateway) ForwardAfterRefusals() { g.refusalPause = 0 }

// KeepRefusals makes the refusals of regions count for d.
func (g *Gateway) KeepRefusals(d time.Duration) { g.refusalPause = d }

// SetUptime makes the process appear to have run for d.
func (g *Gateway) SetUptime(d time.Duration) { g.retries.startedAt = time.Now().Add(-d) }

// PassesOn reports whether a run passes on an event that it has read, if a hedge goes on with the request since
// before.
func PassesOn(hedged bool) bool {
	w := &runWatch{waiting: true}
	if hedged {
		w.found = &hedge{}
	}
	return !w.endWait(nil)
}

// Overtaken is what becomes of a run that a hedge overtakes.
type Overtaken struct {
	// Passed is what the caller got of the run, and Whole says that it was taken for the whole answer.
	Passed string
	Whole  bool
	// GoesOn says that the hedge goes on with the request, and Runs is the number of runs until then.
	GoesOn bool
	Runs   int
}

// Overtake relays the stream of the target at one address, and has the stream of that at another one, as a hedge, go on
// with the request after the n-th event was read, or the end after the last one, and before that is passed on.
func (g *Gateway) Overtake(run, other string, n int) (Overtaken, error) {
	w := httptest.NewRecorder()
	q := &request{
		g: g, w: w, r: httptest.NewRequest(http.MethodPost, "/", nil), view: g.View(), ctx: context.Background(), maxRuns: 3,
		route: &routes.Route{Kind: routes.Stream, Resumable: true}, deadline: time.Now().Add(time.Hour),
	}
	begin := func(address string) (*stream, error) {
		ctx, cancel := context.WithCancelCause(q.ctx)
		a, err := g.o.Targets.Do(ctx, address, &rawhttp.Request{Method: http.MethodPost, Target: "/", Header: http.Header{"Id": {"id-1"}}})
		if err != nil {
			cancel(nil)
			return nil, err
		}
		return newStream(ctx, cancel, a, &destination{}), nil
	}
	s, err := begin(run)
	if err != nil {
		return Overtaken{}, err
	}
	h, err := begin(other)
	if err != nil {
		return Overtaken{}, err
	}
	if err := h.readAhead(); err != nil {
		return Overtaken{}, err
	}
	text, err := io.ReadAll(s.a.Body)
	if err != nil {
		return Overtaken{}, err
	}
	q.watch = q.watchRun(s.p, s.interrupt)
	q.watch.awaitAnswer()
	s.e.r.Reset(&overtakenBody{events: bytes.SplitAfter(text, []byte("\n\n")), left: n, take: func() {
		q.watch.mu.Lock()
		defer q.watch.mu.Unlock()
		q.watch.found = &hedge{to: h.p, s: h, cancel: h.interrupt}
		q.watch.interrupt(errSilent)
	}})
	whole, _ := q.relayStream(s)
	q.endWatch(whole)
	o := Overtaken{Passed: w.Body.String(), Whole: whole, GoesOn: q.hedge != nil, Runs: q.runs}
	q.takeHedge().withdraw()
	return o, nil
}

// overtakenBody returns an event or the end with each read, and takes the hedge when left reads are done. Later ones
// fail, as the run is interrupted.
type overtakenBody struct {
	events [][]byte
	left   int
	take   func()
}

func (b *overtakenBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, os.ErrDeadlineExceeded
	}
	if b.left--; b.left == 0 {
		b.take()
	}
	event := b.events[0]
	if len(event) == 0 {
		return 0, io.EOF
	}
	b.events = b.events[1:]
	return copy(p, event), nil
}
