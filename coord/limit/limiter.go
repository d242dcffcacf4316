package limit

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Bucket is a token bucket filled by a share until the share's lease ends, and by the
// floor afterwards. Time never moves backwards: an earlier time counts as no time.
type Bucket struct {
	floor Limit
	share Limit
	// seq is the Seq of share, 0 without one.
	seq uint64
	// tokens are limited to the floor's burst, which each bucket always has, plus the
	// burst of the share. A new bucket starts with the floor's burst and is removed only
	// when it has that again: otherwise a workspace that comes and goes would get a
	// burst each time.
	tokens float64
	// at is the time up to which tokens were added.
	at time.Time
	// until is the end of the share's lease or, if no share has arrived yet, when the
	// floor takes effect.
	until   time.Time
	demand  demand
	urgency urgency
	// usedAt is the time of the last request.
	usedAt time.Time
	// dormant: another instance is responsible for the limit, and no share is in force here.
	// Remaining tokens may be spent, but none are added.
	dormant bool
}

// newBucket returns a bucket with the floor's burst and no rate until floorDelay has passed.
func newBucket(now time.Time, floor Limit, floorDelay time.Duration, p timeScale) *Bucket {
	return &Bucket{
		floor: floor, tokens: floor.Burst, at: now,
		until: now.Add(floorDelay), demand: demand{scale: p, at: now},
	}
}

// fill adds what the share gave until its lease ended, and the floor since.
func (b *Bucket) fill(now time.Time) {
	if !now.After(b.at) {
		return
	}
	if b.at.Before(b.until) {
		end := now
		if b.until.Before(now) {
			end = b.until
		}
		b.add(end.Sub(b.at), b.share.Rate, b.floor.Burst+b.share.Burst)
		b.at = end
		if end == b.until {
			// What was saved under the share passes to its next holder.
			b.tokens = min(b.tokens, b.floor.Burst)
			b.share, b.seq = Limit{}, 0
		}
	}
	if now.After(b.at) {
		if !b.dormant {
			b.add(now.Sub(b.at), b.floor.Rate, b.floor.Burst)
		}
		b.at = now
	}
}

// add adds tokens at rate for d, up to maxTokens; it never lowers their number.
func (b *Bucket) add(d time.Duration, rate, maxTokens float64) {
	b.tokens = max(b.tokens, min(maxTokens, b.tokens+d.Seconds()*rate))
}

// rate returns the rate in force at now, in units per second.
func (b *Bucket) rate(now time.Time) float64 {
	if now.Before(b.until) {
		return b.share.Rate
	}
	return b.floor.Rate
}

// grant replaces the share. Tokens above the new burst are dropped.
func (b *Bucket) grant(now time.Time, s Share, until time.Time) {
	b.fill(now)
	if s.Seq <= b.seq || !now.Before(until) {
		return
	}
	if s.Limit.Rate < b.share.Rate*(1-hysteresis) {
		b.urgency.shrunk = true
	}
	b.share, b.seq, b.until = s.Limit, s.Seq, until
	b.tokens = min(b.tokens, b.floor.Burst+s.Limit.Burst)
}

// consume consumes n units and reports whether it could; if not, nothing is consumed and
// retryAfter is the time until a retry may succeed at the current rate. Any request passes
// while tokens are left, and what it costs beyond them is debt: shares are small, and one
// request may well cost more than a share's whole burst. The bound includes the debt, one
// request for each instance.
func (b *Bucket) consume(now time.Time, n float64) (allowed bool, retryAfter time.Duration) {
	if n <= 0 {
		return true, 0
	}
	b.fill(now)
	b.usedAt = now
	b.demand.requested += n
	if b.tokens > 0 {
		b.tokens -= n
		return true, 0
	}
	b.urgency.refused = true
	return false, retryDelay(-b.tokens, b.rate(now))
}

// inForce returns the share in force; zero if it has ended.
func (b *Bucket) inForce(now time.Time) Limit {
	if b.seq == 0 || !now.Before(b.until) {
		return Limit{}
	}
	return b.share
}

// requestedRate returns the rate to request from the Allocator, above 0.
func (b *Bucket) requestedRate() float64 {
	return max(b.demand.need(b.tokens), minDemandShare*b.floor.Rate)
}

// burst returns the most tokens that the bucket may hold.
func (b *Bucket) burst(now time.Time) float64 {
	if now.Before(b.until) && b.seq > 0 {
		return b.floor.Burst + b.share.Burst
	}
	return b.floor.Burst
}

// maxRetryAfter bounds the delay reported to a caller where the rate is nearly zero.
const maxRetryAfter = time.Minute

// retryDelay returns how long it takes to add units at rate, in whole milliseconds from 1 ms
// to maxRetryAfter; a second if rate is 0.
func retryDelay(units, rate float64) time.Duration {
	if rate <= 0 {
		return time.Second
	}
	s := max(units, 0) / rate
	if s > maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return max(time.Millisecond, time.Duration(math.Ceil(s*1e3))*time.Millisecond)
}

// Limiter holds the buckets of one instance, only for workspaces with demand.
// It is not safe for concurrent use.
type Limiter struct {
	lookup    Lookup
	instances int
	lease     time.Duration
	// floorDelay is how long a new bucket has no rate before it uses its floor without a share.
	floorDelay time.Duration
	scale      timeScale
	buckets    map[ID]*Bucket
	// sentAt holds the times of reports without a response, by number.
	sentAt     map[uint64]time.Time
	lastReport uint64
	// lastAnswered is the highest report whose response was applied. An older response
	// would bring back a share that the Allocator has granted to another.
	lastAnswered uint64
	// urgent are the limits whose buckets may need an urgent report.
	urgent map[ID]bool
	// owns, if set, reports whether this instance is responsible for a limit.
	owns func(ID) bool
}

// releaseAfter is how long a limit that the instance is no longer responsible for must be
// without requests before its share is returned: within that time the other instances
// learn of the change of responsibility.
const releaseAfter = time.Second

// dormantLeases is the number of leases for which a dormant bucket is kept after its last
// request: one that is removed gets its floor's burst again.
const dormantLeases = 10

// SetOwned sets which limits this instance is responsible for. Shares of others are returned
// once they get no more requests.
func (l *Limiter) SetOwned(owns func(ID) bool) { l.owns = owns }

// updateDormant updates whether a bucket is dormant: its limit is another instance's and no
// share of it is in force here. It reports whether the bucket became dormant, which the
// Allocator must then learn.
//
// Without this, each instance gets requests for a while after a start for limits that others
// are responsible for; the Allocator counts the floor of each and has nothing left to grant.
func (l *Limiter) updateDormant(now time.Time, id ID, b *Bucket) (becameDormant bool) {
	wasDormant := b.dormant
	b.dormant = l.owns != nil && !l.owns(id) && b.inForce(now).Rate <= 0
	return b.dormant && !wasDormant
}

// releasable reports whether another instance has become responsible for a limit and the
// bucket has had no requests for releaseAfter.
func (l *Limiter) releasable(now time.Time, id ID, b *Bucket) bool {
	return l.owns != nil && !l.owns(id) && now.Sub(b.usedAt) > releaseAfter
}

// maxPendingReports bounds the reports whose response is still accepted.
const maxPendingReports = 8

// NewLimiter returns the Limiter of one instance of a region. lookup gives the region's share
// of a limit, instances is the number of instances in the region, and lease is how long
// shares are valid.
func NewLimiter(lookup Lookup, instances int, lease time.Duration) *Limiter {
	return &Limiter{
		lookup: lookup, instances: max(1, instances), lease: lease, floorDelay: lease, scale: 1,
		buckets: make(map[ID]*Bucket), sentAt: make(map[uint64]time.Time),
		urgent: make(map[ID]bool),
	}
}

// SetFloorDelay sets how long new buckets have no rate before they use their floors without a
// share; the default is a lease. Within a lease another holder for the same instance (see the
// package comment) may still use a share, unless that is known to have ended.
func (l *Limiter) SetFloorDelay(d time.Duration) { l.floorDelay = d }

// SetTimeScale multiplies the time constants with which demand is followed; 1, the default,
// suits a report every two seconds.
func (l *Limiter) SetTimeScale(p float64) { l.scale = timeScale(p) }

// SetInstances sets the number of instances in the region. Floors of existing buckets
// follow with the next Report.
func (l *Limiter) SetInstances(n int) { l.instances = max(1, n) }

// Len returns the number of buckets.
func (l *Limiter) Len() int { return len(l.buckets) }

// Consume consumes one request and its tokens from a workspace's limits, both or neither.
// If not allowed, retryAfter is the time until a retry may succeed.
func (l *Limiter) Consume(now time.Time, workspace string, tokens float64) (allowed bool, retryAfter time.Duration) {
	allowed, retryAfter = l.consume(now, ID{workspace, Requests}, 1)
	if !allowed {
		return false, retryAfter
	}
	allowed, retryAfter = l.consume(now, ID{workspace, Tokens}, tokens)
	if b := l.buckets[ID{workspace, Requests}]; !allowed && b != nil {
		b.tokens++
	}
	return allowed, retryAfter
}

// Refund returns tokens that an estimate consumed in excess, up to the bucket's burst; a
// negative number consumes more.
func (l *Limiter) Refund(now time.Time, workspace string, tokens float64) {
	if b := l.buckets[ID{workspace, Tokens}]; b != nil {
		b.fill(now)
		b.tokens = min(b.tokens+tokens, max(b.tokens, b.burst(now)))
	}
}

func (l *Limiter) consume(now time.Time, id ID, n float64) (allowed bool, retryAfter time.Duration) {
	b := l.bucket(now, id)
	if b == nil {
		return true, 0
	}
	allowed, retryAfter = b.consume(now, n)
	if !allowed {
		l.urgent[id] = true
	}
	return allowed, retryAfter
}

// bucket returns the bucket of a limit, creating it if needed; nil if there is no limit.
func (l *Limiter) bucket(now time.Time, id ID) *Bucket {
	if b := l.buckets[id]; b != nil {
		return b
	}
	lim, ok := l.lookup(id)
	if !ok || lim.Rate <= 0 {
		return nil
	}
	b := newBucket(now, lim.Scaled(1/float64(l.instances)), l.floorDelay, l.scale)
	l.buckets[id] = b
	return b
}

const (
	// idleShare is the demand, as a fraction of the floor's rate, below which a full
	// bucket is removed and its share returned.
	idleShare = 0.001
	// minDemandShare is the least demand reported, as a fraction of the floor's rate. An
	// idle bucket fills up with it, so that it can be removed even where others want
	// everything. Demand of 0 would return a share that is still in use.
	minDemandShare = 0.02
)

// Report returns the demands to send to the Allocator, and the number with which
// ApplyShares takes the response. Call it about once a second, and send the report even
// without demands: the Allocator sets aside the floors of instances that are silent.
func (l *Limiter) Report(now time.Time) (number uint64, demands []Demand) {
	clear(l.urgent)
	for id, b := range l.buckets {
		b.urgency.reportSent()
		b.fill(now)
		if l.updateDormant(now, id, b) {
			demands = append(demands, Demand{ID: id})
		}
		if b.dormant {
			if now.Sub(b.usedAt) > dormantLeases*l.lease {
				delete(l.buckets, id)
			}
			continue
		}
		if l.releasable(now, id, b) || !l.updateFloor(now, id, b) {
			delete(l.buckets, id)
			demands = append(demands, Demand{ID: id, Held: b.seq})
			continue
		}
		b.demand.update(now)
		rate := b.requestedRate()
		if b.demand.rate() < idleShare*b.floor.Rate && b.tokens >= b.floor.Burst {
			rate = 0
			delete(l.buckets, id)
		}
		demands = append(demands, Demand{ID: id, Rate: rate, Held: b.seq, Share: b.inForce(now)})
	}
	return l.startReport(now), sortDemands(demands)
}

// updateFloor follows a change of the limit or of the number of instances. It returns
// false if there is no limit any more.
func (l *Limiter) updateFloor(now time.Time, id ID, b *Bucket) bool {
	lim, ok := l.lookup(id)
	if !ok || lim.Rate <= 0 {
		return false
	}
	b.floor = lim.Scaled(1 / float64(l.instances))
	b.tokens = min(b.tokens, b.burst(now))
	return true
}

// startReport returns the number of a new report sent at now.
func (l *Limiter) startReport(now time.Time) uint64 {
	l.lastReport++
	l.sentAt[l.lastReport] = now
	delete(l.sentAt, l.lastReport-maxPendingReports)
	return l.lastReport
}

func sortDemands(demands []Demand) []Demand {
	slices.SortFunc(demands, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(a.ID.Workspace, b.ID.Workspace), cmp.Compare(a.ID.Resource, b.ID.Resource))
	})
	return demands
}

// ApplyShares applies the Allocator's response to the report of that number. Responses
// to reports that are too old or overtaken are ignored.
func (l *Limiter) ApplyShares(now time.Time, number uint64, shares []Share) {
	sent, ok := l.sentAt[number]
	if !ok || number <= l.lastAnswered {
		return
	}
	l.lastAnswered = number
	delete(l.sentAt, number)
	for _, s := range shares {
		if b := l.buckets[s.ID]; b != nil {
			b.grant(now, s, sent.Add(s.Lease))
			if b.urgency.shrunk {
				l.urgent[s.ID] = true
			}
		}
	}
}

// State is the state of one limit at an instance.
type State struct {
	// Rate is the current rate in units per second: of a share if Leased, else of the floor.
	Rate   float64
	Leased bool
	// Tokens left; negative if in debt.
	Tokens float64
}

// State returns the state of a limit at now; zero if it has no bucket.
func (l *Limiter) State(now time.Time, id ID) State {
	b := l.buckets[id]
	if b == nil {
		return State{}
	}
	b.fill(now)
	return State{Rate: b.rate(now), Leased: b.inForce(now).Rate > 0, Tokens: b.tokens}
}
