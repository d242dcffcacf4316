package exchange

// PassOnAfterRefusals has a region that has refused count as any other again.
func (g *Gateway) PassOnAfterRefusals() { g.leaveOut = 0 }
