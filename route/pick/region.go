package pick

// RegionLoad is the load of a service in another region.
type RegionLoad struct {
	// Targets may get work, and Slots is the sum of theirs.
	Targets, Slots int
	// Load is summed over the targets.
	Load
}

// RegionCost estimates what a call costs at a region's targets, in milliseconds, as
// Choice.Wait does at one of the own region: as if the load were spread evenly. The way
// there is not in it, nor what the call costs others: with that, more requests crossed and
// less was gained by it than the crossing cost (15 paired days, 0.006 +- 0.004 of worth).
func (p *Pool) RegionCost(load RegionLoad, c Call) float64 {
	targets := float64(load.Targets)
	running := float64(load.Running) / targets
	cost := 0.0
	if over := load.Running + 1 - load.Slots; load.Slots > 0 && over > 0 {
		cost += queueCost * float64(over) / targets
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
