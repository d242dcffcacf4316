package roster

import (
	"slices"
	"time"
)

// heard is what is known of another region.
type heard struct {
	roster  Roster
	summary Summary
	// from is who told it, and seq the highest number from there.
	from string
	seq  uint64
	at   time.Time
	// passedAt is when the roster was last passed on to members.
	passedAt time.Time
}

// Own is the host's view of its region.
type OwnRegion struct {
	// Relays of the region, in order; at most two.
	Relays []Contact
	// Members are the live instances, this one included.
	Members []Contact
}

// Table is the knowledge of one instance. It is not safe for several goroutines.
type Table struct {
	self Contact
	// seeds are the contacts from settings, by region.
	seeds map[string][]Contact
	// neighbours are the regions that are told the summary.
	neighbours []string
	own        OwnRegion
	summary    []byte
	// seq numbers the rosters and summaries of this instance.
	seq uint64
	// changed says that own changed since the roster was sent, at sentAt.
	changed bool
	sentAt  time.Time
	regions map[string]*heard
	// fresh are the summaries that Summaries has not returned yet.
	fresh []Summary
}

// New makes the Table of an instance. Seeds are instances of any region, known
// from settings; they are asked until relays of their region were heard.
func New(self Contact, seeds []Contact) *Table {
	t := &Table{self: self, seeds: map[string][]Contact{}, regions: map[string]*heard{}}
	for _, s := range seeds {
		if s.Region != self.Region {
			t.seeds[s.Region] = append(t.seeds[s.Region], s)
		}
	}
	return t
}

// SetOwn replaces the view of the own region.
func (t *Table) SetOwnRegion(o OwnRegion) {
	if !slices.Equal(o.Relays, t.own.Relays) || !slices.Equal(o.Members, t.own.Members) {
		t.changed = true
	}
	t.own = o
}

// SetNeighbours replaces the regions that are told the summary.
func (t *Table) SetNeighbours(regions []string) { t.neighbours = regions }

// SetSummary replaces the summary of the own region. Each Tick sends it to the
// neighbours, also if it did not change.
func (t *Table) SetSummary(data []byte) { t.summary = data }

// Tick lets time pass; the host calls it every TickInterval. Only the first
// relay speaks for the region: when it dies the other takes its place in Own.
func (t *Table) Tick(now time.Time) []Out {
	if !t.speaks() {
		return nil
	}
	t.seq = max(t.seq+1, uint64(now.UnixMilli()))
	due := t.changed || now.Sub(t.sentAt) >= rosterInterval
	var out []Out
	for _, region := range t.others() {
		m := Message{Region: t.self.Region, Seq: t.seq}
		if due {
			m.Roster = t.ownRoster()
		}
		if slices.Contains(t.neighbours, region) {
			m.Summary = t.summary
		}
		if m.Roster == nil && m.Summary == nil {
			continue
		}
		for _, c := range t.contacts(now, region) {
			out = append(out, Out{To: c.ID, Message: m})
		}
	}
	if due {
		t.changed, t.sentAt = false, now
	}
	return out
}

func (t *Table) speaks() bool {
	return len(t.own.Relays) > 0 && t.own.Relays[0].ID == t.self.ID
}

// others are the regions known, by seeds or by having been heard.
func (t *Table) others() []string {
	var regions []string
	for region := range t.seeds {
		regions = append(regions, region)
	}
	for region := range t.regions {
		if _, seeded := t.seeds[region]; !seeded {
			regions = append(regions, region)
		}
	}
	slices.Sort(regions)
	return regions
}

// contacts are the instances to send to in a region: its relays, and the seeds
// as well while the region is silent, since its relays may have been replaced
// while the two regions were apart.
func (t *Table) contacts(now time.Time, region string) []Contact {
	h := t.regions[region]
	if h == nil || len(h.roster.Relays) == 0 {
		return t.seeds[region]
	}
	contacts := slices.Clone(h.roster.Relays)
	if t.Reachable(now, region) {
		return contacts
	}
	for _, s := range t.seeds[region] {
		if !slices.ContainsFunc(contacts, func(c Contact) bool { return c.ID == s.ID }) {
			contacts = append(contacts, s)
		}
	}
	return contacts
}

func (t *Table) ownRoster() *Roster {
	return &Roster{
		Region:  t.self.Region,
		Seq:     t.seq,
		Relays:  t.own.Relays,
		Entries: t.own.Members[:min(MaxEntries, len(t.own.Members))],
		Members: len(t.own.Members),
	}
}

// Step takes in a message. from is the instance that the link has identified.
func (t *Table) Step(now time.Time, from string, m Message) []Out {
	if m.Region == t.self.Region {
		return nil
	}
	h := t.regions[m.Region]
	if h == nil {
		h = &heard{}
		t.regions[m.Region] = h
	}
	if !h.admit(now, from, m) {
		return nil
	}
	rosterChanged := h.take(now, m)
	if m.Summary != nil {
		t.fresh = append(t.fresh, h.summary)
	}
	return t.passOn(now, h, m, rosterChanged)
}

// admit orders the messages of one sender by number. Another sender is taken
// at its word: it is the region's new first relay, whose clock may be behind,
// or another relay of the own region passing the same on.
func (h *heard) admit(now time.Time, from string, m Message) bool {
	sameSource := from == h.from
	if sameSource && m.Seq <= h.seq {
		return false
	}
	if !sameSource && m.Seq <= h.seq && now.Sub(h.at) < reachableFor {
		return false
	}
	h.from, h.seq, h.at = from, m.Seq, now
	return true
}

// take stores the content and reports whether the roster changed.
func (h *heard) take(now time.Time, m Message) bool {
	if m.Summary != nil {
		h.summary = Summary{Region: m.Region, Data: m.Summary, At: now}
	}
	if m.Roster == nil {
		return false
	}
	old := h.roster
	h.roster = *m.Roster
	return !slices.Equal(old.Relays, h.roster.Relays) || !slices.Equal(old.Entries, h.roster.Entries)
}

// passOn hands a message from another region to the members of this one. Each
// relay serves one half, and tells the other relay as well: the sender may know
// only one of them, or only one that has taken the place of another. A message
// is passed on once at most, as a second one of its number is not admitted. An
// instance that is no relay was reached as a seed and hands it to the relays.
func (t *Table) passOn(now time.Time, h *heard, m Message, rosterChanged bool) []Out {
	place := slices.IndexFunc(t.own.Relays, func(c Contact) bool { return c.ID == t.self.ID })
	direct := !m.Forwarded
	if place < 0 {
		return t.toRelays(m, direct)
	}
	out := t.toRelays(Message{Roster: m.Roster, Region: m.Region, Seq: m.Seq, Summary: m.Summary, Forwarded: true}, direct)
	m.Forwarded = true
	if rosterChanged || now.Sub(h.passedAt) >= rosterInterval {
		m.Roster, h.passedAt = &h.roster, now
	} else {
		m.Roster = nil
	}
	if m.Roster == nil && m.Summary == nil {
		return out
	}
	for i, c := range t.own.Members {
		mine := i%len(t.own.Relays) == place
		if mine && !t.isRelay(c.ID) {
			out = append(out, Out{To: c.ID, Message: m})
		}
	}
	return out
}

// toRelays hands a message that came directly from another region to the other
// relays of this one.
func (t *Table) toRelays(m Message, direct bool) []Out {
	if !direct {
		return nil
	}
	var out []Out
	for _, c := range t.own.Relays {
		if c.ID != t.self.ID {
			out = append(out, Out{To: c.ID, Message: m})
		}
	}
	return out
}

func (t *Table) isRelay(id string) bool {
	return slices.ContainsFunc(t.own.Relays, func(c Contact) bool { return c.ID == id })
}

// Summaries returns what was received since the last call.
func (t *Table) Summaries() []Summary {
	fresh := t.fresh
	t.fresh = nil
	return fresh
}

// Reachable reports whether a region was heard lately.
func (t *Table) Reachable(now time.Time, region string) bool {
	h := t.regions[region]
	if h == nil || h.at.IsZero() {
		return false
	}
	limit := farReachableFor
	if now.Sub(h.summary.At) < farReachableFor {
		limit = reachableFor
	}
	return now.Sub(h.at) < limit
}

// Rosters returns what is known of other regions, sorted by region.
func (t *Table) Rosters() []Roster {
	var rosters []Roster
	for _, region := range t.others() {
		if h := t.regions[region]; h != nil && h.roster.Region != "" {
			rosters = append(rosters, h.roster)
		}
	}
	return rosters
}

// Address returns where a contact of another region listens.
func (t *Table) Address(id string) (string, bool) {
	for _, h := range t.regions {
		for _, list := range [][]Contact{h.roster.Relays, h.roster.Entries} {
			for _, c := range list {
				if c.ID == id {
					return c.Address, true
				}
			}
		}
	}
	return "", false
}
