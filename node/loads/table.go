// Package loads polls the region's engines and shares their load reports among the
// region's instances.
//
// Each engine is polled by one owner among the region's live instances, chosen
// by rendezvous hashing, and by a backup if the owner's reports don't arrive.
// If all instances polled, the load on engines would grow with their number.
package loads

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gullhaven/gullhaven/ports"
	"github.com/gullhaven/gullhaven/route"
)

// downAfterFailures is the number of consecutive failed polls after which a target
// counts as down.
const downAfterFailures = 3

// Target is an engine to poll.
type Target struct {
	ID      string
	Address string
}

// Observation is the result of one poll.
type Observation struct {
	Target string
	// AgeMillis is the age of the report when it was sent. The clocks of instances
	// differ, so no time of day is sent.
	AgeMillis     int64
	Running       int
	Waiting       int
	WaitingTokens int
	// KVUsed is the fraction of KV cache memory in use, 0 to 1.
	KVUsed float32
	// State is Warm, Loading, Leaving or Down.
	State route.State
	// DetailsOmitted is set if the fields below are not set, as they were sent before.
	DetailsOmitted bool
	// Version and Adapters are what the engine has loaded.
	Version  string
	Adapters []string
	// Incarnation identifies the incarnation of the engine, with the same number
	// at all instances: its start in Unix milliseconds if it reports that, else a
	// counter that increases each time the engine comes back.
	Incarnation uint64
}

// engineState is the knowledge of one engine.
type engineState struct {
	target   Target
	owner    bool
	backup   bool
	polledAt time.Time
	failures int
	observed Observation
	// observedAt is when observed was received or made here; zero for never.
	observedAt time.Time
	// receivedAt is when the last observation of another instance was received.
	receivedAt time.Time
}

// Table is the knowledge of one instance of the region's engines. It does no input
// or output and is not safe for concurrent use.
type Table struct {
	self    string
	targets []Target
	members []string
	engines map[string]*engineState
	// leaving are the targets that the platform's list marks as leaving.
	leaving   map[string]bool
	timing    Timing
	keys      keys
	publisher *publisher
	// unknownTargets counts rows of targets that this instance's bundle doesn't have.
	unknownTargets uint64
}

// NewTable returns the Table of an instance.
func NewTable(self string) *Table {
	return &Table{self: self, engines: map[string]*engineState{}, timing: TimingOf(1, 0, 0), publisher: newPublisher()}
}

// SetTargets replaces the engines of the region.
func (b *Table) SetTargets(targets []Target) {
	kept := map[string]*engineState{}
	for _, t := range targets {
		e := b.engines[t.ID]
		if e == nil || e.target.Address != t.Address {
			e = &engineState{}
		}
		e.target = t
		kept[t.ID] = e
	}
	isNew := func(t Target) bool { return b.engines[t.ID] == nil }
	resend := slices.ContainsFunc(targets, isNew)
	b.targets, b.engines, b.keys = slices.Clone(targets), kept, newKeys(targets)
	b.assign(resend)
}

// SetMembers replaces the live instances of the region.
func (b *Table) SetMembers(members []string) {
	known := func(m string) bool { return slices.Contains(b.members, m) }
	resend := slices.ContainsFunc(members, func(m string) bool { return !known(m) })
	b.members = members
	b.assign(resend)
}

// SetLeaving replaces the targets that the platform lists as leaving. The list lags
// and may be wrong: a target on it gets no new work, and gets work again once it is
// no longer listed.
func (b *Table) SetLeaving(ids []string) {
	b.leaving = map[string]bool{}
	for _, id := range ids {
		b.leaving[id] = true
	}
}

// assign computes owner and backup of each engine, and the timing that follows.
// During a change of members two instances may both poll, which costs some polls
// and is harmless. With resend, everything is sent again.
func (b *Table) assign(resend bool) {
	owned := map[string]int{}
	busiest := 0
	for _, e := range b.engines {
		first, second := topTwo(e.target.ID, b.members)
		e.owner = first == b.self || first == ""
		e.backup = second == b.self
		owned[first]++
		busiest = max(busiest, owned[first])
	}
	b.timing = TimingOf(len(b.members), len(b.targets), busiest)
	b.publisher.configure(b.timing, max(0, len(b.members)-1), owned[b.self], b.engines, resend)
}

// topTwo returns the members with the highest rendezvous weights for a target.
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
		e := b.engines[t.ID]
		silent := now.Sub(e.receivedAt) > b.timing.BackupDelay
		mine := e.owner || e.backup && silent
		if !mine || now.Sub(e.polledAt) < b.timing.PollInterval {
			continue
		}
		e.polledAt = now
		due = append(due, e.target)
	}
	return due
}

// HandlePoll handles the end of a poll and returns the observation, false if there is
// none to apply. Fewer than downAfterFailures failures are not reported, as the poll
// itself may have been slow.
func (b *Table) HandlePoll(now time.Time, target string, r ports.LoadReport, err error) (Observation, bool) {
	e := b.engines[target]
	if e == nil {
		return Observation{}, false
	}
	if err != nil {
		e.failures++
		if e.failures < downAfterFailures {
			return Observation{}, false
		}
		o := Observation{Target: target, State: route.Down, Incarnation: e.observed.Incarnation}
		b.publisher.observe(now, o)
		return b.record(now, e, o), true
	}
	e.failures = 0
	o := observationOf(target, now, r)
	o.Incarnation = e.incarnation(r)
	b.publisher.observe(now, o)
	return b.record(now, e, o), true
}

// incarnation returns the number of the engine's incarnation that a report belongs
// to. If the engine doesn't report its start, a crash between two polls goes
// unnoticed, and two incarnations share a number.
func (e *engineState) incarnation(r ports.LoadReport) uint64 {
	if !r.Started.IsZero() {
		return uint64(r.Started.UnixMilli())
	}
	if e.observed.State == route.Down {
		return e.observed.Incarnation + 1
	}
	return e.observed.Incarnation
}

// observationOf converts an engine's report to an Observation, without Incarnation.
func observationOf(target string, now time.Time, r ports.LoadReport) Observation {
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

func (b *Table) record(now time.Time, e *engineState, o Observation) Observation {
	e.observed, e.observedAt = o, now
	return o
}

// Merge applies an observation of another instance. Observations of unknown targets
// are ignored.
func (b *Table) Merge(now time.Time, o Observation) {
	e := b.engines[o.Target]
	if e == nil {
		return
	}
	if o.DetailsOmitted {
		o.Version, o.Adapters, o.Incarnation, o.DetailsOmitted = e.observed.Version, e.observed.Adapters, e.observed.Incarnation, false
	}
	e.receivedAt = now
	b.record(now, e, o)
}

// QueueEvent queues a cache event of an engine for sending. If the queue is full, the
// oldest event is dropped.
func (b *Table) QueueEvent(target string, e ports.CacheEvent) { b.publisher.queueEvent(target, e) }

// Share returns the message to send to every other member now, nil if nothing is due.
// It is called every 100 ms.
func (b *Table) Share(now time.Time) ([]byte, error) {
	m, due := b.publisher.nextMessage(now, b.keys)
	if !due {
		return nil, nil
	}
	return encode(m)
}

// HandleMessage applies a message of another member and returns its observations and
// events. A malformed message returns an error and is not applied in part.
func (b *Table) HandleMessage(now time.Time, data []byte) ([]Observation, []cacheEvent, error) {
	h, err := b.keys.decode(data)
	if err != nil {
		return nil, nil, err
	}
	b.unknownTargets += uint64(h.unknown)
	for _, o := range h.observations {
		b.Merge(now, o)
	}
	return h.observations, h.events, nil
}

// UnknownTargets returns the number of rows dropped as their target is not in the bundle.
func (b *Table) UnknownTargets() uint64 { return b.unknownTargets }

// State returns the observed state of an engine for routing, false if there is none.
// Down expires after Timing.DownTTL unless it is reported again.
func (b *Table) State(now time.Time, target string) (route.State, bool) {
	e := b.engines[target]
	if e == nil || e.observedAt.IsZero() {
		return route.Warm, false
	}
	if e.observed.State == route.Down && now.Sub(e.observedAt) > b.timing.DownTTL {
		return route.Warm, false
	}
	return e.observed.State, true
}

// LastObservation returns the last observation of an engine and when it was received
// or made here; zero values if there is none.
func (b *Table) LastObservation(target string) (Observation, time.Time) {
	e := b.engines[target]
	if e == nil {
		return Observation{}, time.Time{}
	}
	return e.observed, e.observedAt
}

// Overlay returns specs, the targets with their states in the bundle, with the
// observed states applied. Leaving in the bundle isn't overwritten by an observation
// other than Down; an engine that loads or is down gets no work.
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

// ReportOf converts an observation to routing's form.
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
