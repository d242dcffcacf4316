package loads

import (
	"slices"
	"time"

	"github.com/gullhaven/gullhaven/ports"
	"github.com/gullhaven/gullhaven/route"
)

const (
	// burstTime is how much of the budget may be saved up, in time.
	burstTime = 10 * time.Second
	// leastBurst lets a version or an event through in a large region.
	leastBurst = 256
	// refresh is the time after which details are told again: the message with
	// them may have been lost.
	refresh = 30 * time.Second
	// maxQueued bounds the events that wait.
	maxQueued = 256
	// eventRowBytes and hashBytes bound an event and each hash in it.
	eventRowBytes, hashBytes = 24, 9
	// detailRowBytes bounds a detail without its names.
	detailRowBytes = 18
)

// teller decides what an owner tells the other members and when. It bounds the
// bytes to each of them: a round with all its engines in each Share, and
// ExtraBytes divided by the members for the rest.
//
// What takes a target out of work (it leaves, loads or went down, or crashed
// and came back) does not wait for the round: work sent in the meantime would
// be lost or late. That a target is warm again waits, so that an engine that
// comes and goes costs one message beside the rounds in each Share.
type teller struct {
	pace  Timing
	peers int
	// rate in bytes a second to each member, and what is left of it.
	rate, tokens float64
	countedAt    time.Time
	next         time.Time
	told         map[string]*telling
	// order keeps the rows of a message in one order.
	order  []string
	urgent bool
	events []cacheEvent
}

// telling is what the others know of one engine that is polled here.
type telling struct {
	now   Observation
	nowAt time.Time
	// fresh: now was not told yet.
	fresh bool
	last  Observation
	// lastAt is when last was told, detailAt when with its details; zero for
	// never.
	lastAt, detailAt time.Time
	// repeat in the next round: the message that did not wait may be lost.
	repeat bool
}

func newTeller() *teller { return &teller{told: map[string]*telling{}} }

// set takes new members and targets. again: a member is new and knows nothing.
func (t *teller) set(pace Timing, peers, owned int, known map[string]*entry, again bool) {
	t.pace, t.peers = pace, peers
	round := float64(MessageBytes + owned*LoadBytes)
	t.rate = round/pace.ShareInterval.Seconds() + ExtraBytesPerSecond/float64(max(1, peers))
	for id, told := range t.told {
		if known[id] == nil {
			delete(t.told, id)
		}
		if again {
			told.lastAt, told.detailAt = time.Time{}, time.Time{}
		}
	}
	t.order = slices.DeleteFunc(t.order, func(id string) bool { return t.told[id] == nil })
}

// observe takes what was found of an engine.
func (t *teller) observe(now time.Time, o Observation) {
	e := t.told[o.Target]
	if e == nil {
		e = &telling{}
		t.told[o.Target] = e
		t.order = append(t.order, o.Target)
	}
	e.now, e.nowAt, e.fresh = o, now, true
	t.urgent = t.urgent || e.urgent()
}

// urgent says that others may send work which the engine won't do.
func (e *telling) urgent() bool {
	if !e.fresh || !e.lastAt.IsZero() && e.last.State != route.Warm {
		return false
	}
	crashed := !e.lastAt.IsZero() && e.now.Incarnation != e.last.Incarnation
	return e.now.State != route.Warm || crashed
}

// queue takes an event; the oldest is dropped where too many wait.
func (t *teller) queue(target string, e ports.CacheEvent) {
	if len(t.events) == maxQueued {
		t.events = slices.Delete(t.events, 0, 1)
	}
	t.events = append(t.events, cacheEvent{target, e})
}

// take returns the message that is due; false if there is nothing to say.
func (t *teller) take(now time.Time, k keys) (message, bool) {
	t.count(now)
	round := !now.Before(t.next)
	if t.peers == 0 || !round && !t.urgent {
		return message{}, false
	}
	if round {
		t.next = now.Add(t.pace.ShareInterval)
	}
	t.urgent = false
	var m message
	for _, id := range t.order {
		e := t.told[id]
		if e.urgent() || round && e.due(now, t.pace) {
			t.add(now, &m, k.of[id], e)
		}
	}
	if round {
		t.addEvents(&m, k)
	}
	if len(m.Loads) == 0 && len(m.Events) == 0 {
		return message{}, false
	}
	t.tokens -= MessageBytes
	return m, true
}

// count adds what the rate gave since the last time.
func (t *teller) count(now time.Time) {
	most := max(leastBurst, t.rate*burstTime.Seconds())
	if !t.countedAt.IsZero() {
		t.tokens += t.rate * now.Sub(t.countedAt).Seconds()
	}
	t.tokens = min(max(t.tokens, -most), most)
	t.countedAt = now
}

// due says that an observation is worth a place in the round: it differs from
// what was told, or has to be repeated before the next.
func (e *telling) due(now time.Time, p Timing) bool {
	if !e.fresh {
		return false
	}
	repeat := e.repeat || e.lastAt.IsZero() || now.Add(p.ShareInterval).Sub(e.lastAt) > p.RepeatInterval
	return repeat || differs(e.now, e.last)
}

// differs by so much that routing would decide otherwise.
func differs(a, b Observation) bool {
	far := func(x, y, least int) bool {
		d := max(x-y, y-x)
		return d >= least && d*10 >= max(x, y)
	}
	kv := a.KVUsed - b.KVUsed
	return a.State != b.State || !sameDetails(a, b) || far(a.Running, b.Running, 1) || far(a.Waiting, b.Waiting, 1) ||
		far(a.WaitingTokens, b.WaitingTokens, 256) || max(kv, -kv) >= 0.02
}

func sameDetails(a, b Observation) bool {
	return a.Incarnation == b.Incarnation && a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters)
}

// add writes a row, and the details where they changed or are to be told again
// and the budget allows. A new life is told with the row in any case: a crash
// is known by it.
func (t *teller) add(now time.Time, m *message, key uint64, e *telling) {
	o := e.now
	o.AgeMillis += now.Sub(e.nowAt).Milliseconds()
	m.Loads = append(m.Loads, rowOf(key, o))
	t.tokens -= LoadBytes
	e.repeat = e.urgent()
	changed := e.detailAt.IsZero() || !sameDetails(e.now, e.last)
	if o.Incarnation != e.last.Incarnation || t.tokens > 0 && (changed || now.Sub(e.detailAt) >= refresh) {
		m.Details = append(m.Details, detailRow{Target: key, Life: o.Incarnation, Version: o.Version, Adapters: o.Adapters})
		t.tokens -= float64(detailSize(o))
		e.detailAt = now
	} else if changed {
		// Keep them untold for the next round.
		o.Incarnation, o.Version, o.Adapters = e.last.Incarnation, e.last.Version, e.last.Adapters
		e.detailAt = time.Time{}
	}
	e.last, e.lastAt, e.fresh = o, now, false
}

func detailSize(o Observation) int {
	n := detailRowBytes + len(o.Version)
	for _, a := range o.Adapters {
		n += 2 + len(a)
	}
	return n
}

// addEvents writes as many events as the budget has room for, the latest of
// them, in order. The others are dropped: events are hints and have gaps.
func (t *teller) addEvents(m *message, k keys) {
	from := len(t.events)
	left := t.tokens
	for from > 0 {
		e := t.events[from-1].event
		size := float64(eventRowBytes + hashBytes*(len(e.Stored)+len(e.Evicted)))
		if size > left {
			break
		}
		left -= size
		from--
	}
	for _, e := range t.events[from:] {
		if key, known := k.of[e.target]; known {
			m.Events = append(m.Events, eventRow{Target: key, Seq: e.event.Seq, Stored: e.event.Stored, Evicted: e.event.Evicted})
		}
	}
	t.tokens, t.events = left, t.events[:0]
}
