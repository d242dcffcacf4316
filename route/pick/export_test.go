package pick

// SlownessOf returns how many times longer a target's first events took than estimated.
func (p *Pool) SlownessOf(id string) float64 { return p.targets[id].slowness }
