package replog

import (
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"github.com/gullhaven/gullhaven/coord/replog/tracker"
)

// Defaults of Options.
const (
	DefaultHeartbeatInterval   = 100 * time.Millisecond
	DefaultElectionHeartbeats  = 10
	DefaultMaxDrift            = 0.01
	DefaultMaxAppendBytes      = 256 << 10
	DefaultMaxInflight         = 32
	DefaultMaxUncommittedBytes = 16 << 20
)

// Node is one member's replicated log. It is not safe for concurrent use.
type Node struct {
	opts Options
	rng  *rand.Rand
	// now is the latest time passed in.
	now time.Time

	role   Role
	hs     HardState
	leader Member
	log    *entryLog

	// refuseUntil is the time before which only votes with Force are granted; see
	// lease.go.
	refuseUntil time.Time
	// electionAt is when a node that is not the leader campaigns.
	electionAt time.Time
	votes      map[Member]bool

	forming forming
	lead    leadership
	// returnedLeaseEnd is the latest lease end returned to the host.
	returnedLeaseEnd time.Time

	// readsSent holds when reads were sent to a leader, by id.
	readsSent map[uint64]time.Time
	out       outbox
}

// leadership is a leader's state, reset at each election.
type leadership struct {
	peers map[Member]*tracker.Progress
	// round is the newest heartbeat round. roundTimes holds when the newest rounds were
	// sent, the last one being round. roundDue requests another round with the next
	// Ready, for waiting reads.
	round       uint64
	roundTimes  []time.Time
	roundDue    bool
	heartbeatAt time.Time
	// commitAtRound is the commit index when the newest round began.
	commitAtRound uint64
	// uncommitted is the data of uncommitted proposals, in bytes.
	uncommitted int
	reads       []pendingRead
	// earlierLeaseEnd is the latest lease end returned under earlier configurations.
	earlierLeaseEnd time.Time
	// otherIncarnations holds, by member id, the newest other incarnation that
	// answered.
	otherIncarnations map[string]Member
	// transferee is the next leader, zero without a transfer; at transferEnd the
	// transfer is given up.
	transferee  Member
	transferEnd time.Time
}

var _ Log = (*Node)(nil)

// New returns a node that continues from what the host read from its disk. The error
// names the invalid option or the inconsistent part of the state.
func New(now time.Time, o Options, s State) (*Node, error) {
	if err := o.complete(); err != nil {
		return nil, errors.Trace(err)
	}
	if s.HardState.Group == 0 && (s.Snapshot != nil || len(s.Entries) > 0 || s.HardState.Term > 0) {
		return nil, errors.NotValidf("state on disk without a group")
	}
	l, err := newLog(s)
	if err != nil {
		return nil, errors.Trace(err)
	}
	n := &Node{
		opts: o, now: now, hs: s.HardState, log: l,
		rng: rand.New(rand.NewPCG(o.Seed, o.Self.Incarnation)),
	}
	if n.hs.Group == o.Self.Incarnation && l.last() == 0 {
		// The founder stopped while it wrote the first entry. It has announced the group
		// to nobody, and probes again.
		n.hs = HardState{}
	}
	n.out.synced, n.out.emitted = n.hs, n.hs
	n.readsSent = make(map[uint64]time.Time)
	n.start()
	return n, nil
}

// start sets the first timers. A restarted node does not know whether it answered a
// heartbeat just before it stopped; it refuses votes for as long as such an answer can
// bind it. A blank node has never answered one.
func (n *Node) start() {
	if n.hs.Group == 0 {
		n.startForming()
		return
	}
	n.role = Follower
	n.refuseUntil = n.now.Add(n.voterTimeout())
	n.resetElection()
	if c := n.log.config().config; len(c.Voters) == 1 && n.promotable() {
		n.electionAt = n.now
	}
}

func (o *Options) complete() error {
	if o.Self.ID == "" || o.Self.Incarnation == 0 {
		return errors.NotValidf("own member %v", o.Self)
	}
	setDefault(&o.HeartbeatInterval, DefaultHeartbeatInterval)
	setDefault(&o.ElectionTimeout, DefaultElectionHeartbeats*o.HeartbeatInterval)
	setDefault(&o.MaxDrift, DefaultMaxDrift)
	setDefault(&o.MaxAppendBytes, DefaultMaxAppendBytes)
	setDefault(&o.MaxInflight, DefaultMaxInflight)
	setDefault(&o.MaxUncommittedBytes, DefaultMaxUncommittedBytes)
	if o.HeartbeatInterval < 0 || o.ElectionTimeout < 2*o.HeartbeatInterval {
		return errors.NotValidf("election timeout %v with heartbeats each %v", o.ElectionTimeout, o.HeartbeatInterval)
	}
	if o.MaxDrift < 0 || o.MaxDrift > 0.5 {
		return errors.NotValidf("drift bound %v", o.MaxDrift)
	}
	if o.MaxAppendBytes < 0 || o.MaxInflight < 0 || o.MaxUncommittedBytes < 0 {
		return errors.NotValidf("negative bound")
	}
	return o.Bootstrap.check()
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

// advanceClock sets the time; it never goes backwards.
func (n *Node) advanceClock(now time.Time) {
	if now.After(n.now) {
		n.now = now
	}
}

// Tick implements Log.
func (n *Node) Tick(now time.Time) {
	n.advanceClock(now)
	n.expireReads()
	switch {
	case n.role == Blank:
		n.tickForming()
	case n.role == Leader:
		n.tickLeader()
	case !n.now.Before(n.electionAt):
		n.leader = Member{}
		n.resetElection()
		if n.promotable() {
			n.campaign(PreCandidate, false)
		}
	}
}

// NextTick implements Log.
func (n *Node) NextTick() time.Time {
	switch n.role {
	case Leader:
		return n.lead.heartbeatAt
	case Blank:
		return n.forming.probeAt
	}
	return n.electionAt
}

// Step implements Log.
func (n *Node) Step(now time.Time, m Message) error {
	if err := m.check(); err != nil {
		return err
	}
	if m.To.ID != n.opts.Self.ID {
		return errors.Annotatef(ErrWrongNode, "%v", m.To)
	}
	n.advanceClock(now)
	switch {
	case m.Kind <= MsgWrongIncarnation:
		n.stepUngrouped(m)
	case m.To != n.opts.Self:
		n.sendWrongIncarnation(m)
	case !n.sameGroup(m):
	case n.stepTerm(m):
		n.stepKind(m)
	}
	return nil
}

func (m *Message) check() error {
	if m.Kind == 0 || m.Kind > MsgReadIndexResp || m.From.ID == "" || m.From.Incarnation == 0 {
		return errors.Annotatef(ErrMalformed, "kind %d from %v", m.Kind, m.From)
	}
	if m.Kind == MsgSnapshot && (m.Snapshot == nil || m.Snapshot.Config.Check() != nil) {
		return errors.Annotatef(ErrMalformed, "no whole snapshot from %v", m.From)
	}
	for i, e := range m.Entries {
		badConfig := (e.Kind == EntryConfig) != (e.Config != nil) || (e.Config != nil && e.Config.Check() != nil)
		if e.Index != m.Index+uint64(i)+1 || badConfig {
			return errors.Annotatef(ErrMalformed, "entry %d from %v", e.Index, m.From)
		}
	}
	return nil
}

// sameGroup reports whether the message is of this node's group. A blank node joins the
// group of the first message for its incarnation: only a configuration that holds this
// incarnation makes a member write to it.
func (n *Node) sameGroup(m Message) bool {
	if n.role != Blank {
		return m.Group == n.hs.Group
	}
	if m.Group == 0 || !(m.Kind.fromLeader() || m.Kind == MsgVote || m.Kind == MsgPreVote) {
		return false
	}
	n.hs.Group = m.Group
	n.role = Follower
	n.resetElection()
	return true
}

func (k MessageKind) response() bool {
	switch k {
	case MsgPreVoteResp, MsgVoteResp, MsgAppendResp, MsgHeartbeatResp, MsgReadIndexResp:
		return true
	}
	return false
}

// fromLeader reports whether only the leader of a term sends this kind.
func (k MessageKind) fromLeader() bool {
	return k == MsgAppend || k == MsgHeartbeat || k == MsgSnapshot
}

// stepTerm compares terms and reports whether the message is to be handled.
func (n *Node) stepTerm(m Message) bool {
	if m.Kind == MsgReadIndex || m.Kind == MsgReadIndexResp || m.Kind == MsgPreVote {
		return true
	}
	if m.Term < n.hs.Term {
		// A leader of an old term, for example one that was stopped, has to learn that
		// its term is over.
		if m.Kind.fromLeader() {
			n.send(Message{Kind: MsgAppendResp, To: m.From, Index: m.Index, Reject: true})
		}
		return false
	}
	if m.Term > n.hs.Term {
		return n.stepHigherTerm(m)
	}
	return true
}

// stepHigherTerm reports whether the message is to be handled.
func (n *Node) stepHigherTerm(m Message) bool {
	switch {
	case m.Kind.fromLeader():
		n.becomeFollower(m.Term, m.From)
		return true
	case m.Kind == MsgVote:
		if n.refusesVote(m) {
			return false
		}
		n.becomeFollower(m.Term, Member{})
		return true
	case m.Kind == MsgPreVoteResp && !m.Reject:
		return m.Term == n.hs.Term+1
	case m.Kind.response() && n.log.config().config.IsMember(m.From):
		n.becomeFollower(m.Term, Member{})
	}
	return false
}

func (n *Node) stepKind(m Message) {
	if m.Kind.fromLeader() {
		n.observeLeader(m.From)
	}
	switch m.Kind {
	case MsgPreVote, MsgVote:
		n.handleVote(m)
	case MsgPreVoteResp, MsgVoteResp:
		n.handleVoteResp(m)
	case MsgAppend:
		n.handleAppend(m)
	case MsgHeartbeat:
		n.handleHeartbeat(m)
	case MsgSnapshot:
		n.handleSnapshot(m)
	case MsgAppendResp, MsgHeartbeatResp:
		n.handlePeerResp(m)
	case MsgTimeoutNow:
		n.handleTimeoutNow()
	case MsgReadIndex:
		n.handleReadIndex(m)
	case MsgReadIndexResp:
		n.handleReadIndexResp(m)
	}
}

// Status implements Log.
func (n *Node) Status() Status {
	conf := n.log.config()
	return Status{
		Self: n.opts.Self, Role: n.role, Group: n.hs.Group, Term: n.hs.Term, Leader: n.leader,
		Config: conf.config, ConfigIndex: conf.index,
		First: n.log.prev.Index + 1, Last: n.log.last(), Commit: n.log.commit, Applied: n.log.applied,
		Peers: n.peerStatus(), OtherIncarnations: n.otherIncarnations(),
	}
}
