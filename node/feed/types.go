// Package feed keeps instances informed about each other. Entry instances report themselves and
// their loads at targets to core instances, and get back the configuration, the evacuated zones,
// the list of targets and the other instances. Core instances exchange the same among themselves
// (gossip).
//
// Except for the configuration and the evacuations, which come from the replicated log, each piece
// of state has one author and an age, is replaced by the next one, and expires.
package feed

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/gullhaven/gullhaven/bundle/newest"
	"github.com/gullhaven/gullhaven/coord/suspect"
	"github.com/gullhaven/gullhaven/route/pick"
)

// Entry is what an entry instance reports of itself.
type Entry struct {
	// ID is its address for other instances, IP:port.
	ID     string `cbor:"1,keyasint"`
	Region string `cbor:"2,keyasint"`
	Zone   string `cbor:"3,keyasint"`
	// CallerAddress is its address for callers.
	CallerAddress string `cbor:"4,keyasint"`
	// Ready says that it accepts requests; a leaving instance is not ready.
	Ready bool `cbor:"5,keyasint,omitempty"`
	// Loads are its requests in flight by target. They stay at the core instance, which forwards
	// sums.
	Loads []Load `cbor:"6,keyasint,omitempty"`
	// AgeMillis is the age of the report when it is forwarded.
	AgeMillis int64 `cbor:"7,keyasint,omitempty"`
	// Leaving says that it still accepts callers for a short time, though it is not ready: if a
	// region has no other, it is better than none.
	Leaving bool `cbor:"8,keyasint,omitempty"`
	// PrefillSums give the recent prefill speed of the engines that it chose. Like Loads they stay
	// at the core instance.
	PrefillSums []PrefillSums `cbor:"9,keyasint,omitempty"`
	// Capacity is its share of the processor in thousandths of a core; 0 if unknown. It is a
	// floating-point number so that a value that is none makes no report unreadable.
	Capacity float64 `cbor:"10,keyasint,omitempty"`
}

// PrefillSums are, for the engines of a service, the prompt tokens prefilled until recent first
// events, and the milliseconds that this took.
type PrefillSums struct {
	Service string `cbor:"1,keyasint"`
	Tokens  int64  `cbor:"2,keyasint"`
	Millis  int64  `cbor:"3,keyasint"`
}

// Load is what one instance, or a sum of them, has in flight at one target.
type Load struct {
	Target string `cbor:"1,keyasint"`
	// Running is the number of requests; PendingPrefill holds the prompt tokens of those without a
	// first event, by rank.
	Running        int   `cbor:"2,keyasint"`
	PendingPrefill []int `cbor:"3,keyasint,omitempty"`
	// PrefillMillis is the prefill time recently assigned to the target, in milliseconds.
	PrefillMillis int `cbor:"5,keyasint,omitempty"`
}

// Core is an instance that keeps the replicated log.
type Core struct {
	// ID is its address for other instances, IP:port.
	ID     string `cbor:"1,keyasint"`
	Region string `cbor:"2,keyasint"`
	Zone   string `cbor:"3,keyasint"`
}

// Distance returns 0 within a zone, 1 within a region and 2 between regions.
func (c *Core) Distance(region, zone string) int {
	switch {
	case c.Zone == zone:
		return 0
	case c.Region == region:
		return 1
	}
	return 2
}

// Target is one backend as the platform lists it.
type Target struct {
	// ID stays the same when a target restarts: see StartMillis.
	ID      string `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	Address string `cbor:"3,keyasint"`
	Zone    string `cbor:"4,keyasint"`
	Region  string `cbor:"5,keyasint"`
	// Slots is how many requests it runs at once.
	Slots int `cbor:"6,keyasint,omitempty"`
	// Draining targets get no new requests.
	Draining bool `cbor:"7,keyasint,omitempty"`
	// ColdMillis is how long it stays cold from when it was read or sent; ColdUntil is the end of
	// that time by the clock of this instance.
	ColdMillis int64     `cbor:"8,keyasint,omitempty"`
	ColdUntil  time.Time `cbor:"-"`
	// ColdEpoch distinguishes one cold time of a target from the next.
	ColdEpoch uint8 `cbor:"9,keyasint,omitempty"`
	// StartMillis is the start time in Unix milliseconds; 0 if the list has none. A target may
	// restart under its ID.
	StartMillis int64 `cbor:"10,keyasint,omitempty"`
	// Software is the version of its software; empty if the sender's version does not say so.
	Software string `cbor:"11,keyasint,omitempty"`
}

// Report is the request of an entry instance to a core instance.
type Report struct {
	Self Entry `cbor:"1,keyasint"`
	// Index and ListDigest are those of the log's state and the list that it knows.
	Index      uint64 `cbor:"2,keyasint,omitempty"`
	ListDigest uint64 `cbor:"3,keyasint,omitempty"`
	// ListAgeMillis is how long ago that list was read, as far as the sender knows.
	ListAgeMillis int64 `cbor:"17,keyasint,omitempty"`
	// DocumentIndex is the index of the newest state whose document it holds, too. While it is
	// below Index, the answer includes the Head again.
	DocumentIndex uint64 `cbor:"12,keyasint,omitempty"`
	// WantConfirmed asks for a state that is confirmed by a majority: the sender has started and
	// holds none.
	WantConfirmed bool `cbor:"4,keyasint,omitempty"`
	// WaitMillis is how long the answer may wait for a change.
	WaitMillis int64 `cbor:"5,keyasint,omitempty"`
	// Suspects are requests that may crash their targets, found by the sender since its last
	// report.
	Suspects []suspect.Entry `cbor:"6,keyasint,omitempty"`
	// Suspected are the suspects that the sender has got from this core instance; nil if the sender's
	// version does not say so.
	Suspected *SuspectsMark `cbor:"18,keyasint,omitempty"`
	// EntriesEpoch and EntriesAt are those of the last EntriesUpdate, CoresDigest that of the core
	// instances that it knows.
	EntriesEpoch uint64 `cbor:"8,keyasint,omitempty"`
	EntriesAt    uint64 `cbor:"9,keyasint,omitempty"`
	CoresDigest  uint64 `cbor:"10,keyasint,omitempty"`
	// Brief asks for the state, the list and the core instances only: it is for a comparison with a
	// core instance that is not followed, which may be regions away.
	Brief bool `cbor:"11,keyasint,omitempty"`
	// Probe asks for even less, the state and the core instances: an instance that has just started
	// probes several core instances and then reports to one. It does not count as a report of the
	// sender.
	Probe bool `cbor:"13,keyasint,omitempty"`
	// PartialLoads asks for the loads of the targets in Groups instead of all targets in the
	// sender's region.
	PartialLoads bool         `cbor:"14,keyasint,omitempty"`
	Groups       []pick.Group `cbor:"15,keyasint,omitempty"`
}

// Update is the answer to a Report.
type Update struct {
	// Head is set if it is newer than Report.DocumentIndex. Its document is fetched separately, in
	// pieces, so that what is short and urgent does not wait behind it.
	Head *newest.Head `cbor:"15,keyasint,omitempty"`
	// HasLeader says that the core instance has contact with the leader of the log.
	HasLeader bool `cbor:"2,keyasint,omitempty"`
	// List holds a ListUpdate of the sender's region if the list differs from that of
	// Report.ListDigest. It is encoded once for all that miss the same.
	List cbor.RawMessage `cbor:"3,keyasint,omitempty"`
	// ListAgeMillis is how long ago the list was read; negative if never.
	ListAgeMillis int64 `cbor:"5,keyasint"`
	// Cores are the core instances if CoresDigest is set, that is, differs from Report.CoresDigest.
	Cores       []Core `cbor:"6,keyasint,omitempty"`
	CoresDigest uint64 `cbor:"13,keyasint,omitempty"`
	// Entries is set if the sender misses changes.
	Entries *EntriesUpdate `cbor:"14,keyasint,omitempty"`
	// Loads are the sums of the other instances in the sender's region. SameRegion says that the
	// core instance is in that region and knows them.
	Loads      []Load `cbor:"11,keyasint,omitempty"`
	SameRegion bool   `cbor:"12,keyasint,omitempty"`
	// Regions summarize the load of the other regions.
	Regions []Summary `cbor:"8,keyasint,omitempty"`
	// Suspects are those that the sender misses, of any entry instance, and Suspected is the mark for
	// the sender's next report.
	Suspects  []suspect.Entry `cbor:"9,keyasint,omitempty"`
	Suspected *SuspectsMark   `cbor:"17,keyasint,omitempty"`
	// Behind says that the core instance has not applied all that it knows to be committed.
	Behind bool `cbor:"19,keyasint,omitempty"`
	// WaitMillis is how long the next report may wait, if longer than the sender asked for: the
	// core instance has more reports to answer than it can that often.
	WaitMillis int64 `cbor:"16,keyasint,omitempty"`
}

// Summary is the load of one service in one region.
type Summary struct {
	Region  string `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	// Running, PendingPrefill and PrefillMillis are summed over its targets, as in Load.
	Running        int   `cbor:"3,keyasint"`
	PendingPrefill []int `cbor:"4,keyasint,omitempty"`
	PrefillMillis  int   `cbor:"8,keyasint,omitempty"`
	// Targets is the number of those that may get requests, and Slots the sum of theirs. They are
	// set in an Update only.
	Targets int `cbor:"5,keyasint,omitempty"`
	Slots   int `cbor:"6,keyasint,omitempty"`
	// PrefillSumTokens and PrefillSumMillis are summed over the region's instances, as in
	// PrefillSums.
	PrefillSumTokens int64 `cbor:"9,keyasint,omitempty"`
	PrefillSumMillis int64 `cbor:"10,keyasint,omitempty"`
	// Software is the number of targets by version of their software, those that are draining or cold
	// included. It is set in an Update only.
	Software map[string]int `cbor:"12,keyasint,omitempty"`
	// LoadUnknown says that the load of the region was not reported recently: Targets and Slots
	// come from the list of targets alone. It is set in an Update only.
	LoadUnknown bool `cbor:"11,keyasint,omitempty"`
}

// Valid reports whether no figure is negative.
func (s *Summary) Valid() bool {
	for _, tokens := range s.PendingPrefill {
		if tokens < 0 {
			return false
		}
	}
	return s.Targets >= 0 && s.Slots >= 0 && s.Running >= 0 && s.PrefillMillis >= 0 && s.PrefillSumTokens >= 0 && s.PrefillSumMillis >= 0
}

// Gossip is the message of a core instance to another one.
type Gossip struct {
	From    Core      `cbor:"1,keyasint"`
	Entries []Entry   `cbor:"2,keyasint,omitempty"`
	Regions []Summary `cbor:"3,keyasint,omitempty"`
	// ListDigest and ListAgeMillis are those of the newest list if the sender has read it itself;
	// ListDigest is 0 otherwise.
	ListDigest    uint64 `cbor:"4,keyasint,omitempty"`
	ListAgeMillis int64  `cbor:"5,keyasint,omitempty"`
	// ReadCalls is the number of platform calls that this reading took.
	ReadCalls int `cbor:"10,keyasint,omitempty"`
	// List holds a ListUpdate of all regions from the previous list, right after a reading that
	// found it changed.
	List cbor.RawMessage `cbor:"9,keyasint,omitempty"`
	// Loads are the sums of the entry instances that report to the sender; within a region only.
	Loads []Load `cbor:"7,keyasint,omitempty"`
	// PrefillSums are the sums of these instances by service; within a region only.
	PrefillSums []PrefillSums `cbor:"8,keyasint,omitempty"`
	// Suspects were recently reported to the sender by entry instances. SuspectsDigest identifies all
	// that the sender holds; 0 if it holds none or its version does not say so.
	Suspects       []suspect.Entry `cbor:"6,keyasint,omitempty"`
	SuspectsDigest uint64          `cbor:"11,keyasint,omitempty"`
}
