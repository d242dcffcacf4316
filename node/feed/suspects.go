package feed

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/gullhaven/gullhaven/coord/suspect"
)

const (
	// recentSuspectTime is how old suspects may be that an entry instance of an older version gets.
	recentSuspectTime = 3 * time.Second
	// maxSuspectsPerMessage bounds the suspects in one message, to about 28 KB: the end of a target makes
	// hundreds, and a message that is too long for its deadline would be sent again as a whole.
	maxSuspectsPerMessage = 256
	// maxSuspectsPerExchange is that of a message that repairs a difference between two core instances.
	maxSuspectsPerExchange = 1024
	// maxSuspects bounds the number of suspects that are kept; each takes 80 bytes.
	maxSuspects = 8192
	// suspectsInterval is the least time between two rounds of gossip, or wake-ups, for suspects: the ends of
	// some targets make new ones for seconds, and each wake-up is an answer to each instance, with what
	// follows from it. urgentSuspectsInterval is that for those that are refused from now on.
	suspectsInterval, urgentSuspectsInterval = 150 * time.Millisecond, 50 * time.Millisecond
	// urgentBurst is how many urgent ones may follow each other at once: the first crashes by a request are told of
	// before its caller has sent it on.
	urgentBurst = 4
	// evictedSuspects is how many of a full store are evicted at once, so that it is not searched for
	// each new one.
	evictedSuspects = maxSuspects / 16
)

// SuspectsMark says which suspects of a core instance an entry instance has got.
type SuspectsMark struct {
	// Epoch identifies the numbering, which each start of a core instance restarts, and At is the
	// number of the last suspect.
	Epoch uint64 `cbor:"1,keyasint"`
	At    uint64 `cbor:"2,keyasint"`
}

type suspectKey struct {
	digest suspect.Digest
	crash  suspect.Crash
}

// suspectRecord is kept until the entry expires, so that instances which start or return later get
// it, too.
type suspectRecord struct {
	entry      suspect.Entry
	receivedAt time.Time
	// number orders the records by their last change.
	number uint64
	// direct says that an entry instance reported it here.
	direct bool
	// hash is that of the entry without its times.
	hash uint64
}

// SuspectBuckets is the number of parts that the suspects are compared in.
const SuspectBuckets = 256

// suspectLog holds the requests that may crash their targets, and those that were cleared.
type suspectLog struct {
	records map[suspectKey]suspectRecord
	last    uint64
	// received is the number of entries that came in.
	received uint64
	// order has the records by number. One that has changed since is skipped; there are at most as many
	// of these as records.
	order []numberedSuspect
	// firstExpiry is before or when the first record expires; zero if there is none.
	firstExpiry time.Time
	// digests identify the sets of records in each bucket, whatever their order: each is the sum of their
	// hashes, 0 for none.
	digests [SuspectBuckets]uint64
	// gossiped is the number of the last record that was in a gossip round, and lastRound are the new
	// entries of the last one: each is in two rounds, so that a lost message has no effect.
	gossiped  uint64
	lastRound []suspect.Entry
	// rounds paces the rounds of gossip, and wakes the wake-ups of waiting reports.
	rounds, wakes pace
	// woken is the number of the last record at the last wake-up.
	woken uint64
	// lastUrgent is the number of the last record that was urgent.
	lastUrgent uint64
	// lastRounds are the last rounds of digests whose records were urgent; lastRoundAlone for one that was
	// alone in a crash.
	lastRounds map[suspect.Digest]uint32
}

// lastRoundAlone counts as later than any round.
const lastRoundAlone = math.MaxUint32

// urgent reports whether an entry may mean that requests with its digest are refused from now on. Further crashes
// of a round add nothing to the first one.
func (l *suspectLog) urgent(e *suspect.Entry) bool {
	round := e.Round
	switch {
	case e.Status == suspect.Alone:
		round = lastRoundAlone
	case e.Status == suspect.Cleared || round < suspect.QuarantineAfter:
		return false
	}
	if round <= l.lastRounds[e.Digest] {
		return false
	}
	if l.lastRounds == nil || len(l.lastRounds) >= maxSuspects {
		l.lastRounds = map[suspect.Digest]uint32{}
	}
	l.lastRounds[e.Digest] = round
	return true
}

// hasUrgent reports whether a record with a number above after was urgent.
func (l *suspectLog) hasUrgent(after uint64) bool { return after < l.lastUrgent }

// interval is for how long a report may wait for the records with a number above after.
func (l *suspectLog) interval(after uint64) time.Duration {
	if l.hasUrgent(after) {
		return urgentSuspectsInterval
	}
	return suspectsInterval
}

// wakeDue reports whether waiting reports are to be woken for new suspects, and records that they are.
func (l *suspectLog) wakeDue(now time.Time, answerTime time.Duration) bool {
	if l.woken >= l.last || now.Before(l.wakes.next(l.hasUrgent(l.woken))) || now.Sub(l.wakes.last) < answerTime {
		return false
	}
	l.wakes.record(now)
	l.woken = l.last
	return true
}

// pace bounds how often something is sent: at suspectsInterval, or, if it is urgent, urgentBurst times at once and
// then at urgentSuspectsInterval.
type pace struct {
	last time.Time
	// urgentAt is when the last one would have been sent at urgentSuspectsInterval, and one more such interval.
	urgentAt time.Time
}

func (p *pace) next(urgent bool) time.Time {
	if urgent {
		return p.urgentAt.Add(-urgentBurst * urgentSuspectsInterval)
	}
	return p.last.Add(suspectsInterval)
}

func (p *pace) record(now time.Time) {
	p.last = now
	if p.urgentAt.Before(now) {
		p.urgentAt = now
	}
	p.urgentAt = p.urgentAt.Add(urgentSuspectsInterval)
}

type numberedSuspect struct {
	number uint64
	key    suspectKey
}

// bucket returns the part that a record is compared in. Records of one digest are in many: a common one is a
// suspect of most crashes.
func bucket(key suspectKey) int {
	data := binary.BigEndian.AppendUint64(key.digest[:], key.crash.Incarnation)
	return int(xxhash.Sum64(append(data, key.crash.Target...)) % SuspectBuckets)
}

// digest identifies the set of all records; 0 for none.
func (l *suspectLog) digest() (sum uint64) {
	for _, d := range l.digests {
		sum += d
	}
	return sum
}

// add stores an entry and reports whether it changed anything.
func (l *suspectLog) add(now time.Time, e suspect.Entry, direct bool) bool {
	key := suspectKey{e.Digest, e.Crash}
	old, known := l.records[key]
	if !now.Before(e.Until) || known && e.Status <= old.entry.Status && !suspect.Renews(now, old.entry.Until, e.Until) && e.Round <= old.entry.Round {
		return false
	}
	if known {
		// What other core instances tell may lack what was reported here.
		direct = direct || old.direct && old.number > l.gossiped
		e.Status, e.Round, e.Trial = max(e.Status, old.entry.Status), max(e.Round, old.entry.Round), e.Trial || old.entry.Trial
		if e.Until.Before(old.entry.Until) {
			e.Until = old.entry.Until
		}
	} else if len(l.records) >= maxSuspects {
		l.evict()
	}
	if l.records == nil {
		l.records = map[suspectKey]suspectRecord{}
	}
	l.last++
	r := suspectRecord{entry: e, receivedAt: now, number: l.last, direct: direct, hash: hashOf(&e)}
	l.digests[bucket(key)] += r.hash - old.hash
	l.records[key] = r
	if l.urgent(&e) {
		l.lastUrgent = l.last
	}
	l.order = append(l.order, numberedSuspect{l.last, key})
	if len(l.order) > 2*len(l.records) {
		l.order = slices.DeleteFunc(l.order, l.outdated)
	}
	if l.firstExpiry.IsZero() || e.Until.Before(l.firstExpiry) {
		l.firstExpiry = e.Until
	}
	return true
}

// outdated reports whether a record was removed or has changed since it got the number.
func (l *suspectLog) outdated(n numberedSuspect) bool { return l.records[n.key].number != n.number }

func hashOf(e *suspect.Entry) uint64 {
	// A struct of fixed types cannot fail to be encoded.
	data, _ := cbor.Marshal(suspect.Entry{Digest: e.Digest, Crash: e.Crash, Status: e.Status})
	return xxhash.Sum64(data)
}

func (l *suspectLog) remove(key suspectKey) {
	l.digests[bucket(key)] -= l.records[key].hash
	delete(l.records, key)
}

// evict removes records: cleared ones before others, then those of digests with a single crash, which a
// caller can have many of, and of these the ones that changed longest ago.
func (l *suspectLog) evict() {
	type ranked struct {
		key    suspectKey
		rank   int
		number uint64
	}
	crashes := l.crashes()
	var all []ranked
	for key, r := range l.records {
		rank := min(crashes[key.digest], suspect.QuarantineAfter)
		if r.entry.Status == suspect.Cleared {
			rank = 0
		}
		all = append(all, ranked{key, rank, r.number})
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.number, b.number))
	})
	for _, r := range all[:min(evictedSuspects, len(all))] {
		l.remove(r.key)
	}
}

// crashes returns the number of crashes of each digest that it is not cleared of.
func (l *suspectLog) crashes() map[suspect.Digest]int {
	out := map[suspect.Digest]int{}
	for key, r := range l.records {
		if r.entry.Status != suspect.Cleared {
			out[key.digest]++
		}
	}
	return out
}

func (l *suspectLog) expire(now time.Time) {
	if now.Before(l.firstExpiry) {
		return
	}
	l.firstExpiry, l.lastRounds = time.Time{}, nil
	for key, r := range l.records {
		switch until := r.entry.Until; {
		case !now.Before(until):
			l.remove(key)
		case l.firstExpiry.IsZero() || until.Before(l.firstExpiry):
			l.firstExpiry = until
		}
	}
}

// entries returns those that are included, in the order of their last changes.
func (l *suspectLog) entries(include func(r *suspectRecord) bool) []suspect.Entry {
	out, _ := l.entriesAfter(0, len(l.records), include)
	return out
}

// entriesAfter returns up to limit entries that are included and have a number above after, in the order of
// their numbers, and the number up to which these are all.
func (l *suspectLog) entriesAfter(after uint64, limit int, include func(r *suspectRecord) bool) (out []suspect.Entry, upTo uint64) {
	from, _ := slices.BinarySearchFunc(l.order, after+1, func(n numberedSuspect, number uint64) int { return cmp.Compare(n.number, number) })
	for _, n := range l.order[from:] {
		r := l.records[n.key]
		if r.number != n.number || !include(&r) {
			continue
		}
		if len(out) == limit {
			return out, upTo
		}
		out, upTo = append(out, r.entry), n.number
	}
	return out, l.last
}

// nextRound returns the entries of entry instances that report here for a round of gossip.
func (l *suspectLog) nextRound(now time.Time) []suspect.Entry {
	again := l.lastRound
	if l.gossiped < l.last {
		l.rounds.record(now)
	}
	l.lastRound, l.gossiped = l.entriesAfter(l.gossiped, maxSuspectsPerMessage, func(r *suspectRecord) bool { return r.direct })
	return slices.Concat(again, l.lastRound)
}

// AddSuspects stores requests that may crash their targets. direct says that an entry instance
// reported them here. It reports whether any of them was new.
func (st *Store) AddSuspects(now time.Time, entries []suspect.Entry, direct bool) (changed bool) {
	if len(entries) == 0 {
		return false
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.suspects.expire(now)
	for _, e := range entries {
		st.suspects.received++
		changed = st.suspects.add(now, e, direct) || changed
	}
	if changed {
		st.wakeIfPending(now)
	}
	return changed
}

// SuspectStats are the number of entries about suspects that a Store holds, and counters since its start.
type SuspectStats struct {
	// Received counts the entries that came in, and Changed those that told something new.
	Held, Received, Changed uint64
}

// SuspectStats returns the current numbers.
func (st *Store) SuspectStats() SuspectStats {
	st.mu.Lock()
	defer st.mu.Unlock()
	l := &st.suspects
	return SuspectStats{Held: uint64(len(l.records)), Received: l.received, Changed: l.last}
}

// misses reports whether the sender of a mark misses suspects.
func (st *Store) misses(m *SuspectsMark) bool {
	return m != nil && len(st.suspects.records) > 0 && (m.Epoch != st.changes.epoch || m.At < st.suspects.last)
}

// SuspectsWait returns for how long at most a report may be held back for the suspects that its sender misses;
// false if it misses none.
func (st *Store) SuspectsWait(r *Report) (time.Duration, bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if !st.misses(r.Suspected) {
		return 0, false
	}
	return st.suspects.interval(st.firstMissed(r.Suspected)), true
}

// firstMissed returns the number from which on the sender of a mark misses suspects.
func (st *Store) firstMissed(m *SuspectsMark) uint64 {
	if m.Epoch != st.changes.epoch {
		return 0
	}
	return m.At
}

// SuspectsRoundAt returns when the next round of gossip for suspects is due; false if there are none that
// were in no round.
func (st *Store) SuspectsRoundAt() (time.Time, bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	l := &st.suspects
	return l.rounds.next(l.hasUrgent(l.gossiped)), l.gossiped < l.last
}

// Suspects returns all that are stored.
func (st *Store) Suspects(now time.Time) []suspect.Entry {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.suspects.expire(now)
	return st.suspects.entries(func(*suspectRecord) bool { return true })
}

// QuarantinedSuspects returns the entries of the requests that are suspects of two crashes or more.
func (st *Store) QuarantinedSuspects(now time.Time) []suspect.Entry {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.suspects.expire(now)
	crashes := st.suspects.crashes()
	return st.suspects.entries(func(r *suspectRecord) bool { return crashes[r.entry.Digest] >= suspect.QuarantineAfter })
}

// suspectsFor returns the suspects that the sender of a report misses, as far as they fit a message, and its
// next mark. One of an older version, without a mark, gets the recent ones.
func (st *Store) suspectsFor(now time.Time, r *Report) ([]suspect.Entry, *SuspectsMark) {
	st.suspects.expire(now)
	if r.Suspected == nil {
		recent, _ := st.suspects.entriesAfter(0, maxSuspectsPerMessage, func(r *suspectRecord) bool { return now.Sub(r.receivedAt) <= recentSuspectTime })
		return recent, nil
	}
	out, upTo := st.suspects.entriesAfter(st.firstMissed(r.Suspected), maxSuspectsPerMessage, func(*suspectRecord) bool { return true })
	return out, &SuspectsMark{Epoch: st.changes.epoch, At: upTo}
}

// NextSuspectsRound returns the suspects for a round of gossip.
func (st *Store) NextSuspectsRound(now time.Time) []suspect.Entry {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.suspects.expire(now)
	return st.suspects.nextRound(now)
}

// SuspectsDiffer reports whether another core instance holds other suspects than this one. A full store
// is not compared, as its neighbours evict others.
func (st *Store) SuspectsDiffer(now time.Time, digest uint64) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.suspects.expire(now)
	return len(st.suspects.records) < maxSuspects && digest != st.suspects.digest()
}

// SuspectsQuery asks another core instance for the suspects in the buckets that differ.
type SuspectsQuery struct {
	// Digests are those of the asker's buckets.
	Digests []uint64 `cbor:"1,keyasint"`
	// First is the bucket from which on the answer has them.
	First uint64 `cbor:"2,keyasint"`
}

// NextQuery returns the query after one whose answer had these entries: from the bucket on where it ended, as
// one that the asker already has all of may still differ.
func (q SuspectsQuery) NextQuery(answer []suspect.Entry) SuspectsQuery {
	if len(answer) > 0 {
		last := answer[len(answer)-1]
		q.First = uint64(bucket(suspectKey{last.Digest, last.Crash})) + 1
	}
	return q
}

// WithDigests returns the query with the digests of the suspects that this instance holds now.
func (q SuspectsQuery) WithDigests(now time.Time, st *Store) SuspectsQuery {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.suspects.expire(now)
	q.Digests = slices.Clone(st.suspects.digests[:])
	return q
}

// SuspectsBeside answers the query of another core instance, with as many whole buckets as fit a message.
func (st *Store) SuspectsBeside(now time.Time, q SuspectsQuery) []suspect.Entry {
	st.mu.Lock()
	defer st.mu.Unlock()
	l := &st.suspects
	l.expire(now)
	var buckets [SuspectBuckets][]suspect.Entry
	for key, r := range l.records {
		if n := bucket(key); n < len(q.Digests) && l.digests[n] != q.Digests[n] {
			buckets[n] = append(buckets[n], r.entry)
		}
	}
	var out []suspect.Entry
	for k := range uint64(SuspectBuckets) {
		next := buckets[(q.First%SuspectBuckets+k)%SuspectBuckets]
		if len(out) > 0 && len(out)+len(next) > maxSuspectsPerExchange {
			break
		}
		out = append(out, next...)
	}
	return out
}
