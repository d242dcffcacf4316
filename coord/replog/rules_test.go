package replog

import (
	"errors"
	"testing"
	"time"

	"github.com/gullhaven/gullhaven/coord/replog/confchange"
)

var (
	epoch   = time.Unix(1000, 0)
	ma      = Member{ID: "a", Incarnation: 1}
	mb      = Member{ID: "b", Incarnation: 2}
	mc      = Member{ID: "c", Incarnation: 3}
	longAgo = epoch.Add(-time.Hour)
)

const (
	ruleGroup = 1
	ruleTerm  = 7
)

// newRestartedNode returns node a of a group as it starts from its disk: the first
// configuration, and one entry of the newest term.
func newRestartedNode(t *testing.T, now time.Time, conf Config) *Node {
	n, err := New(now, Options{Self: ma, ElectionTimeout: simElection, HeartbeatInterval: simElection / 10, MaxDrift: simDrift}, State{
		HardState: HardState{Group: ruleGroup, Term: ruleTerm},
		Entries: []Entry{
			{Term: 1, Index: 1, Kind: EntryConfig, Config: &conf},
			{Term: ruleTerm, Index: 2, Data: []byte("old")},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// drainReady completes all Readys of the node and returns its messages and reads.
func drainReady(n *Node) (out []Message, reads []ReadState) {
	for n.HasReady() {
		r := n.Ready()
		out = append(append(out, r.Immediate...), r.Messages...)
		reads = append(reads, r.ReadStates...)
		n.Advance()
	}
	return out, reads
}

func step(t *testing.T, n *Node, now time.Time, m Message) {
	m.Group, m.To = ruleGroup, ma
	if err := n.Step(now, m); err != nil {
		t.Fatal(err)
	}
}

// elect makes a the leader at the given time.
func elect(t *testing.T, n *Node, now time.Time) {
	n.Tick(now)
	drainReady(n)
	for _, kind := range []MessageKind{MsgPreVoteResp, MsgVoteResp} {
		step(t, n, now, Message{Kind: kind, From: mb, Term: ruleTerm + 1})
		drainReady(n)
	}
	if s := n.Status(); s.Role != Leader || s.Term != ruleTerm+1 {
		t.Fatalf("not elected: %+v", s)
	}
}

// Guards against a second leader while a lease is held: a vote is requested while this
// node's promise binds it, after a heartbeat, after a restart (promises
// are not stored), while it leads, and after it stepped down with a lease returned.
func TestPromiseBindsVotes(t *testing.T) {
	conf, _ := confchange.New([]Member{ma, mb, mc}, nil)
	voterTimeout := simElection + simElection/10 + 1
	lease := simElection - simElection/10
	for _, c := range []struct {
		name       string
		prepare    func(*testing.T) *Node
		promiseEnd time.Duration
	}{
		{"start", func(t *testing.T) *Node { return newRestartedNode(t, epoch, conf) }, voterTimeout},
		{"heartbeat", func(t *testing.T) *Node {
			n := newRestartedNode(t, longAgo, conf)
			step(t, n, epoch, Message{Kind: MsgHeartbeat, From: mb, Term: ruleTerm, Round: 1})
			return n
		}, voterTimeout},
		{"lease returned", func(t *testing.T) *Node {
			n := newRestartedNode(t, longAgo, conf)
			elect(t, n, epoch)
			late := epoch.Add(simElection / 20)
			step(t, n, late, Message{Kind: MsgHeartbeatResp, From: mb, Term: ruleTerm + 1, Round: 1})
			step(t, n, late, Message{Kind: MsgAppendResp, From: mb, Term: ruleTerm + 1, Index: 3})
			if got := n.LeaseUntil(late); !got.Equal(epoch.Add(lease)) {
				t.Fatalf("lease until %v, sent at %v", got, epoch)
			}
			step(t, n, late, Message{Kind: MsgVote, From: mc, Term: 90, Index: 90, LogTerm: 90})
			if n.Status().Role != Leader {
				t.Fatal("a leader stepped down for a candidate")
			}
			step(t, n, late, Message{Kind: MsgAppendResp, From: mc, Term: ruleTerm + 2, Reject: true})
			return n
		}, lease},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := c.prepare(t)
			drainReady(n)
			vote := Message{Kind: MsgVote, From: mc, Term: 99, Index: 99, LogTerm: 99}
			step(t, n, epoch.Add(c.promiseEnd-1), vote)
			if out, _ := drainReady(n); len(out) > 0 || n.Status().Term == vote.Term {
				t.Fatalf("answers %v in term %d while bound", out, n.Status().Term)
			}
			step(t, n, epoch.Add(c.promiseEnd), vote)
			if out, _ := drainReady(n); len(out) != 1 || out[0].Reject {
				t.Fatalf("answers %v when free", out)
			}
		})
	}
}

// Guards against replacing a committed entry (figure 8 of the Raft paper). A leader
// brings an entry of an earlier term to a majority, commits it and is lost; a node with
// a later entry of another term is elected. An entry of an earlier term must not count
// as committed by itself.
func TestOldTermIsCommittedOnlyWithOwnTerm(t *testing.T) {
	conf, _ := confchange.New([]Member{ma, mb, mc}, nil)
	n := newRestartedNode(t, longAgo, conf)
	elect(t, n, epoch)
	for index, want := range []uint64{0, 0, 0, 3} {
		step(t, n, epoch, Message{Kind: MsgAppendResp, From: mb, Term: ruleTerm + 1, Index: uint64(index)})
		drainReady(n)
		if got := n.Status().Commit; got != want {
			t.Fatalf("commit %d with %d acknowledged", got, index)
		}
	}
}

// Guards against a read that misses what a successor committed. After the lease has
// ended a read arrives, and then the answer to a round sent before the read. That
// answer may be older than the successor's commit.
func TestReadNeedsARoundBegunAfterIt(t *testing.T) {
	conf, _ := confchange.New([]Member{ma, mb, mc}, nil)
	n := newRestartedNode(t, longAgo, conf)
	elect(t, n, epoch)
	step(t, n, epoch, Message{Kind: MsgAppendResp, From: mb, Term: ruleTerm + 1, Index: 3})
	drainReady(n)
	later := epoch.Add(simElection - 1)
	if err := n.ReadIndex(later, 1); err != nil {
		t.Fatal(err)
	}
	for round, want := range []int{0, 0, 1} {
		step(t, n, later, Message{Kind: MsgHeartbeatResp, From: mb, Term: ruleTerm + 1, Round: uint64(round)})
		if _, reads := drainReady(n); len(reads) != want {
			t.Fatalf("%v served after an answer to round %d", reads, round)
		}
	}
}

// Guards against a single voter that sends two different entries for one position. It
// elects itself, sends a proposal to a learner, stops before its new term is synced,
// restarts and uses the same term again. A leader's messages must wait until its term
// is synced.
func TestLoneVoterSyncsItsTermFirst(t *testing.T) {
	conf, _ := confchange.New([]Member{ma}, []Member{mb})
	n := newRestartedNode(t, longAgo, conf)
	n.Tick(epoch)
	if _, err := n.Propose(epoch, []byte("x")); err != nil {
		t.Fatal(err)
	}
	if r := n.Ready(); len(r.Immediate) > 0 || len(r.Messages) == 0 || r.HardState == nil {
		t.Fatalf("%v goes out before term %v is synced", r.Immediate, r.HardState)
	}
}

// Guards against overlapping leases after two changes of the configuration. A lease
// depends on c's answer; c is removed, and b has not answered a heartbeat for a while;
// then another change is proposed. Majorities of that configuration and of the first
// one need not overlap.
func TestChangeWaitsUntilTheLeaseIsCovered(t *testing.T) {
	conf, _ := confchange.New([]Member{ma, mb, mc}, nil)
	n := newRestartedNode(t, longAgo, conf)
	elect(t, n, epoch)
	answer := func(from Member, kind MessageKind, index, round uint64) {
		step(t, n, epoch, Message{Kind: kind, From: from, Term: ruleTerm + 1, Index: index, Round: round})
		drainReady(n)
	}
	answer(mb, MsgAppendResp, 3, 0)
	answer(mc, MsgHeartbeatResp, 0, 1)
	if n.LeaseUntil(epoch).IsZero() {
		t.Fatal("no lease")
	}
	add := ConfChange{Kind: confchange.AddLearner, Member: Member{ID: "d", Incarnation: 4}}
	if _, err := n.ProposeConfChange(epoch, ConfChange{Kind: confchange.Remove, Member: mc}); err != nil {
		t.Fatal(err)
	}
	if _, err := n.ProposeConfChange(epoch, add); !errors.Is(err, ErrConfPending) {
		t.Fatalf("a change before the last one is applied: %v", err)
	}
	drainReady(n)
	answer(mb, MsgAppendResp, 4, 0)
	if s := n.Status(); s.Applied != 4 {
		t.Fatalf("the removal is not applied: %+v", s)
	}
	if _, err := n.ProposeConfChange(epoch, add); !errors.Is(err, ErrConfPending) {
		t.Fatalf("a change while a lease of c counts: %v", err)
	}
	answer(mb, MsgHeartbeatResp, 0, 1)
	if _, err := n.ProposeConfChange(epoch, add); err != nil {
		t.Fatal(err)
	}
	promote := ConfChange{Kind: confchange.Promote, Member: add.Member}
	drainReady(n)
	answer(mb, MsgAppendResp, 5, 0)
	if _, err := n.ProposeConfChange(epoch, promote); !errors.Is(err, ErrNotCaughtUp) {
		t.Fatalf("a learner without the log is promoted: %v", err)
	}
}

// Guards against uncommitted entries after a snapshot. A node installs a snapshot over
// a log that diverged from the leader's, and stops after the snapshot is written and
// before the log is dropped. The rest of the old log must not continue the snapshot.
func TestSnapshotEndsAnotherLog(t *testing.T) {
	conf, _ := confchange.New([]Member{ma, mb, mc}, nil)
	s := State{
		HardState: HardState{Group: ruleGroup, Term: ruleTerm},
		Snapshot:  &Snapshot{Group: ruleGroup, Index: 2, Term: 5, Config: conf},
		Entries:   []Entry{{Index: 1, Term: 1}, {Index: 2, Term: 4}, {Index: 3, Term: 4}},
	}
	for term, last := range map[uint64]uint64{4: 2, 5: 3} {
		s.Entries[1].Term, s.Entries[2].Term = term, term
		n, err := New(epoch, Options{Self: ma}, s)
		if err != nil {
			t.Fatal(err)
		}
		if got := n.Status().Last; got != last {
			t.Fatalf("log reaches to %d behind an entry of term %d", got, term)
		}
	}
}

// Guards against two faults: logs that differ before a position at which they agree,
// from appending without the match; and a log that differs in a thousand entries and
// needs a thousand answers, from backing off one entry at a time. A node with entries
// of a term that won no majority gets an append after a position at which the new
// leader has another entry.
func TestAppendNeedsTheMatchAndSkipsTerms(t *testing.T) {
	conf, _ := confchange.New([]Member{ma, mb, mc}, nil)
	n := newRestartedNode(t, epoch, conf)
	const more = 1000
	lost := make([]Entry, more)
	for i := range lost {
		lost[i] = Entry{Term: ruleTerm, Index: uint64(3 + i), Data: []byte("lost")}
	}
	step(t, n, epoch, Message{Kind: MsgAppend, From: mb, Term: ruleTerm, Index: 2, LogTerm: ruleTerm, Entries: lost})
	drainReady(n)
	last := uint64(2 + more)
	step(t, n, epoch, Message{
		Kind: MsgAppend, From: mc, Term: 9, Index: last, LogTerm: ruleTerm - 1,
		Entries: []Entry{{Term: 9, Index: last + 1, Data: []byte("x")}},
	})
	out, _ := drainReady(n)
	if len(out) != 1 || !out[0].Reject || out[0].Hint != 1 || out[0].HintTerm != 1 {
		t.Fatalf("answers %+v", out)
	}
	if got := n.Status().Last; got != last {
		t.Fatalf("the log reaches to %d", got)
	}
}

// Guards against acknowledging an entry that is not on disk. While a host writes
// entries, a new leader replaces them; Advance, which concerns the old entries, must
// not count for the new ones of the same indexes.
func TestReplacedEntriesAreWrittenAgain(t *testing.T) {
	conf, _ := confchange.New([]Member{ma, mb, mc}, nil)
	n := newRestartedNode(t, epoch, conf)
	entry := func(term uint64) []Entry { return []Entry{{Term: term, Index: 3, Data: []byte{byte(term)}}} }
	step(t, n, epoch, Message{Kind: MsgAppend, From: mb, Term: ruleTerm, Index: 2, LogTerm: ruleTerm, Entries: entry(ruleTerm)})
	if r := n.Ready(); len(r.Entries) != 1 {
		t.Fatalf("%+v", r)
	}
	step(t, n, epoch, Message{Kind: MsgAppend, From: mc, Term: ruleTerm + 1, Index: 2, LogTerm: ruleTerm, Entries: entry(ruleTerm + 1)})
	n.Advance()
	r := n.Ready()
	if len(r.Entries) != 1 || r.Entries[0].Term != ruleTerm+1 || len(r.Messages) != 1 {
		t.Fatalf("%+v after the entry was replaced", r)
	}
}

// Guards against using messages and states before they are checked: malformed messages,
// and states with a gap, a falling term or a term above the one on disk.
func TestBadInputIsRefused(t *testing.T) {
	conf, _ := confchange.New([]Member{ma, mb, mc}, nil)
	n := newRestartedNode(t, epoch, conf)
	for _, m := range []Message{
		{},
		{Kind: MsgVote, From: mb, To: mc, Group: ruleGroup},
		{Kind: MsgSnapshot, From: mb, To: ma, Group: ruleGroup, Term: 99},
		{Kind: MsgAppend, From: mb, To: ma, Group: ruleGroup, Term: 99, Index: 2, Entries: []Entry{{Index: 4}}},
		{Kind: MsgAppend, From: mb, To: ma, Group: ruleGroup, Term: 99, Index: 2, Entries: []Entry{{Index: 3, Kind: EntryConfig}}},
	} {
		if err := n.Step(epoch, m); err == nil {
			t.Fatalf("%+v is accepted", m)
		}
	}
	if n.Status().Term != ruleTerm {
		t.Fatal("a refused message changed the term")
	}
	hs := HardState{Group: ruleGroup, Term: ruleTerm}
	for _, s := range []State{
		{Entries: []Entry{{Index: 1, Term: 1}}},
		{HardState: hs, Entries: []Entry{{Index: 2, Term: 1}}},
		{HardState: hs, Entries: []Entry{{Index: 1, Term: 3}, {Index: 2, Term: 2}}},
		{HardState: hs, Entries: []Entry{{Index: 1, Term: ruleTerm + 1}}},
		{HardState: hs, Snapshot: &Snapshot{Index: 3, Term: 2, Config: conf}, Entries: []Entry{{Index: 5, Term: 2}}},
	} {
		if _, err := New(epoch, Options{Self: ma}, s); err == nil {
			t.Fatalf("%+v is accepted", s)
		}
	}
	if err := n.TransferLeader(epoch, "b"); !errors.Is(err, ErrNotLeader) {
		t.Fatalf("a follower transfers leadership: %v", err)
	}
}
