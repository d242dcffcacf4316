package exchange

// TripTo is what the way to another region is taken to cost, in milliseconds.
func (g *Gateway) TripTo(region string) float64 { return g.trips.To(region) }

// PassOnAfterRefusals has a region that has refused count as any other again.
func (g *Gateway) PassOnAfterRefusals() { g.leaveOut = 0 }
