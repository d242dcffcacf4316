package quotas

import "time"

// Told is told use: each instance tells what it let pass a few times a second, and lets pass
// by what is left of one bucket as far as it has heard.
type UsageBroadcast struct {
	load   *Load
	tokens [Regions][Instances]float64
	at     time.Time
	// untold is what each instance has let pass since it told last.
	untold [Regions][Instances]float64
	toldAt time.Time
	news   []use
}

type use struct {
	region, instance int
	units            float64
	at               time.Time
}

// NewTold makes the scheme.
func NewUsageBroadcast(l *Load) *UsageBroadcast {
	t := &UsageBroadcast{load: l}
	for r := range Regions {
		for i := range Instances {
			t.tokens[r][i] = l.Limit.Burst
		}
	}
	return t
}

// Take implements Scheme.
func (t *UsageBroadcast) Take(_ time.Time, region, instance int, units float64) bool {
	if t.tokens[region][instance] <= 0 {
		return false
	}
	t.tokens[region][instance] -= units
	t.untold[region][instance] += units
	return true
}

// Step implements Scheme.
func (t *UsageBroadcast) Step(now time.Time) {
	if !t.at.IsZero() {
		more := t.load.Limit.Rate * now.Sub(t.at).Seconds()
		for r := range Regions {
			for i := range Instances {
				t.tokens[r][i] = min(t.load.Limit.Burst, t.tokens[r][i]+more)
			}
		}
	}
	t.at = now
	if now.Sub(t.toldAt) >= reportEvery {
		t.toldAt = now
		for r := range Regions {
			for i := range Instances {
				if t.untold[r][i] > 0 {
					t.news = append(t.news, use{r, i, t.untold[r][i], now})
				}
				t.untold[r][i] = 0
			}
		}
	}
	left := t.news[:0]
	for _, n := range t.news {
		if t.deliver(now, n) {
			left = append(left, n)
		}
	}
	t.news = left
}

// deliver takes an instance's news to the others, inside the region at the next telling and to
// other regions a trip later, and reports whether it is still on its way.
func (t *UsageBroadcast) deliver(now time.Time, n use) bool {
	age := now.Sub(n.at)
	for r := range Regions {
		due := reportEvery
		if r != n.region {
			due = 2*reportEvery + trip
		}
		if age >= due && age < due+step {
			for i := range Instances {
				if r != n.region || i != n.instance {
					t.tokens[r][i] -= n.units
				}
			}
		}
	}
	return age < 2*reportEvery+trip+step
}
