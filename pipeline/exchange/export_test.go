package exchange

import "time"

// TripTo is what the way to another region is taken to cost, in milliseconds.
func (g *Gateway) TripMillis(region string) float64 { return g.trips.To(region) }

// WaitAtStart is how long requests wait for the first view.
func (g *Gateway) SetStartWait(d time.Duration) { g.startWait = d }

// PassOnAfterRefusals has a region that has refused count as any other again.
func (g *Gateway) ForwardAfterRefusals() { g.leaveOut = 0 }

// BeganBefore has the process run for so long.
func (g *Gateway) SetUptime(d time.Duration) { g.repeats.began = time.Now().Add(-d) }
