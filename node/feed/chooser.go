package feed

import "time"

// avoidFor is how long a core instance that did not answer is passed over while
// others do: a report to one that is cut off costs most of a second.
const avoidFor = 3 * time.Second

// Chooser decides which core instance an entry instance follows. What goes wrong
// without it: while the regions are cut from each other nobody hears from a leader,
// and an instance that looks for one among those out of reach hears for seconds
// nothing of its own region either, where targets come back cold meanwhile. It
// belongs to one goroutine at a time.
type CoreChooser struct {
	tried map[string]attempt
}

type attempt struct {
	failedAt time.Time
	// unled says that it answered last without a leader.
	unled bool
}

// NewChooser makes a Chooser that has tried none.
func NewCoreChooser() *CoreChooser { return &CoreChooser{tried: map[string]attempt{}} }

// Answered notes an answer; led is Update.Led.
func (c *CoreChooser) RecordAnswer(id string, led bool) { c.tried[id] = attempt{unled: !led} }

// Failed notes that a report was not answered.
func (c *CoreChooser) RecordFailure(now time.Time, id string) { c.tried[id] = attempt{failedAt: now} }

// Follow returns the instance to report to, of candidates in the order of preference:
// the first that answers and hears from a leader, or is untried; else the first that
// answers; else the one that failed longest ago. It is empty without candidates.
func (c *CoreChooser) Choose(now time.Time, candidates []string) string {
	answering, oldest := "", ""
	for _, id := range candidates {
		a := c.tried[id]
		if !a.failedAt.IsZero() && now.Sub(a.failedAt) < avoidFor {
			if oldest == "" || a.failedAt.Before(c.tried[oldest].failedAt) {
				oldest = id
			}
			continue
		}
		if !a.unled && a.failedAt.IsZero() {
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

// Compare returns another instance to ask for news beside the followed one, in turn;
// empty if there is none.
func (c *CoreChooser) ChooseOther(turn int, followed string, candidates []string) string {
	for k := range candidates {
		if id := candidates[(turn+k)%len(candidates)]; id != followed {
			return id
		}
	}
	return ""
}
