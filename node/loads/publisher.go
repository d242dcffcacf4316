package loads

import (
	"slices"
	"time"

	"github.com/gullhaven/gullhaven/ports"
	"github.com/gullhaven/gullhaven/route"
)

const (
	// budgetBurst is the largest unused budget that is kept, in time at the rate.
	budgetBurst = 10 * time.Second
	// minBurstBytes is the least burst, so that a version or an event fits in a
	// large region.
	minBurstBytes = 256
	// detailRefresh is the time after which details are sent again, as the message
	// with them may have been lost.
	detailRefresh = 30 * time.Second
	// maxQueuedEvents bounds the queued events.
	maxQueuedEvents = 256
	// eventRowBytes and hashBytes bound the size of an event and of each hash in it.
	eventRowBytes, hashBytes = 24, 9
	// detailRowBytes bounds the size of a detail row without its names.
	detailRowBytes = 18
)

// publisher decides what an owner sends to the other members and when. It bounds the
// bytes to each of them: a round with all its engines per ShareInterval, and
// ExtraBytesPerSecond divided by the number of other members for the rest.
//
// A change that makes a target unusable (it leaves, loads, went down, or crashed and
// came back) is sent without waiting for the round, as requests sent in the meantime
// would be lost or late. That a target is warm again waits, so that an engine that
// alternates costs one message per ShareInterval besides the rounds.
type publisher struct {
	timing Timing
	peers  int
	// rate is the budget to each member in bytes per second, tokens its unused bytes.
	rate, tokens float64
	refilledAt   time.Time
	nextRound    time.Time
	publications map[string]*publication
	// order is the order of the rows in a message.
	order  []string
	urgent bool
	events []cacheEvent
}

// publication is what was sent of one engine that this instance polls.
type publication struct {
	current   Observation
	currentAt time.Time
	// unpublished is set if current was not sent yet.
	unpublished bool
	last        Observation
	// lastAt is when last was sent, detailAt when it was sent with its details;
	// zero for never.
	lastAt, detailAt time.Time
	// repeat is set to send it again in the next round, as an urgent message may
	// be lost.
	repeat bool
}

func newPublisher() *publisher { return &publisher{publications: map[string]*publication{}} }

// configure sets the timing, the number of other members, the number of engines that
// this instance owns, and all known engines. With resend, everything is sent again, as
// there is a new member or target.
func (t *publisher) configure(timing Timing, peers, owned int, known map[string]*engineState, resend bool) {
	t.timing, t.peers = timing, peers
	round := float64(MessageBytes + owned*LoadBytes)
	t.rate = round/timing.ShareInterval.Seconds() + ExtraBytesPerSecond/float64(max(1, peers))
	for id, p := range t.publications {
		if known[id] == nil {
			delete(t.publications, id)
		}
		if resend {
			p.lastAt, p.detailAt = time.Time{}, time.Time{}
		}
	}
	t.order = slices.DeleteFunc(t.order, func(id string) bool { return t.publications[id] == nil })
}

// observe sets the current observation of an engine.
func (t *publisher) observe(now time.Time, o Observation) {
	e := t.publications[o.Target]
	if e == nil {
		e = &publication{}
		t.publications[o.Target] = e
		t.order = append(t.order, o.Target)
	}
	e.current, e.currentAt, e.unpublished = o, now, true
	t.urgent = t.urgent || e.urgent()
}

// urgent reports whether others may send requests that the engine won't serve.
func (e *publication) urgent() bool {
	if !e.unpublished || !e.lastAt.IsZero() && e.last.State != route.Warm {
		return false
	}
	crashed := !e.lastAt.IsZero() && e.current.Incarnation != e.last.Incarnation
	return e.current.State != route.Warm || crashed
}

// queueEvent queues an event, and drops the oldest if the queue is full.
func (t *publisher) queueEvent(target string, e ports.CacheEvent) {
	if len(t.events) == maxQueuedEvents {
		t.events = slices.Delete(t.events, 0, 1)
	}
	t.events = append(t.events, cacheEvent{target, e})
}

// nextMessage returns the message that is due, false if there is none.
func (t *publisher) nextMessage(now time.Time, k keys) (message, bool) {
	t.refill(now)
	round := !now.Before(t.nextRound)
	if t.peers == 0 || !round && !t.urgent {
		return message{}, false
	}
	if round {
		t.nextRound = now.Add(t.timing.ShareInterval)
	}
	t.urgent = false
	var m message
	for _, id := range t.order {
		e := t.publications[id]
		if e.urgent() || round && e.due(now, t.timing) {
			t.addRow(now, &m, k.of[id], e)
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

// refill adds the budget accrued since the last call.
func (t *publisher) refill(now time.Time) {
	most := max(minBurstBytes, t.rate*budgetBurst.Seconds())
	if !t.refilledAt.IsZero() {
		t.tokens += t.rate * now.Sub(t.refilledAt).Seconds()
	}
	t.tokens = min(max(t.tokens, -most), most)
	t.refilledAt = now
}

// due reports whether an observation belongs in the round: it differs from what was
// sent, or has to be repeated before the next round.
func (e *publication) due(now time.Time, p Timing) bool {
	if !e.unpublished {
		return false
	}
	repeat := e.repeat || e.lastAt.IsZero() || now.Add(p.ShareInterval).Sub(e.lastAt) > p.RepeatInterval
	return repeat || differs(e.current, e.last)
}

// differs reports whether routing may decide differently on a than on b: a difference
// in a count of at least 10 %, or in KV cache use of 0.02.
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

// addRow adds a row, and the details if they changed or are due for a refresh and the
// budget allows. A new incarnation is always sent with the row, as others detect a
// crash by it.
func (t *publisher) addRow(now time.Time, m *message, key uint64, e *publication) {
	o := e.current
	o.AgeMillis += now.Sub(e.currentAt).Milliseconds()
	m.Loads = append(m.Loads, rowOf(key, o))
	t.tokens -= LoadBytes
	e.repeat = e.urgent()
	changed := e.detailAt.IsZero() || !sameDetails(e.current, e.last)
	if o.Incarnation != e.last.Incarnation || t.tokens > 0 && (changed || now.Sub(e.detailAt) >= detailRefresh) {
		m.Details = append(m.Details, detailRow{Target: key, Incarnation: o.Incarnation, Version: o.Version, Adapters: o.Adapters})
		t.tokens -= float64(detailSize(o))
		e.detailAt = now
	} else if changed {
		// The details remain unsent for a later round.
		o.Incarnation, o.Version, o.Adapters = e.last.Incarnation, e.last.Version, e.last.Adapters
		e.detailAt = time.Time{}
	}
	e.last, e.lastAt, e.unpublished = o, now, false
}

func detailSize(o Observation) int {
	n := detailRowBytes + len(o.Version)
	for _, a := range o.Adapters {
		n += 2 + len(a)
	}
	return n
}

// addEvents adds the latest events that fit the budget, in order, and drops the
// others: events are hints and have gaps.
func (t *publisher) addEvents(m *message, k keys) {
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
