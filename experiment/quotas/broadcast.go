package quotas

import "time"

// UsageBroadcast is a scheme in which each instance broadcasts its use a few times a second, and
// allows requests by its own copy of one bucket for all instances.
type UsageBroadcast struct {
	load   *Load
	tokens [Regions][Instances]float64
	at     time.Time
	// unsent is the use of each instance since its last broadcast.
	unsent    [Regions][Instances]float64
	sentAt    time.Time
	inTransit []usageUpdate
}

type usageUpdate struct {
	region, instance int
	units            float64
	at               time.Time
}

// NewUsageBroadcast returns the scheme.
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
	t.unsent[region][instance] += units
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
	if now.Sub(t.sentAt) >= reportInterval {
		t.sentAt = now
		for r := range Regions {
			for i := range Instances {
				if t.unsent[r][i] > 0 {
					t.inTransit = append(t.inTransit, usageUpdate{r, i, t.unsent[r][i], now})
				}
				t.unsent[r][i] = 0
			}
		}
	}
	left := t.inTransit[:0]
	for _, n := range t.inTransit {
		if t.deliver(now, n) {
			left = append(left, n)
		}
	}
	t.inTransit = left
}

// deliver applies an instance's update at the others: inside the region after one reportInterval,
// in other regions after two and crossRegionDelay. It reports whether the update is still in transit.
func (t *UsageBroadcast) deliver(now time.Time, n usageUpdate) bool {
	age := now.Sub(n.at)
	for r := range Regions {
		due := reportInterval
		if r != n.region {
			due = 2*reportInterval + crossRegionDelay
		}
		if age >= due && age < due+timeStep {
			for i := range Instances {
				if r != n.region || i != n.instance {
					t.tokens[r][i] -= n.units
				}
			}
		}
	}
	return age < 2*reportInterval+crossRegionDelay+timeStep
}
