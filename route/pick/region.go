package pick

// The load pattern: regions reach their peaks at different times of the day. One has 2.2
// times what its engines can read while the others are nearly idle.

// RegionLoad is the load of a service in another region.
type RegionLoad struct {
	// Targets may get work, and Slots is the sum of theirs.
	Targets, Slots int
	// Load is summed over the targets.
	Load
	// Read tells how fast the engines there read lately.
	Prefill PrefillSums
	// Untold says that Load and Read are not known.
	LoadUnknown bool
}

// RegionCost estimates what a call costs at a region's targets, in milliseconds, as
// Choice.Wait does at one of the own region: as if the load were spread evenly. The way
// there is not in it, nor what the call costs others: with that, more requests cross than
// gain by it.
//
// Engines elsewhere read at the pace that they are told to have. What goes wrong with the
// pace of the own region in its place: at its peak that holds the crowd at home, so idle
// regions look as slow, and are left alone just when they are needed.
func (p *Pool) RegionCost(region string, load RegionLoad, c Call) float64 {
	targets := float64(load.Targets)
	running := float64(load.Running) / targets
	cost := 0.0
	if over := load.Running + 1 - load.Slots; load.Slots > 0 && over > 0 {
		cost += queueCost * float64(over) / targets
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.snapshot.Rules[c.Service].Engine {
		return cost + slotCost*float64(load.Running)/float64(max(1, load.Slots))
	}
	tokens := float64(load.PendingPrefill.Ahead(c.Rank))/targets + c.unreadIn(region)
	return cost + load.Prefill.perKilo()*tokens/1000 + runningCost*running
}

// unreadIn is what is read of the prompt in another region, in tokens, as far as all
// instances agree without being told: each subject has its place in an order of the region,
// from 0 to 1, and that share of its shared parts is taken as unread there.
//
// So the same subjects are passed on first, and on to the same region, which then keeps
// them; as the own region fills, more follow, one after another in place of all at once
// on the same news, as with one share of kept parts for all subjects.
func (c *Call) unreadIn(region string) float64 {
	if len(c.Parts) < 2 {
		return float64(c.PromptTokens)
	}
	chain := c.chain()
	shared := chain[len(chain)-2]
	return float64(c.PromptTokens) - (1-placeIn(shared.key, region))*float64(shared.tokens)
}

// placeIn is the place of a key in the order of a region, in [0, 1).
func placeIn(key uint64, region string) float64 {
	const bits = 53
	return float64(weight(key, region)>>(64-bits)) / (1 << bits)
}
