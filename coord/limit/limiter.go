package limit

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Bucket is a token bucket filled by a share until its lease ends, and by the
// floor afterwards. Times never go back; an earlier time counts as no time.
type Bucket struct {
	floor  Limit
	share  Limit
	seq    uint64
	tokens float64
	// loan is the burst that a new bucket starts with before any share came. It
	// is taken off with the first one: a workspace that comes and goes would
	// else be given a burst each time.
	loan float64
	at   time.Time
	// until is the end of the share's lease, or when the floor sets in where no
	// share came yet.
	until time.Time
	// demand is an average of the units asked for in a second.
	demand  float64
	asked   float64
	askedAt time.Time
}

// newBucket starts with the floor's burst and no rate until wait has passed.
func newBucket(now time.Time, floor Limit, wait time.Duration) *Bucket {
	return &Bucket{
		floor: floor, tokens: floor.Burst, loan: floor.Burst,
		at: now, until: now.Add(wait), askedAt: now,
	}
}

// fill adds what the share gave until its lease ended and the floor since.
func (b *Bucket) fill(now time.Time) {
	if !now.After(b.at) {
		return
	}
	if b.at.Before(b.until) {
		end := now
		if b.until.Before(now) {
			end = b.until
		}
		b.add(end.Sub(b.at), b.share)
		b.at = end
		if end == b.until {
			// What was saved under the share goes on to its next holder.
			b.tokens = min(b.tokens, b.floor.Burst)
		}
	}
	if now.After(b.at) {
		b.add(now.Sub(b.at), b.floor)
		b.at = now
	}
}

func (b *Bucket) add(d time.Duration, l Limit) {
	b.tokens = max(b.tokens, min(l.Burst, b.tokens+d.Seconds()*l.Rate))
}

// rate in force at a time.
func (b *Bucket) rate(now time.Time) float64 {
	if now.Before(b.until) {
		return b.share.Rate
	}
	return b.floor.Rate
}

// grant replaces the share. What was saved above the new burst is given up.
func (b *Bucket) grant(now time.Time, s Share, until time.Time) {
	b.fill(now)
	if s.Seq <= b.seq || !now.Before(until) {
		return
	}
	b.share, b.seq, b.until = s.Limit, s.Seq, until
	b.tokens = min(b.tokens-b.loan, s.Limit.Burst)
	b.loan = 0
}

// take spends n units and reports whether it could; if not, wait is when to
// come back at the present rate, and nothing is spent. More than the burst at
// once is let through on a full bucket and leaves a debt, so that one long
// request isn't refused for ever.
func (b *Bucket) take(now time.Time, n float64) (ok bool, wait time.Duration) {
	if n <= 0 {
		return true, 0
	}
	b.fill(now)
	b.asked += n
	need := min(n, b.burst(now))
	if b.tokens >= need && b.tokens > 0 {
		b.tokens -= n
		return true, 0
	}
	return false, waitFor(need-b.tokens, b.rate(now))
}

func (b *Bucket) burst(now time.Time) float64 {
	if now.Before(b.until) && b.seq > 0 {
		return b.share.Burst
	}
	return b.floor.Burst
}

// maxWait bounds what a caller is told where the rate is nearly nothing.
const maxWait = time.Minute

func waitFor(units, rate float64) time.Duration {
	if rate <= 0 {
		return time.Second
	}
	s := max(units, 0) / rate
	if s > maxWait.Seconds() {
		return maxWait
	}
	return max(time.Millisecond, time.Duration(math.Ceil(s*1e3))*time.Millisecond)
}

// demandMemory is the time constant of the average of demand.
const demandMemory = 3 * time.Second

// measure moves the average on and returns it.
func (b *Bucket) measure(now time.Time) float64 {
	d := now.Sub(b.askedAt)
	if d <= 0 {
		return b.demand
	}
	k := 1 - math.Exp(-d.Seconds()/demandMemory.Seconds())
	b.demand += k * (b.asked/d.Seconds() - b.demand)
	b.asked, b.askedAt = 0, now
	return b.demand
}

// Limiter holds the buckets of one instance, for workspaces with demand only.
// It has a single owner.
type Limiter struct {
	lookup    Lookup
	instances int
	lease     time.Duration
	buckets   map[ID]*Bucket
	// sentAt are the times of reports not answered yet, by number.
	sentAt map[uint64]time.Time
	report uint64
	// answered is the highest report whose answer was taken. An older answer
	// would bring back a share that the owner gave on.
	answered uint64
}

// maxUnanswered bounds the reports whose answer is still taken.
const maxUnanswered = 8

// NewLimiter makes the Limiter of one of instances instances of a region.
// lease is the lease of shares.
func NewLimiter(lookup Lookup, instances int, lease time.Duration) *Limiter {
	return &Limiter{
		lookup: lookup, instances: max(1, instances), lease: lease,
		buckets: make(map[ID]*Bucket), sentAt: make(map[uint64]time.Time),
	}
}

// SetInstances tells the number of instances in the region; floors of buckets
// made before keep their size until they are idle.
func (l *Limiter) SetInstances(n int) { l.instances = max(1, n) }

// Len is the number of buckets held.
func (l *Limiter) Len() int { return len(l.buckets) }

// Take spends a request and its tokens from a workspace's limits, both or
// neither. If not ok, wait says when to come back.
func (l *Limiter) Take(now time.Time, workspace string, tokens float64) (ok bool, wait time.Duration) {
	requests := l.bucket(now, ID{workspace, Requests})
	ok, wait = takeFrom(requests, now, 1)
	if !ok {
		return false, wait
	}
	ok, wait = takeFrom(l.bucket(now, ID{workspace, Tokens}), now, tokens)
	if !ok && requests != nil {
		requests.tokens++
	}
	return ok, wait
}

// Refund gives tokens back that an estimate took too many of; a negative
// number takes more.
func (l *Limiter) Refund(now time.Time, workspace string, tokens float64) {
	if b := l.buckets[ID{workspace, Tokens}]; b != nil {
		b.fill(now)
		b.tokens = min(b.tokens+tokens, max(b.tokens, b.burst(now)))
	}
}

func takeFrom(b *Bucket, now time.Time, n float64) (bool, time.Duration) {
	if b == nil {
		return true, 0
	}
	return b.take(now, n)
}

// bucket returns nil where there is no limit.
func (l *Limiter) bucket(now time.Time, id ID) *Bucket {
	if b := l.buckets[id]; b != nil {
		return b
	}
	lim, ok := l.lookup(id)
	if !ok || lim.Rate <= 0 {
		return nil
	}
	b := newBucket(now, lim.Scaled(1/float64(l.instances)), l.lease)
	l.buckets[id] = b
	return b
}

// idle is the demand, as a part of the floor's rate, under which a full bucket
// is forgotten and its share returned.
const idle = 0.001

// Report returns the demands to send to the owner, and the number under which
// Granted takes the answer. It is called about once a second.
func (l *Limiter) Report(now time.Time) (number uint64, demands []Demand) {
	l.report++
	l.sentAt[l.report] = now
	delete(l.sentAt, l.report-maxUnanswered)
	for id, b := range l.buckets {
		b.fill(now)
		rate := b.measure(now)
		if rate < idle*b.floor.Rate {
			rate = 0
		}
		demands = append(demands, Demand{ID: id, Rate: rate, Held: b.seq})
		if rate == 0 && b.tokens >= b.burst(now) {
			delete(l.buckets, id)
		} else if rate == 0 {
			// Keep the share until the bucket is full: a new one would start
			// with more.
			demands[len(demands)-1].Rate = idle * b.floor.Rate
		}
	}
	slices.SortFunc(demands, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(a.ID.Workspace, b.ID.Workspace), cmp.Compare(a.ID.Resource, b.ID.Resource))
	})
	return l.report, demands
}

// Granted takes the owner's answer to the report of that number. An answer to
// a report that is too old is ignored.
func (l *Limiter) Granted(now time.Time, number uint64, shares []Share) {
	sent, ok := l.sentAt[number]
	if !ok || number <= l.answered {
		return
	}
	l.answered = number
	delete(l.sentAt, number)
	for _, s := range shares {
		if b := l.buckets[s.ID]; b != nil {
			b.grant(now, s, sent.Add(s.Lease))
		}
	}
}
