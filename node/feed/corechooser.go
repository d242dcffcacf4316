package feed

import "time"

// avoidTime is how long a core instance that did not answer is skipped while others do: a report to
// an unreachable one costs most of a second.
const avoidTime = 3 * time.Second

// CoreChooser chooses which core instance an entry instance follows, that is, reports to. It is not
// safe for concurrent use.
//
// Without it, while the regions are partitioned and no core instance has a leader, an instance that
// looks for one among unreachable ones would for seconds get no updates of its own region either,
// where targets meanwhile return cold.
type CoreChooser struct {
	results map[string]result
}

type result struct {
	failedAt time.Time
	// noLeader says that its last answer reported no leader.
	noLeader bool
}

// NewCoreChooser returns a CoreChooser without results.
func NewCoreChooser() *CoreChooser { return &CoreChooser{results: map[string]result{}} }

// RecordAnswer records an answer of a core instance; hasLeader is Update.HasLeader.
func (c *CoreChooser) RecordAnswer(id string, hasLeader bool) {
	c.results[id] = result{noLeader: !hasLeader}
}

// RecordFailure records that a core instance did not answer a report.
func (c *CoreChooser) RecordFailure(now time.Time, id string) { c.results[id] = result{failedAt: now} }

// Choose returns the core instance to follow. candidates are in the order of preference. It is the
// first that answers and has a leader, or is untried; else the first that answers; else the
// one that failed longest ago. It is empty without candidates.
func (c *CoreChooser) Choose(now time.Time, candidates []string) string {
	answering, oldest := "", ""
	for _, id := range candidates {
		r := c.results[id]
		if !r.failedAt.IsZero() && now.Sub(r.failedAt) < avoidTime {
			if oldest == "" || r.failedAt.Before(c.results[oldest].failedAt) {
				oldest = id
			}
			continue
		}
		if !r.noLeader && r.failedAt.IsZero() {
			return id
		}
		if answering == "" {
			answering = id
		}
	}
	if answering != "" {
		return answering
	}
	return oldest
}

// ChooseOther returns another core instance to compare the followed one with, starting at index
// offset; empty if there is none.
func (c *CoreChooser) ChooseOther(offset int, followed string, candidates []string) string {
	for k := range candidates {
		if id := candidates[(offset+k)%len(candidates)]; id != followed {
			return id
		}
	}
	return ""
}
