package pick

// Regions peak at different times of the day: one may have 2.2 times the load that its engines can
// prefill while the others are nearly idle.

// RegionLoad is the load of a service in another region.
type RegionLoad struct {
	// Targets is the number of usable targets, and Slots the sum of their slots.
	Targets, Slots int
	// Load is the sum over the targets.
	Load
	// Prefill is the recent prefill speed of the engines there.
	Prefill PrefillSums
	// Software is the number of targets by version of their software, also of those that are not usable;
	// nil if it is not known.
	Software map[string]int
	// LoadUnknown says that Load and Prefill are not known.
	LoadUnknown bool
}

// Has reports whether the region may have a target of a software version; empty for any.
func (l RegionLoad) Has(software string) bool {
	return software == "" || l.Software == nil || l.Software[software] > 0
}

// RegionCost estimates what a call costs at another region's targets, in milliseconds, comparable
// to Choice.Wait in the own region, as if the load were spread evenly. load.Targets must be above
// 0. The round trip is not included, nor is the cost to other requests: with the latter, more
// requests are forwarded than benefit.
//
// The prefill speed is the one that the other region reports. With the own region's speed instead,
// which at its peak includes its queues, idle regions would look as slow and be left alone just
// when they are needed.
func (p *Pool) RegionCost(region string, load RegionLoad, c Call) float64 {
	targets := float64(load.Targets)
	running := float64(load.Running) / targets
	cost := 0.0
	if over := load.Running + 1 - load.Slots; load.Slots > 0 && over > 0 {
		cost += queueCostMillis * float64(over) / targets
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.snapshot.Rules[c.Service].Engine {
		return cost + slotCostMillis*float64(load.Running)/float64(max(1, load.Slots))
	}
	tokens := float64(load.PendingPrefill.Ahead(c.Rank))/targets + c.prefillTokensIn(region)
	return cost + load.Prefill.millisPerKilo()*tokens/1000 + runningCostMillis*running
}

// prefillTokensIn is the number of prompt tokens that another region has to prefill, on an estimate
// that all instances share without communication: each shared prefix has a position from 0 to 1 in
// an order of the region, and that share of it counts as not cached there.
//
// So the same prefixes are spilled over first, to the same region, which then caches them. As the
// own region fills up, more follow one after another, not all at once on the same update as with an
// equal cached share for all.
func (c *Call) prefillTokensIn(region string) float64 {
	if len(c.Parts) < 2 {
		return float64(c.PromptTokens)
	}
	chain := c.chain()
	shared := chain[len(chain)-2]
	return float64(c.PromptTokens) - (1-spilloverOrder(shared.key, region))*float64(shared.tokens)
}

// spilloverOrder is the position of a key in the order of a region, in [0, 1).
func spilloverOrder(key uint64, region string) float64 {
	const bits = 53
	return float64(weight(key, region)>>(64-bits)) / (1 << bits)
}
