package route

import "time"

// Config are the settings of a Router. The zero value of a field stands for
// its default; New fills it in.
type Config struct {
	// Region and Zone are where this instance runs. Only targets of Region
	// are sent to; other regions are reached by Spill.
	Region, Zone string
	// Instances is how many instances of the region decide alike, this one
	// included. It is where the estimate of the peers' sendings starts, and it
	// divides what neighbours grant. Default 3.
	Instances int

	// ReportStale is the age at which a load report is no longer believed to
	// describe the target; own sendings count alone then. Default 5s.
	ReportStale time.Duration
	// PeerShare is the part of the peers' sendings assumed to follow this
	// instance's own choices of target; the rest is assumed even. Range 0 to 1,
	// default 0.5.
	PeerShare float64
	// PlainTime is the assumed time of one call of a plain service until calls
	// have been seen. Default 20ms.
	PlainTime time.Duration

	// ZoneDelay is the one-way delay to a target in another zone. Default 500us.
	ZoneDelay time.Duration
	// AdapterLoad is the time that a target takes to load an adapter on
	// demand. 0 means that targets load none: only the ones that list the
	// adapter serve it. Default 0.
	AdapterLoad time.Duration
	// KVHigh is the share of KV cache memory from which a target is expected
	// to make requests wait or to preempt. Default 1.
	KVHigh float64

	// CacheBlocks bounds the prefix blocks remembered for each target. Default 4096.
	CacheBlocks int
	// AffinityTargets is how many targets are preferred for a prefix nobody
	// is known to hold. Default 2.
	AffinityTargets int
	// AffinityGain is the part of the prefill time of the new blocks that a
	// preferred target is credited with. It bounds how much longer a queue
	// affinity accepts. Default 0.3.
	AffinityGain float64

	// HitWeight is how much a second of prefill saved by a prefix hit weighs
	// against a second of waiting. Above 1 it counts that the saved work delays
	// others as well. Default 3.
	HitWeight float64

	// MaxScored is how many targets of a service are looked at for a decision,
	// besides those that hold its prefix. Default 192.
	MaxScored int
	// PickSpread is the temperature of the picker as a part of the best
	// score, and PickFloor its least value. Defaults 0.08 and 4ms.
	PickTemperature    float64
	MinPickTemperature time.Duration

	// EjectFactor is how many times slower than the median of its service a
	// target is before it is ejected as grey. Default 2.5.
	EjectFactor float64
	// EjectShare bounds the share of a service's targets ejected at once.
	// Default 0.34.
	EjectShare float64
	// EjectFor is the first time of an ejection; it doubles with each in a
	// row, up to sixteen times. Default 5s.
	EjectFor time.Duration
	// BreakAfter is the number of failed attempts in a row that opens the
	// breaker of a target. Default 3.
	BreakAfter int
	// SlowStart is the time over which a newly warm target is given its full
	// share. Default 10s.
	SlowStart time.Duration

	// ShedWait is the predicted queueing time at which the lowest priority is
	// shed; each higher one bears as much more. The highest is never shed.
	// Default 4s.
	ShedWait time.Duration
	// FloorShare is the part of shed requests let through all the same, so
	// that low priorities do not starve. Default 0.1.
	MinAdmitShare float64

	// SpillMargin is how much sooner a neighbour must be predicted to answer
	// before a request that could be served in time here is spilled. Spilling
	// ends when the gain falls under half of it. Default 4s.
	SpillMargin time.Duration
	// SummaryStale is the age at which a neighbour's summary grants nothing
	// any more. Default 5s.
	SummaryStale time.Duration
	// GrantLoad is the utilisation up to which capacity is granted away.
	// Default 0.9.
	GrantLoad float64
	// GrantWait is the predicted queueing time at which nothing is granted; up
	// to it grants shrink in proportion. Default 1.5s.
	GrantWait time.Duration
	// GrantRamp is the part of the capacity by which grants may rise each
	// second. Default 0.2.
	GrantRamp float64

	// HedgeFactor is the multiple of the predicted time to first token after
	// which a second attempt is worth starting. Default 4.
	HedgeFactor float64
	// HedgeMin is the least wait before a second attempt. Default 1s.
	HedgeMin time.Duration
}

// orDefault sets *v to def if it has no value.
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
