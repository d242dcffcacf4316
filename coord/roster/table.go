package roster

import (
	"slices"
	"time"
)

// regionState is what this instance knows of another region.
type regionState struct {
	roster  Roster
	summary Summary
	// sender is the instance that sent the last accepted message, and seq that
	// message's number.
	sender     string
	seq        uint64
	receivedAt time.Time
	// forwardedAt is when the roster was last forwarded to members.
	forwardedAt time.Time
}

// OwnRegion is the host's view of its own region.
type OwnRegion struct {
	// Relays of the region, first relay first; at most two.
	Relays []Contact
	// Members are the live instances, including this one.
	Members []Contact
}

// Table holds what one instance knows of other regions. It is not safe for
// concurrent use.
type Table struct {
	self Contact
	// seeds are the contacts from settings, by region.
	seeds map[string][]Contact
	// neighbours are the regions that get the summary.
	neighbours []string
	ownRegion  OwnRegion
	summary    []byte
	// seq numbers the rosters and summaries of this instance.
	seq uint64
	// ownChanged is set if ownRegion changed since the roster was sent, at
	// sentAt.
	ownChanged bool
	sentAt     time.Time
	regions    map[string]*regionState
	// unread are the summaries that Summaries has not returned yet.
	unread []Summary
}

// New returns the Table of an instance. seeds are instances of any region, from
// the settings. Those of another region get its messages until a roster names
// relays of that region, and whenever the region is not reachable.
func New(self Contact, seeds []Contact) *Table {
	t := &Table{self: self, seeds: map[string][]Contact{}, regions: map[string]*regionState{}}
	for _, s := range seeds {
		if s.Region != self.Region {
			t.seeds[s.Region] = append(t.seeds[s.Region], s)
		}
	}
	return t
}

// SetOwnRegion replaces the view of the own region.
func (t *Table) SetOwnRegion(o OwnRegion) {
	if !slices.Equal(o.Relays, t.ownRegion.Relays) || !slices.Equal(o.Members, t.ownRegion.Members) {
		t.ownChanged = true
	}
	t.ownRegion = o
}

// SetNeighbours replaces the regions that get the summary.
func (t *Table) SetNeighbours(regions []string) { t.neighbours = regions }

// SetSummary replaces the summary of the own region. Each Tick of the first
// relay sends it to the neighbours, even if it did not change.
func (t *Table) SetSummary(data []byte) { t.summary = data }

// Tick advances time and returns the messages to send. The host calls it every
// TickInterval. Only the first relay sends for the region: when it dies, the
// other one takes its place in OwnRegion.
func (t *Table) Tick(now time.Time) []Out {
	if !t.isFirstRelay() {
		return nil
	}
	t.seq = max(t.seq+1, uint64(now.UnixMilli()))
	due := t.ownChanged || now.Sub(t.sentAt) >= rosterInterval
	var out []Out
	for _, region := range t.otherRegions() {
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
		t.ownChanged, t.sentAt = false, now
	}
	return out
}

func (t *Table) isFirstRelay() bool {
	return len(t.ownRegion.Relays) > 0 && t.ownRegion.Relays[0].ID == t.self.ID
}

// otherRegions returns the known regions, from seeds or received messages,
// sorted.
func (t *Table) otherRegions() []string {
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

// contacts returns the instances of a region to send to: its relays, and also
// its seeds while the region is not reachable, as its relays may have been
// replaced while the two regions were partitioned.
func (t *Table) contacts(now time.Time, region string) []Contact {
	rs := t.regions[region]
	if rs == nil || len(rs.roster.Relays) == 0 {
		return t.seeds[region]
	}
	contacts := slices.Clone(rs.roster.Relays)
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
		Relays:  t.ownRegion.Relays,
		Entries: t.ownRegion.Members[:min(MaxEntries, len(t.ownRegion.Members))],
		Members: len(t.ownRegion.Members),
	}
}

// Step handles a message and returns the messages to send. from is the id of
// the sender, which the link must have authenticated.
func (t *Table) Step(now time.Time, from string, m Message) []Out {
	if m.Region == t.self.Region {
		return nil
	}
	rs := t.regions[m.Region]
	if rs == nil {
		rs = &regionState{}
		t.regions[m.Region] = rs
	}
	if !rs.accept(now, from, m) {
		return nil
	}
	rosterChanged := rs.store(now, m)
	if m.Summary != nil {
		t.unread = append(t.unread, rs.summary)
	}
	return t.forward(now, rs, m, rosterChanged)
}

// accept reports whether a message is newer than the last accepted one, and
// records it if so. A message of the same sender needs a higher number. One of
// another sender with a number that is not higher is accepted only once nothing
// was accepted for reachableTimeout: the sender may be the region's new first
// relay, whose clock may lag; before that it may be a relay of the own region
// that forwards the same message.
func (rs *regionState) accept(now time.Time, from string, m Message) bool {
	sameSource := from == rs.sender
	if sameSource && m.Seq <= rs.seq {
		return false
	}
	if !sameSource && m.Seq <= rs.seq && now.Sub(rs.receivedAt) < reachableTimeout {
		return false
	}
	rs.sender, rs.seq, rs.receivedAt = from, m.Seq, now
	return true
}

// store records the content of a message and reports whether the roster
// changed.
func (rs *regionState) store(now time.Time, m Message) bool {
	if m.Summary != nil {
		rs.summary = Summary{Region: m.Region, Data: m.Summary, At: now}
	}
	if m.Roster == nil {
		return false
	}
	old := rs.roster
	rs.roster = *m.Roster
	return !slices.Equal(old.Relays, rs.roster.Relays) || !slices.Equal(old.Entries, rs.roster.Entries)
}

// forward sends a message from another region to the members of this one. Each
// relay sends to half of the members, and also to the other relay: the sender
// may know only one of the relays, or one that has been replaced. A message is
// forwarded at most once, as accept rejects a second one with the same number.
// An instance that is no relay was reached as a seed and forwards the message
// to the relays.
func (t *Table) forward(now time.Time, rs *regionState, m Message, rosterChanged bool) []Out {
	index := slices.IndexFunc(t.ownRegion.Relays, func(c Contact) bool { return c.ID == t.self.ID })
	direct := !m.Forwarded
	if index < 0 {
		return t.forwardToRelays(m, direct)
	}
	out := t.forwardToRelays(Message{Roster: m.Roster, Region: m.Region, Seq: m.Seq, Summary: m.Summary, Forwarded: true}, direct)
	m.Forwarded = true
	if rosterChanged || now.Sub(rs.forwardedAt) >= rosterInterval {
		m.Roster, rs.forwardedAt = &rs.roster, now
	} else {
		m.Roster = nil
	}
	if m.Roster == nil && m.Summary == nil {
		return out
	}
	for i, c := range t.ownRegion.Members {
		assigned := i%len(t.ownRegion.Relays) == index
		if assigned && !t.isRelay(c.ID) {
			out = append(out, Out{To: c.ID, Message: m})
		}
	}
	return out
}

// forwardToRelays sends a message that came directly from another region to the
// other relays of this one. It returns nil if direct is false.
func (t *Table) forwardToRelays(m Message, direct bool) []Out {
	if !direct {
		return nil
	}
	var out []Out
	for _, c := range t.ownRegion.Relays {
		if c.ID != t.self.ID {
			out = append(out, Out{To: c.ID, Message: m})
		}
	}
	return out
}

func (t *Table) isRelay(id string) bool {
	return slices.ContainsFunc(t.ownRegion.Relays, func(c Contact) bool { return c.ID == id })
}

// Summaries returns the summaries received since the last call, oldest first.
func (t *Table) Summaries() []Summary {
	unread := t.unread
	t.unread = nil
	return unread
}

// Reachable reports whether a message of a region was received recently: within
// reachableTimeout if the region sends summaries, else within
// rosterOnlyTimeout.
func (t *Table) Reachable(now time.Time, region string) bool {
	rs := t.regions[region]
	if rs == nil || rs.receivedAt.IsZero() {
		return false
	}
	limit := rosterOnlyTimeout
	if now.Sub(rs.summary.At) < rosterOnlyTimeout {
		limit = reachableTimeout
	}
	return now.Sub(rs.receivedAt) < limit
}

// Rosters returns the known rosters of other regions, sorted by region.
func (t *Table) Rosters() []Roster {
	var rosters []Roster
	for _, region := range t.otherRegions() {
		if rs := t.regions[region]; rs != nil && rs.roster.Region != "" {
			rosters = append(rosters, rs.roster)
		}
	}
	return rosters
}

// Address returns the IP:port at which a contact of another region listens for
// instances, and false if no roster names it.
func (t *Table) Address(id string) (string, bool) {
	for _, rs := range t.regions {
		for _, list := range [][]Contact{rs.roster.Relays, rs.roster.Entries} {
			for _, c := range list {
				if c.ID == id {
					return c.Address, true
				}
			}
		}
	}
	return "", false
}
