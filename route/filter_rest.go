package route

import "time"

// rest is what a target that turned a request away has asked this instance for, in seconds.
type rest struct {
	// until is the end of the rest, in which it wants no requests. busyUntil is when it expects
	// not to be too busy any more.
	until, busyUntil float64
}

// learn records the rest and the busy time of an attempt's end.
func (s *rest) learn(at float64, e End) {
	s.until = max(s.until, at+e.Rest.Seconds())
	if e.Busy > 0 {
		s.busyUntil = at + e.Busy.Seconds()
	}
}

// restFilter drops targets that have asked this instance for rest. Those that are only busy are
// kept if there is no other.
type restFilter struct{}

func (restFilter) Apply(_ *Snapshot, in []Candidate) []Candidate {
	in = keep(in, func(c *Candidate) bool { return c.RestFor <= 0 })
	return keepSome(in, func(c *Candidate) bool { return c.BusyFor <= 0 })
}

// restLeft returns the time until the first warm target of a service ends its rest, if all of them
// rest; else 0.
func (s *service) restLeft(at float64) time.Duration {
	least := 0.0
	for _, t := range s.list {
		if t.spec.State != Warm {
			continue
		}
		left := t.rest.until - at
		if left <= 0 {
			return 0
		}
		if least == 0 || left < least {
			least = left
		}
	}
	return duration(least)
}
