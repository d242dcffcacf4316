package exchange

import "time"

// TripMillis returns the estimated round trip to another region, in milliseconds.
func (g *Gateway) TripMillis(region string) float64 { return g.trips.To(region) }

// SetStartWait sets how long requests wait for the first view.
func (g *Gateway) SetStartWait(d time.Duration) { g.startWait = d }

// ForwardAfterRefusals makes a region that has refused count like any other at once.
func (g *Gateway) ForwardAfterRefusals() { g.refusalPause = 0 }

// SetUptime makes the process appear to have run for d.
func (g *Gateway) SetUptime(d time.Duration) { g.retries.startedAt = time.Now().Add(-d) }
