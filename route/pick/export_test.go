package pick

// SlownessOf is how many times longer a target's first events took than was expected.
func (p *Pool) SlownessOf(id string) float64 { return p.targets[id].slowness }
