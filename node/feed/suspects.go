package feed

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/gullhaven/gullhaven/coord/suspect"
)

const (
	// suspectGossipTime is for how long a suspect that an entry instance reported here is sent to
	// other core instances: several gossip messages, so that a lost one has no effect. One that was
	// partitioned for longer gets it by SuspectsDigest.
	suspectGossipTime = 3 * time.Second
	// maxSuspects bounds the number of suspects that are kept; each takes 80 bytes.
	maxSuspects = 8192
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

// suspectLog holds the requests that may crash their targets, and those that were cleared.
type suspectLog struct {
	records map[suspectKey]suspectRecord
	last    uint64
	// digest identifies the set of records, whatever their order: it is the sum of their hashes, 0 for
	// none.
	digest uint64
}

// add stores an entry and reports whether it changed anything.
func (l *suspectLog) add(now time.Time, e suspect.Entry, direct bool) bool {
	key := suspectKey{e.Digest, e.Crash}
	old, known := l.records[key]
	if !now.Before(e.Until) || known && e.Status <= old.entry.Status && !e.Until.After(old.entry.Until) && e.Round <= old.entry.Round {
		return false
	}
	if known {
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
	l.digest += r.hash - old.hash
	l.records[key] = r
	return true
}

func hashOf(e *suspect.Entry) uint64 {
	// A struct of fixed types cannot fail to be encoded.
	data, _ := cbor.Marshal(suspect.Entry{Digest: e.Digest, Crash: e.Crash, Status: e.Status})
	return xxhash.Sum64(data)
}

func (l *suspectLog) remove(key suspectKey) {
	l.digest -= l.records[key].hash
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
	for key, r := range l.records {
		if !now.Before(r.entry.Until) {
			l.remove(key)
		}
	}
}

// entries returns those that are included, in the order of their last changes.
func (l *suspectLog) entries(include func(r *suspectRecord) bool) []suspect.Entry {
	var found []suspectRecord
	for _, r := range l.records {
		if include(&r) {
			found = append(found, r)
		}
	}
	slices.SortFunc(found, func(a, b suspectRecord) int { return cmp.Compare(a.number, b.number) })
	var out []suspect.Entry
	for _, r := range found {
		out = append(out, r.entry)
	}
	return out
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
		changed = st.suspects.add(now, e, direct) || changed
	}
	if changed {
		st.wakePending = true
		st.wakeIfPending(now)
	}
	return changed
}

// Suspects returns all that are stored, for another core instance.
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

// HasSuspectsFor reports whether the sender of a report misses suspects.
func (st *Store) HasSuspectsFor(r *Report) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	m := r.Suspected
	return m != nil && len(st.suspects.records) > 0 && (m.Epoch != st.changes.epoch || m.At < st.suspects.last)
}

// suspectsFor returns the suspects that the sender of a report misses, and its next mark. One of an
// older version, without a mark, gets the recent ones.
func (st *Store) suspectsFor(now time.Time, r *Report) ([]suspect.Entry, *SuspectsMark) {
	m := r.Suspected
	if m == nil {
		return st.recentSuspects(now, false), nil
	}
	next := &SuspectsMark{Epoch: st.changes.epoch, At: st.suspects.last}
	if *m == *next {
		return nil, next
	}
	st.suspects.expire(now)
	return st.suspects.entries(func(r *suspectRecord) bool { return m.Epoch != next.Epoch || r.number > m.At }), next
}

// recentSuspects returns those received within suspectGossipTime, with directOnly only direct ones.
func (st *Store) recentSuspects(now time.Time, directOnly bool) []suspect.Entry {
	if len(st.suspects.records) == 0 {
		return nil
	}
	return st.suspects.entries(func(r *suspectRecord) bool {
		return now.Sub(r.receivedAt) <= suspectGossipTime && (r.direct || !directOnly)
	})
}

// SuspectsDiffer reports whether another core instance holds other suspects than this one, so that
// the two must exchange all. A full store exchanges none, as its neighbours evict others.
func (st *Store) SuspectsDiffer(now time.Time, digest uint64) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.suspects.expire(now)
	return len(st.suspects.records) < maxSuspects && digest != st.suspects.digest
}
