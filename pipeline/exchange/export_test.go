package exchange

import (
	"net/http"
	"time"

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
