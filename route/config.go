package route

import "time"

// Config holds the settings of a Router. New replaces a field's zero value by
// its default.
type Config struct {
	// Region and Zone locate this instance. Requests are sent only to targets
	// of Region; other regions are reached by Spill.
	Region, Zone string
	// Instances is the number of instances that route requests in the region,
	// including this one. It is the prior for the estimate of the peers'
	// attempts, and divides the capacity granted by neighbours. Default 3.
	Instances int

	// ReportStale is the age from which a report's number of requests in flight
	// is replaced by an estimate from own attempts. Default 5s.
	ReportStale time.Duration
	// PeerShare is the fraction of the peers' attempts assumed to be
	// distributed like this instance's own; the rest is assumed to be uniform.
	// Range 0 to 1, default 0.5.
	PeerShare float64
	// PlainTime is the assumed duration of a call to a plain service until
	// calls have been observed. Default 20ms.
	PlainTime time.Duration

	// ZoneDelay is the one-way delay to a target in another zone. Default 500us.
	ZoneDelay time.Duration
	// AdapterLoad is the time a target takes to load an adapter on demand. 0
	// means that targets do not load on demand: only targets that list the
	// adapter serve it. Default 0.
	AdapterLoad time.Duration
	// KVHigh is the share of KV cache memory in use from which a target is
	// expected to queue or preempt requests. Default 1.
	KVHigh float64

	// CacheBlocks bounds the prefix blocks tracked per target. Default 4096.
	CacheBlocks int
	// AffinityTargets is the number of targets preferred for a prefix that no
	// target is known to hold; at most 4. Default 2.
	AffinityTargets int
	// AffinityGain is the fraction of the prefill time of the new blocks
	// credited to a preferred target. It bounds how much longer a queue
	// affinity accepts. Default 0.3.
	AffinityGain float64

	// HitWeight is the weight of a second of prefill saved by a prefix hit
	// relative to a second of waiting. A value above 1 accounts for the delay
	// that the prefill would cause to other requests. Default 3.
	HitWeight float64

	// MaxScored is the number of targets of a service scored per decision, in
	// addition to those that hold its prefix. Default 192.
	MaxScored int
	// PickTemperature is the temperature of the picker as a fraction of the
	// best predicted time to first token; MinPickTemperature is its lower
	// bound. Defaults 0.08 and 4ms.
	PickTemperature    float64
	MinPickTemperature time.Duration

	// EjectFactor is how many times slower than its service's median a target
	// must be to be ejected as grey. Default 2.5.
	EjectFactor float64
	// EjectShare is the share of a service's targets up to which grey ones are
	// ejected; broken targets count towards it. Default 0.34.
	EjectShare float64
	// EjectFor is the duration of a target's first exclusion, by ejection or by
	// its circuit breaker. It doubles with each further one, up to a factor of
	// 16, until a success after the circuit breaker opened. Default 5s.
	EjectFor time.Duration
	// BreakAfter is the number of consecutive failed attempts that opens a
	// target's circuit breaker. Default 3.
	BreakAfter int
	// SlowStart is the time over which a newly warm target ramps up to its full
	// share. Default 10s.
	SlowStart time.Duration

	// ShedWait is the predicted queueing time at which the lowest priority is
	// shed; each higher priority adds the same amount. The highest priority is
	// never shed. Default 4s.
	ShedWait time.Duration
	// MinAdmitShare is the fraction of requests over their priority's wait
	// bound that are admitted, so that low priorities do not starve. Default
	// 0.1.
	MinAdmitShare float64

	// SpillMargin is how much sooner a neighbour must be predicted to respond
	// before a request that could be served in time here is spilled. Spilling
	// stops when the gain falls below half of it. Default 4s.
	SpillMargin time.Duration
	// SummaryStale is the age from which a neighbour's summary no longer grants
	// capacity. Default 5s.
	SummaryStale time.Duration
	// GrantLoad is the utilisation up to which capacity is granted to
	// neighbours. Default 0.9.
	GrantLoad float64
	// GrantWait is the predicted queueing time at which nothing is granted;
	// below it, grants shrink linearly with the wait. Default 1.5s.
	GrantWait time.Duration
	// GrantRamp is the fraction of the capacity by which grants may rise per
	// second. Default 0.2.
	GrantRamp float64

	// HedgeFactor is the multiple of the predicted time to first token after
	// which a second attempt is worth starting. Default 4.
	HedgeFactor float64
	// HedgeMin is the minimum delay before a second attempt. Default 1s.
	HedgeMin time.Duration
}

// orDefault sets *v to def if it is zero.
func orDefault[T int | float64 | time.Duration](v *T, def T) {
	if *v == 0 {
		*v = def
	}
}

func (c Config) withDefaults() Config {
	orDefault(&c.Instances, 3)
	orDefault(&c.ReportStale, 5*time.Second)
	orDefault(&c.PeerShare, 0.5)
	orDefault(&c.PlainTime, 20*time.Millisecond)
	orDefault(&c.ZoneDelay, 500*time.Microsecond)
	orDefault(&c.KVHigh, 1)
	orDefault(&c.CacheBlocks, 4096)
	orDefault(&c.AffinityTargets, 2)
	orDefault(&c.AffinityGain, 0.3)
	orDefault(&c.HitWeight, 3)
	orDefault(&c.MaxScored, 192)
	orDefault(&c.PickTemperature, 0.08)
	orDefault(&c.MinPickTemperature, 4*time.Millisecond)
	orDefault(&c.EjectFactor, 2.5)
	orDefault(&c.EjectShare, 0.34)
	orDefault(&c.EjectFor, 5*time.Second)
	orDefault(&c.BreakAfter, 3)
	orDefault(&c.SlowStart, 10*time.Second)
	orDefault(&c.ShedWait, 4*time.Second)
	orDefault(&c.MinAdmitShare, 0.1)
	orDefault(&c.SpillMargin, 4*time.Second)
	orDefault(&c.SummaryStale, 5*time.Second)
	orDefault(&c.GrantLoad, 0.9)
	orDefault(&c.GrantWait, 1500*time.Millisecond)
	orDefault(&c.GrantRamp, 0.2)
	orDefault(&c.HedgeFactor, 4)
	orDefault(&c.HedgeMin, time.Second)
	return c
}
