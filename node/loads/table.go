// Package loads polls the region's engines and shares what they report.
//
// Each engine is polled by one owner among the region's live instances, chosen
// by rendezvous hashing, and by a deputy where the owner's reports stay out.
// Polling by all would load the engines with the number of instances.
package loads

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gullhaven/gullhaven/ports"
	"github.com/gullhaven/gullhaven/route"
)

// downAfter is how many polls in a row fail before a target counts as down.
const downAfter = 3

// Target is an engine to poll.
type Target struct {
	ID      string
	Address string
}

// Observation is what one poll found.
type Observation struct {
	Target string
	// Age of the report when it was sent, in milliseconds: clocks of instances
	// differ, so no time of day is sent.
	AgeMillis     int64
	Running       int
	Waiting       int
	WaitingTokens int
	// KVUsed is the share of KV cache memory in use, 0 to 1.
	KVUsed float32
	// State is Warm, Loading, Leaving or Down.
	State route.State
	// Brief: what follows is left out, as it was told before.
	DetailsOmitted bool
	// Version and Adapters are what the engine has loaded.
	Version  string
	Adapters []string
	// Life numbers the lives of the engine, alike at all instances: when it
	// started, in Unix milliseconds, where it tells so; else it counts on each
	// time that the engine comes back.
	Incarnation uint64
}

// entry is what is known of one engine.
type entry struct {
	target   Target
	owner    bool
	deputy   bool
	polledAt time.Time
	failures int
	seen     Observation
	// seenAt is when seen was received or made here; zero for never.
	seenAt time.Time
	// heardAt is when another instance last told of it.
	heardAt time.Time
}

// Book is the knowledge of one instance. It has no input or output and is not
// safe for several goroutines.
type Table struct {
	self    string
	targets []Target
	members []string
	entries map[string]*entry
	// leaving are the targets that the platform's list says are leaving.
	leaving map[string]bool
	pace    Timing
	keys    keys
	teller  *teller
	// unknown counts rows of targets that the bundle here does not have.
	unknown uint64
}

// NewBook makes the Book of an instance.
func NewTable(self string) *Table {
	return &Table{self: self, entries: map[string]*entry{}, pace: TimingOf(1, 0, 0), teller: newTeller()}
}

// SetTargets replaces the engines of the region.
func (b *Table) SetTargets(targets []Target) {
	kept := map[string]*entry{}
	for _, t := range targets {
		e := b.entries[t.ID]
		if e == nil || e.target.Address != t.Address {
			e = &entry{}
		}
		e.target = t
		kept[t.ID] = e
	}
	isNew := func(t Target) bool { return b.entries[t.ID] == nil }
	again := slices.ContainsFunc(targets, isNew)
	b.targets, b.entries, b.keys = slices.Clone(targets), kept, newKeys(targets)
	b.assign(again)
}

// SetMembers replaces the live instances of the region.
func (b *Table) SetMembers(members []string) {
	known := func(m string) bool { return slices.Contains(b.members, m) }
	again := slices.ContainsFunc(members, func(m string) bool { return !known(m) })
	b.members = members
	b.assign(again)
}

// SetLeaving replaces the targets that the platform says are leaving. It lags
// and may be wrong; a target that it names takes no new work, and takes it up
// again when it is no longer named.
func (b *Table) SetLeaving(ids []string) {
	b.leaving = map[string]bool{}
	for _, id := range ids {
		b.leaving[id] = true
	}
}

// assign computes owner and deputy of each engine, and the times that follow.
// During a change of members two instances may both poll; that costs a little
// and harms nothing. again: tell everything anew.
func (b *Table) assign(again bool) {
	owned := map[string]int{}
	busiest := 0
	for _, e := range b.entries {
		first, second := topTwo(e.target.ID, b.members)
		e.owner = first == b.self || first == ""
		e.deputy = second == b.self
		owned[first]++
		busiest = max(busiest, owned[first])
	}
	b.pace = TimingOf(len(b.members), len(b.targets), busiest)
	b.teller.set(b.pace, max(0, len(b.members)-1), owned[b.self], b.entries, again)
}

// topTwo are the members with the highest rendezvous weights.
func topTwo(target string, members []string) (first, second string) {
	var w1, w2 uint64
	for _, m := range members {
		w := xxhash.Sum64String(target + "\x00" + m)
		switch {
		case first == "" || w > w1:
			first, second, w1, w2 = m, first, w, w1
		case second == "" || w > w2:
			second, w2 = m, w
		}
	}
	return first, second
}

// Due returns the engines to poll now and marks them as polled.
func (b *Table) Due(now time.Time) []Target {
	var due []Target
	for _, t := range b.targets {
		e := b.entries[t.ID]
		silent := now.Sub(e.heardAt) > b.pace.BackupDelay
		mine := e.owner || e.deputy && silent
		if !mine || now.Sub(e.polledAt) < b.pace.PollInterval {
			continue
		}
		e.polledAt = now
		due = append(due, e.target)
	}
	return due
}

// Polled takes the end of a poll and returns what to learn of it. A single
// failure is told to nobody: the poll itself may have been what was slow.
func (b *Table) HandlePoll(now time.Time, target string, r ports.LoadReport, err error) (Observation, bool) {
	e := b.entries[target]
	if e == nil {
		return Observation{}, false
	}
	if err != nil {
		e.failures++
		if e.failures < downAfter {
			return Observation{}, false
		}
		o := Observation{Target: target, State: route.Down, Incarnation: e.seen.Incarnation}
		b.teller.observe(now, o)
		return b.note(now, e, o), true
	}
	e.failures = 0
	o := observe(target, now, r)
	o.Incarnation = e.life(r)
	b.teller.observe(now, o)
	return b.note(now, e, o), true
}

// life is the number of the engine's life that a report belongs to. Where the
// engine doesn't tell its start, a crash between two polls is not noticed, and
// two lives share a number.
func (e *entry) life(r ports.LoadReport) uint64 {
	if !r.Started.IsZero() {
		return uint64(r.Started.UnixMilli())
	}
	if e.seen.State == route.Down {
		return e.seen.Incarnation + 1
	}
	return e.seen.Incarnation
}

// observe turns an engine's report into what is shared.
func observe(target string, now time.Time, r ports.LoadReport) Observation {
	o := Observation{
		Target:        target,
		AgeMillis:     max(0, now.Sub(r.At).Milliseconds()),
		Running:       r.Running,
		Waiting:       r.Waiting,
		WaitingTokens: r.WaitingTokens,
		KVUsed:        float32(r.KVUsed),
		Version:       r.Version,
		Adapters:      r.Adapters,
	}
	switch {
	case r.Draining:
		o.State = route.Leaving
	case r.Loading:
		o.State = route.Loading
	}
	return o
}

func (b *Table) note(now time.Time, e *entry, o Observation) Observation {
	e.seen, e.seenAt = o, now
	return o
}

// Received takes an observation of another instance.
func (b *Table) Merge(now time.Time, o Observation) {
	e := b.entries[o.Target]
	if e == nil {
		return
	}
	if o.DetailsOmitted {
		o.Version, o.Adapters, o.Incarnation, o.DetailsOmitted = e.seen.Version, e.seen.Adapters, e.seen.Incarnation, false
	}
	e.heardAt = now
	b.note(now, e, o)
}

// Queue takes a cache event of an engine to tell, if there is room.
func (b *Table) QueueEvent(target string, e ports.CacheEvent) { b.teller.queue(target, e) }

// Share returns what to send to every other member now; nil if nothing is due.
// It is called every 100 ms.
func (b *Table) Share(now time.Time) ([]byte, error) {
	m, due := b.teller.take(now, b.keys)
	if !due {
		return nil, nil
	}
	return encode(m)
}

// Heard takes a message of another member and returns what to learn of it. The
// error is of malformed bytes, of which nothing is taken.
func (b *Table) HandleMessage(now time.Time, data []byte) ([]Observation, []cacheEvent, error) {
	h, err := b.keys.decode(data)
	if err != nil {
		return nil, nil, err
	}
	b.unknown += uint64(h.unknown)
	for _, o := range h.observations {
		b.Merge(now, o)
	}
	return h.observations, h.events, nil
}

// Unknown is how many rows were dropped as their target is not in the bundle.
func (b *Table) UnknownTargets() uint64 { return b.unknown }

// State is what was observed of an engine, for requests: Down is forgotten when
// nobody repeats it.
func (b *Table) State(now time.Time, target string) (route.State, bool) {
	e := b.entries[target]
	if e == nil || e.seenAt.IsZero() {
		return route.Warm, false
	}
	if e.seen.State == route.Down && now.Sub(e.seenAt) > b.pace.DownExpiry {
		return route.Warm, false
	}
	return e.seen.State, true
}

// Seen returns the last observation of an engine and when it was received.
func (b *Table) LastObservation(target string) (Observation, time.Time) {
	e := b.entries[target]
	if e == nil {
		return Observation{}, time.Time{}
	}
	return e.seen, e.seenAt
}

// Overlay sets the observed states on what the bundle says. What the bundle
// says of leaving stands; an engine that loads or is down takes no work.
func (b *Table) Overlay(now time.Time, specs []route.TargetSpec) []route.TargetSpec {
	out := slices.Clone(specs)
	for i := range out {
		state, known := b.State(now, string(out[i].ID))
		if known && (out[i].State == route.Warm || state == route.Down) {
			out[i].State = state
		}
		if out[i].State == route.Warm && b.leaving[string(out[i].ID)] {
			out[i].State = route.Leaving
		}
	}
	return out
}

// ReportOf is an observation in the form that routing takes.
func ReportOf(now time.Time, o Observation) route.Report {
	return route.Report{
		Target:        route.TargetID(o.Target),
		At:            now.Add(-time.Duration(o.AgeMillis) * time.Millisecond),
		Running:       o.Running,
		Waiting:       o.Waiting,
		WaitingTokens: o.WaitingTokens,
		KVUsed:        float64(o.KVUsed),
	}
}
