// Package feed keeps instances informed of each other: entry instances tell core
// instances that they are there and what they have sent to targets, and get back
// the configuration, the evacuated zones, the list of targets and who else is
// there. Core instances exchange the same among themselves.
//
// All of this is soft state: each piece has one author, an age, and is replaced by
// the next. Only the configuration and the evacuations come from the replicated
// log.
package feed

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/gullhaven/gullhaven/bundle/newest"
	"github.com/gullhaven/gullhaven/coord/suspect"
	"github.com/gullhaven/gullhaven/route/pick"
)

// Entry is what an entry instance tells of itself.
type Entry struct {
	// ID is its address for other instances, IP:port.
	ID     string `cbor:"1,keyasint"`
	Region string `cbor:"2,keyasint"`
	Zone   string `cbor:"3,keyasint"`
	// Callers is its address for callers.
	CallerAddress string `cbor:"4,keyasint"`
	// Ready says that it takes requests; a leaving instance does not.
	Ready bool `cbor:"5,keyasint,omitempty"`
	// Loads are what it has sent and what has not ended yet. They stay at the core
	// instance, which hands on sums.
	Loads []Load `cbor:"6,keyasint,omitempty"`
	// AgeMillis is how old the report is where it is handed on.
	AgeMillis int64 `cbor:"7,keyasint,omitempty"`
	// Leaving says that it takes callers for a little while yet, though it is not ready:
	// where a region has no other, it is better than none.
	Leaving bool `cbor:"8,keyasint,omitempty"`
	// Read tells how fast the engines that it chose read lately. Like Loads they stay at the
	// core instance.
	PrefillSums []PrefillSums `cbor:"9,keyasint,omitempty"`
}

// Read tells of the engines of a service: the prompt tokens that were read until first
// events of the last seconds, and the milliseconds that this took.
type PrefillSums struct {
	Service string `cbor:"1,keyasint"`
	Tokens  int64  `cbor:"2,keyasint"`
	Millis  int64  `cbor:"3,keyasint"`
}

// Load is what one instance has under way at one target.
type Load struct {
	Target string `cbor:"1,keyasint"`
	// Running counts requests, Unread the prompt tokens of those among them that
	// have not answered yet, by their rank.
	Running        int   `cbor:"2,keyasint"`
	PendingPrefill []int `cbor:"3,keyasint,omitempty"`
	// Reading is the time in milliseconds that reading prompts takes there, as it was given
	// out lately.
	PrefillMillis int `cbor:"5,keyasint,omitempty"`
}

// Core is an instance that keeps the replicated log.
type Core struct {
	// ID is its address for other instances, IP:port.
	ID     string `cbor:"1,keyasint"`
	Region string `cbor:"2,keyasint"`
	Zone   string `cbor:"3,keyasint"`
}

// Distance is 0 inside a zone, 1 inside a region and 2 between regions.
func (c *Core) Distance(region, zone string) int {
	switch {
	case c.Zone == zone:
		return 0
	case c.Region == region:
		return 1
	}
	return 2
}

// Target is one back end as the platform lists it.
type Target struct {
	// ID stays the same where a target starts again: see Born.
	ID      string `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	Address string `cbor:"3,keyasint"`
	Zone    string `cbor:"4,keyasint"`
	Region  string `cbor:"5,keyasint"`
	// Slots is how many requests it runs at once.
	Slots int `cbor:"6,keyasint,omitempty"`
	// Draining targets get nothing new.
	Draining bool `cbor:"7,keyasint,omitempty"`
	// ColdMillis is how long it stays cold, counted from the moment at which it was read
	// or sent; ColdUntil the end of that time by the clock of this instance.
	ColdMillis int64     `cbor:"8,keyasint,omitempty"`
	ColdUntil  time.Time `cbor:"-"`
	// ColdTurn tells one cold time of a target from the next.
	ColdEpoch uint8 `cbor:"9,keyasint,omitempty"`
	// Born is when it started, in Unix milliseconds; 0 where the list does not tell. A
	// target may start again under its id.
	StartMillis int64 `cbor:"10,keyasint,omitempty"`
}

// Report is what an entry instance asks a core instance with.
type Report struct {
	Self Entry `cbor:"1,keyasint"`
	// Index and Digest are what it knows of the log's state and the list.
	Index      uint64 `cbor:"2,keyasint,omitempty"`
	ListDigest uint64 `cbor:"3,keyasint,omitempty"`
	// ListAgeMillis is how long ago that list was read, as far as the asker knows.
	ListAgeMillis int64 `cbor:"17,keyasint,omitempty"`
	// Held is the index of the newest state whose document it holds, too. While that is
	// below Index the answer tells again who has the document.
	DocumentIndex uint64 `cbor:"12,keyasint,omitempty"`
	// First asks for a state that is confirmed by a majority: the asker has
	// started and holds none.
	WantConfirmed bool `cbor:"4,keyasint,omitempty"`
	// WaitMillis is how long the answer may wait for a change.
	WaitMillis int64 `cbor:"5,keyasint,omitempty"`
	// Suspects are requests that may crash their targets, as the asker found since its
	// last report.
	Suspects []suspect.Entry `cbor:"6,keyasint,omitempty"`
	// EntriesEpoch and EntriesAt are those of the entry instances that it knows, Cores the
	// digest of the core instances.
	EntriesEpoch uint64 `cbor:"8,keyasint,omitempty"`
	EntriesAt    uint64 `cbor:"9,keyasint,omitempty"`
	CoresDigest  uint64 `cbor:"10,keyasint,omitempty"`
	// Brief asks for the state, the list and the core instances only: it is for a
	// comparison with a core instance that is not followed, which may be regions away.
	Brief bool `cbor:"11,keyasint,omitempty"`
	// Probe asks for even less, the state and the core instances: an instance that has just
	// started asks several core instances and then reports to one. It does not count as a
	// report of the asker.
	Probe bool `cbor:"13,keyasint,omitempty"`
	// Part asks for the loads of the targets in Groups, in place of those of all targets of
	// the asker's region.
	PartialLoads bool         `cbor:"14,keyasint,omitempty"`
	Groups       []pick.Group `cbor:"15,keyasint,omitempty"`
}

// Update answers a Report.
type Update struct {
	// Head is set if it is newer than Report.Held. Its document is asked for apart, piece by
	// piece: what is short and urgent does not wait behind it.
	Head *newest.Head `cbor:"15,keyasint,omitempty"`
	// Led says that the core instance hears from the leader of the log.
	HasLeader bool `cbor:"2,keyasint,omitempty"`
	// List holds ListNews of the asker's region, if the list is another than that of
	// Report.Digest. It is encoded once for all that lack the same.
	List cbor.RawMessage `cbor:"3,keyasint,omitempty"`
	// ListAgeMillis is how long ago the list was read; negative if never.
	ListAgeMillis int64 `cbor:"5,keyasint"`
	// Cores are the core instances if CoresDigest is set: it is another than Report.Cores.
	Cores       []Core `cbor:"6,keyasint,omitempty"`
	CoresDigest uint64 `cbor:"13,keyasint,omitempty"`
	// Entries are set if the asker lacks something.
	Entries *EntriesUpdate `cbor:"14,keyasint,omitempty"`
	// Loads sums up what the others of the asker's region have under way; Near says that
	// the core instance is of that region and knows.
	Loads      []Load `cbor:"11,keyasint,omitempty"`
	SameRegion bool   `cbor:"12,keyasint,omitempty"`
	// Regions sums up the load of the other regions.
	Regions []Summary `cbor:"8,keyasint,omitempty"`
	// Suspects were told by any entry instance lately.
	Suspects []suspect.Entry `cbor:"9,keyasint,omitempty"`
	// WaitMillis is how long the asker's next report may wait, where that is longer than it
	// asked for: the core instance has more to answer than it can that often.
	WaitMillis int64 `cbor:"16,keyasint,omitempty"`
}

// Summary is the load of one service in one region.
type Summary struct {
	Region  string `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	// Running, Unread and Reading are summed over its targets, as in Load.
	Running        int   `cbor:"3,keyasint"`
	PendingPrefill []int `cbor:"4,keyasint,omitempty"`
	PrefillMillis  int   `cbor:"8,keyasint,omitempty"`
	// Targets may get work, and Slots are theirs. Only an Update tells them.
	Targets int `cbor:"5,keyasint,omitempty"`
	Slots   int `cbor:"6,keyasint,omitempty"`
	// ReadTokens and ReadMillis are summed over the region's instances, as in Read.
	PrefillSumTokens int64 `cbor:"9,keyasint,omitempty"`
	PrefillSumMillis int64 `cbor:"10,keyasint,omitempty"`
	// Untold says that nobody has told the load of the region lately: what is said of it
	// comes from the list of targets alone. Only an Update tells it.
	LoadUnknown bool `cbor:"11,keyasint,omitempty"`
}

// Valid reports whether the figures can be.
func (s *Summary) Valid() bool {
	for _, tokens := range s.PendingPrefill {
		if tokens < 0 {
			return false
		}
	}
	return s.Targets >= 0 && s.Slots >= 0 && s.Running >= 0 && s.PrefillMillis >= 0 && s.PrefillSumTokens >= 0 && s.PrefillSumMillis >= 0
}

// Gossip is what a core instance tells another one.
type Gossip struct {
	From    Core      `cbor:"1,keyasint"`
	Entries []Entry   `cbor:"2,keyasint,omitempty"`
	Regions []Summary `cbor:"3,keyasint,omitempty"`
	// Digest and ListAgeMillis are of the newest list that the sender has read
	// itself; Digest is 0 if it has not read.
	ListDigest    uint64 `cbor:"4,keyasint,omitempty"`
	ListAgeMillis int64  `cbor:"5,keyasint,omitempty"`
	// Calls is how many calls that reading took.
	ReadCalls int `cbor:"10,keyasint,omitempty"`
	// List holds ListNews of all regions, how the list differs from the one before, right
	// after a reading that found it changed.
	List cbor.RawMessage `cbor:"9,keyasint,omitempty"`
	// Loads sums up what the entry instances that report to the sender have under way;
	// only inside a region.
	Loads []Load `cbor:"7,keyasint,omitempty"`
	// Read sums up how fast their engines read; only inside a region.
	PrefillSums []PrefillSums `cbor:"8,keyasint,omitempty"`
	// Suspects were told to the sender by entry instances lately.
	Suspects []suspect.Entry `cbor:"6,keyasint,omitempty"`
}
