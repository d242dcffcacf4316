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
	floor Limit
	share Limit
	seq   uint64
	// tokens are up to the floor's burst, which each bucket is lent for good,
	// and the burst of the share. A new bucket starts with what is lent, and one
	// is forgotten only when it has that again: a workspace that comes and goes
	// would else be given a burst each time.
	tokens float64
	at     time.Time
	// until is the end of the share's lease, or when the floor sets in where no
	// share came yet.
	until  time.Time
	demand demand
	hurry  hurry
	// usedAt is when it was last asked.
	usedAt time.Time
	// dormant: another instance stands for the limit, and no share is in force here. What is
	// left may be spent, and no more comes.
	dormant bool
}

// newBucket starts with the floor's burst and no rate until wait has passed.
func newBucket(now time.Time, floor Limit, wait time.Duration, p pace) *Bucket {
	return &Bucket{
		floor: floor, tokens: floor.Burst, at: now,
		until: now.Add(wait), demand: demand{pace: p, at: now},
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
		b.add(end.Sub(b.at), b.share.Rate, b.floor.Burst+b.share.Burst)
		b.at = end
		if end == b.until {
			// What was saved under the share goes on to its next holder.
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

func (b *Bucket) add(d time.Duration, rate, most float64) {
	b.tokens = max(b.tokens, min(most, b.tokens+d.Seconds()*rate))
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
	if s.Limit.Rate < b.share.Rate*(1-hysteresis) {
		b.hurry.shrunk = true
	}
	b.share, b.seq, b.until = s.Limit, s.Seq, until
	b.tokens = min(b.tokens, b.floor.Burst+s.Limit.Burst)
}

// take spends n units and reports whether it could; if not, wait is when to
// come back at the present rate, and nothing is spent. Any request is let
// through while tokens are left, and what it costs above them is a debt: the
// shares of a limit are small, and one request may well cost more than a whole
// burst of a share. The bound counts the debt, one request for each instance.
func (b *Bucket) take(now time.Time, n float64) (ok bool, wait time.Duration) {
	if n <= 0 {
		return true, 0
	}
	b.fill(now)
	b.usedAt = now
	b.demand.asked += n
	if b.tokens > 0 {
		b.tokens -= n
		return true, 0
	}
	b.hurry.refused = true
	return false, waitFor(-b.tokens, b.rate(now))
}

// inForce is the share in force; nothing if it has ended.
func (b *Bucket) inForce(now time.Time) Limit {
	if b.seq == 0 || !now.Before(b.until) {
		return Limit{}
	}
	return b.share
}

// ask is the rate to ask the owner for, above 0.
func (b *Bucket) ask() float64 {
	return max(b.demand.need(b.tokens), leastPart*b.floor.Rate)
}

// burst is the most that may be saved.
func (b *Bucket) burst(now time.Time) float64 {
	if now.Before(b.until) && b.seq > 0 {
		return b.floor.Burst + b.share.Burst
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

// Limiter holds the buckets of one instance, for workspaces with demand only.
// It has a single owner.
type Limiter struct {
	lookup    Lookup
	instances int
	lease     time.Duration
	// wait is how long a new bucket has no rate until it is on its floor without a share.
	wait    time.Duration
	pace    pace
	buckets map[ID]*Bucket
	// sentAt are the times of reports not answered yet, by number.
	sentAt map[uint64]time.Time
	report uint64
	// answered is the highest report whose answer was taken. An older answer
	// would bring back a share that the owner gave on.
	answered uint64
	// hurried are the buckets that may have something urgent to report.
	hurried map[ID]bool
	// owns, if set, says which limits this instance still stands for.
	owns func(ID) bool
}

// releaseAfter is how long a limit that the instance does not stand for any more must not
// have been asked for until its share is returned: the others learn of a change of who
// stands for it within that time.
const releaseAfter = time.Second

// dormantLife is how many leases a dormant bucket is kept after it was last asked: one that is
// forgotten is lent its floor's burst again.
const dormantLife = 10

// SetOwned tells which limits this instance stands for. Shares of others are returned once
// nobody asks for them.
func (l *Limiter) SetOwned(owns func(ID) bool) { l.owns = owns }

// sleeps notes whether a limit is another instance's of which no share is in force here, and
// reports whether the owner is to be told.
//
// What goes wrong without it: after a start each instance is asked for a while for limits that
// others stand for. The owner counts the floor of each, and has nothing left to grant.
func (l *Limiter) sleeps(now time.Time, id ID, b *Bucket) (tell bool) {
	before := b.dormant
	b.dormant = l.owns != nil && !l.owns(id) && b.inForce(now).Rate <= 0
	return b.dormant && !before
}

// released reports whether a limit is another instance's by now.
func (l *Limiter) released(now time.Time, id ID, b *Bucket) bool {
	return l.owns != nil && !l.owns(id) && now.Sub(b.usedAt) > releaseAfter
}

// maxUnanswered bounds the reports whose answer is still taken.
const maxUnanswered = 8

// NewLimiter makes the Limiter of one of instances instances of a region.
// lease is the lease of shares.
func NewLimiter(lookup Lookup, instances int, lease time.Duration) *Limiter {
	return &Limiter{
		lookup: lookup, instances: max(1, instances), lease: lease, wait: lease, pace: 1,
		buckets: make(map[ID]*Bucket), sentAt: make(map[uint64]time.Time),
		hurried: make(map[ID]bool),
	}
}

// SetFloorDelay tells how long new buckets have no rate until they are on their floors without a
// share; a lease, if nothing is told. Within a lease another instance may use a share of the
// same part, unless that is known to have ended.
func (l *Limiter) SetFloorDelay(d time.Duration) { l.wait = d }

// SetTimeScale has the Limiter follow demand faster or slower than with a report every two seconds,
// where it is 1: the time constants are that part of theirs.
func (l *Limiter) SetTimeScale(p float64) { l.pace = pace(p) }

// SetInstances tells the number of instances in the region; floors of buckets
// made before follow with the next Report.
func (l *Limiter) SetInstances(n int) { l.instances = max(1, n) }

// Len is the number of buckets held.
func (l *Limiter) Len() int { return len(l.buckets) }

// Take spends a request and its tokens from a workspace's limits, both or
// neither. If not ok, wait says when to come back.
func (l *Limiter) Take(now time.Time, workspace string, tokens float64) (ok bool, wait time.Duration) {
	ok, wait = l.take(now, ID{workspace, Requests}, 1)
	if !ok {
		return false, wait
	}
	ok, wait = l.take(now, ID{workspace, Tokens}, tokens)
	if b := l.buckets[ID{workspace, Requests}]; !ok && b != nil {
		b.tokens++
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

func (l *Limiter) take(now time.Time, id ID, n float64) (ok bool, wait time.Duration) {
	b := l.bucket(now, id)
	if b == nil {
		return true, 0
	}
	ok, wait = b.take(now, n)
	if !ok {
		l.hurried[id] = true
	}
	return ok, wait
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
	b := newBucket(now, lim.Scaled(1/float64(l.instances)), l.wait, l.pace)
	l.buckets[id] = b
	return b
}

const (
	// idle is the demand, as a part of the floor's rate, under which a full
	// bucket is forgotten and its share returned.
	idle = 0.001
	// leastPart of the floor's rate is asked for at least. An idle bucket fills
	// up with it, so that it is forgotten at some time also where others want
	// all. To ask for 0 would return a share that is still in use.
	leastPart = 0.02
)

// Report returns the demands to send to the owner, and the number under which
// ApplyShares takes the answer. It is called about once a second, and sent also where
// it has no demands: the owner sets floors aside for instances that are silent.
func (l *Limiter) Report(now time.Time) (number uint64, demands []Demand) {
	clear(l.hurried)
	for id, b := range l.buckets {
		b.hurry.reported()
		b.fill(now)
		if l.sleeps(now, id, b) {
			demands = append(demands, Demand{ID: id})
		}
		if b.dormant {
			if now.Sub(b.usedAt) > dormantLife*l.lease {
				delete(l.buckets, id)
			}
			continue
		}
		if l.released(now, id, b) || !l.refloor(now, id, b) {
			delete(l.buckets, id)
			demands = append(demands, Demand{ID: id, Held: b.seq})
			continue
		}
		b.demand.measure(now)
		rate := b.ask()
		if b.demand.rate() < idle*b.floor.Rate && b.tokens >= b.floor.Burst {
			rate = 0
			delete(l.buckets, id)
		}
		demands = append(demands, Demand{ID: id, Rate: rate, Held: b.seq, Share: b.inForce(now)})
	}
	return l.number(now), sorted(demands)
}

// refloor follows a change of the limit or of the number of instances; it
// returns false if there is no limit any more.
func (l *Limiter) refloor(now time.Time, id ID, b *Bucket) bool {
	lim, ok := l.lookup(id)
	if !ok || lim.Rate <= 0 {
		return false
	}
	b.floor = lim.Scaled(1 / float64(l.instances))
	b.tokens = min(b.tokens, b.burst(now))
	return true
}

// number starts a report.
func (l *Limiter) number(now time.Time) uint64 {
	l.report++
	l.sentAt[l.report] = now
	delete(l.sentAt, l.report-maxUnanswered)
	return l.report
}

func sorted(demands []Demand) []Demand {
	slices.SortFunc(demands, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(a.ID.Workspace, b.ID.Workspace), cmp.Compare(a.ID.Resource, b.ID.Resource))
	})
	return demands
}

// ApplyShares takes the owner's answer to the report of that number. An answer to
// a report that is too old is ignored.
func (l *Limiter) ApplyShares(now time.Time, number uint64, shares []Share) {
	sent, ok := l.sentAt[number]
	if !ok || number <= l.answered {
		return
	}
	l.answered = number
	delete(l.sentAt, number)
	for _, s := range shares {
		if b := l.buckets[s.ID]; b != nil {
			b.grant(now, s, sent.Add(s.Lease))
			if b.hurry.shrunk {
				l.hurried[s.ID] = true
			}
		}
	}
}

// State is what one limit has here.
type State struct {
	// Rate is what the limit is spent at: that of a share, or of the floor where no share is
	// in force. Leased says which.
	Rate   float64
	Leased bool
	// Tokens are left; below 0 they are owed.
	Tokens float64
}

// State returns what a limit has here at a time; nothing where nobody has asked.
func (l *Limiter) State(now time.Time, id ID) State {
	b := l.buckets[id]
	if b == nil {
		return State{}
	}
	b.fill(now)
	return State{Rate: b.rate(now), Leased: b.inForce(now).Rate > 0, Tokens: b.tokens}
}
