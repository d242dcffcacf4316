package pick

// The load pattern: one region is at its peak while the others are in their valley, or
// has lost a part of its targets.
//
// What goes wrong without this score: regions were compared by the time to the first
// event. An engine that reads soon can be full of running answers, so a region of 6
// engines with 65 answers each, whose memory was used up and where a token took 26 ms,
// sent nothing to one with 29 at each engine and 14 ms a token.

// RegionLoad is the load of a service in another region.
type RegionLoad struct {
	// Targets may get work, and Slots is the sum of theirs.
	Targets, Slots int
	// Load is summed over the targets.
	Load
}

// RegionCost estimates what a call costs at a region's targets, in milliseconds, as
// Choice.Wait does at one of the own region: as if the load were spread evenly. The way
// there is not in it.
func (p *Pool) RegionCost(load RegionLoad, c Call) float64 {
	targets := float64(load.Targets)
	running := float64(load.Running) / targets
	cost := 0.0
	if over := load.Running + 1 - load.Slots; load.Slots > 0 && over > 0 {
		cost += QueueCost * float64(over) / targets
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	rules := p.snapshot.Rules[c.Service]
	if !rules.Engine {
		return cost + slotCost*float64(load.Running)/float64(max(1, load.Slots))
	}
	// Engines elsewhere are taken to read as fast as here.
	cost += p.pace(c.Service).until(float64(load.Unread.Ahead(c.Rank))/targets + float64(c.PromptTokens))
	return cost + runningCost*running
}
