package replog

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	simStep     = 5 * time.Millisecond
	simElection = 200 * time.Millisecond
	simDrift    = 0.1
)

// disk holds what a node has synced. A lost disk is replaced by a new one.
type disk struct {
	self     Member
	hs       HardState
	snapshot *Snapshot
	entries  []Entry
}

// holds reports whether the position is synced here.
func (d *disk) holds(p Position) bool {
	if d.snapshot != nil && p.Index <= d.snapshot.Index {
		return true
	}
	i, ok := slices.BinarySearchFunc(d.entries, p.Index, func(e Entry, x uint64) int { return int(e.Index) - int(x) })
	return ok && d.entries[i].Term == p.Term
}

// writeSteps is the number of steps in which a Ready reaches the disk.
const writeSteps = 4

// write carries out the first steps of writing a Ready.
func (d *disk) write(r Ready, steps int) {
	if steps > 0 && r.HardState != nil {
		d.hs = *r.HardState
	}
	if steps > 1 && r.Snapshot != nil {
		d.snapshot = r.Snapshot
	}
	if steps > 2 && r.Snapshot != nil {
		d.entries = nil
	}
	if steps > 3 && len(r.Entries) > 0 {
		i, _ := slices.BinarySearchFunc(d.entries, r.Entries[0].Index, func(e Entry, x uint64) int { return int(e.Index) - int(x) })
		d.entries = append(slices.Clip(d.entries[:i]), r.Entries...)
	}
}

// host is one machine: its disk, its clock, and the node while it runs. Durations are
// true time since the start of the simulation.
type host struct {
	disk *disk
	node *Node
	// rate is how far the host's clock advances in one unit of true time.
	rate        float64
	frozenUntil time.Duration
	frozenAt    time.Time
	inbox       []Message
	// ready is the Ready being written, if any, and syncAt when it is synced.
	ready  *Ready
	syncAt time.Duration
	// chain is a hash of all entries up to applied.
	applied uint64
	chain   uint64
	// reads holds, by read id, the least index that the read may return.
	reads map[uint64]uint64
	// lastTerm is the newest term in which the host was seen to lead.
	lastTerm uint64
	leaseEnd time.Duration
}

// flight is a message in transit, due at a true time; seq orders those of one time.
type flight struct {
	at  time.Duration
	seq int
	m   Message
}

type flights []flight

func (f flights) Len() int { return len(f) }
func (f flights) Less(i, j int) bool {
	return f[i].at < f[j].at || (f[i].at == f[j].at && f[i].seq < f[j].seq)
}
func (f flights) Swap(i, j int) { f[i], f[j] = f[j], f[i] }
func (f *flights) Push(x any)   { *f = append(*f, x.(flight)) }
func (f *flights) Pop() any {
	old := *f
	x := old[len(old)-1]
	*f = old[:len(old)-1]
	return x
}

// groupTerm and groupPosition keep apart the groups that lost disks can leave behind
// while a group forms. Committed entries are not kept apart.
type groupTerm struct{ group, term uint64 }

type groupPosition struct {
	group    uint64
	position Position
}

// sim runs hosts over a simulated network in true time and observes all that they do.
type sim struct {
	fail     func(format string, args ...any)
	rng      *rand.Rand
	ids      []string
	hosts    map[string]*host
	boot     Bootstrap
	opts     Options
	net      flights
	sequence int
	now      time.Duration
	// cut holds the pairs of sender and receiver that cannot communicate.
	cut map[[2]string]bool
	// drop, if set, reports whether a message is lost.
	drop func(Message) bool
	// lossy makes the network lose, repeat and delay messages, and disks sync late.
	lossy bool
	// meanProposalSteps is the mean number of steps between two proposals at a node.
	meanProposalSteps int
	// count, if set, is called for each message sent.
	count func(Message)
	// delay, if set, returns a message's delay in transit.
	delay func(Message) time.Duration

	// Everything ever observed, for the invariants.
	disks     map[Member]*disk
	leaders   map[groupTerm]Member
	votes     map[Member]map[uint64]Member
	entries   map[groupPosition]uint64
	committed []Entry
	// chains holds the hash of all entries up to each index.
	chains []uint64
	config Config
	commit uint64
	// configIndex is the index of config.
	configIndex   uint64
	proposed      int
	readsServed   int
	wipes         int
	leaseChecks   int
	configChanges int
}

func newSim(seed uint64, voters, learners int, fail func(string, ...any)) *sim {
	o := Options{
		HeartbeatInterval: simElection / 10, ElectionTimeout: simElection, MaxDrift: simDrift,
		MaxInflight: 4, MaxAppendBytes: 64,
	}
	return newSimWithOptions(o, seed, voters, learners, fail)
}

func newSimWithOptions(o Options, seed uint64, voters, learners int, fail func(string, ...any)) *sim {
	s := &sim{
		fail: fail, rng: rand.New(rand.NewPCG(seed, 7)), hosts: map[string]*host{}, cut: map[[2]string]bool{},
		disks: map[Member]*disk{}, leaders: map[groupTerm]Member{}, votes: map[Member]map[uint64]Member{},
		entries: map[groupPosition]uint64{}, chains: []uint64{0}, lossy: true, meanProposalSteps: 6,
		opts: o,
	}
	for i := range voters + learners {
		s.ids = append(s.ids, string(rune('a'+i)))
	}
	s.boot = Bootstrap{Voters: s.ids[:voters], Learners: s.ids[voters:]}
	for _, id := range s.ids {
		s.hosts[id] = &host{rate: 1 + simDrift*float64(s.rng.IntN(3)-1)}
		s.wipe(id)
		s.start(id)
	}
	return s
}

// wipe gives a stopped host an empty disk.
func (s *sim) wipe(id string) {
	d := &disk{self: Member{ID: id, Incarnation: s.rng.Uint64() | 1}}
	s.disks[d.self] = d
	s.hosts[id].disk = d
}

// local returns the time of the host's monotonic clock.
func (s *sim) local(h *host) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(float64(s.now) * h.rate))
}

func (s *sim) start(id string) {
	h := s.hosts[id]
	o := s.opts
	o.Self, o.Bootstrap, o.Seed = h.disk.self, &s.boot, s.rng.Uint64()
	n, err := New(s.local(h), o, State{HardState: h.disk.hs, Snapshot: h.disk.snapshot, Entries: h.disk.entries})
	if err != nil {
		s.fail("start of %v: %v", h.disk.self, err)
		return
	}
	h.node, h.inbox, h.ready, h.reads = n, nil, nil, map[uint64]uint64{}
	h.applied, h.chain, h.frozenUntil, h.lastTerm = 0, 0, 0, 0
	if h.disk.snapshot != nil {
		s.restore(h, h.disk.snapshot)
	}
}

// crash stops a host; any leading part of an unsynced Ready may reach the disk. The
// host's lease ends.
func (s *sim) crash(id string) {
	h := s.hosts[id]
	if h.ready != nil {
		parts := s.rng.IntN(writeSteps + 1)
		h.disk.write(*h.ready, parts)
		s.checkVote(h)
		if parts == writeSteps {
			s.checkEntries(h, h.ready.Entries)
		}
	}
	h.node, h.ready, h.leaseEnd = nil, nil, 0
}

func (s *sim) send(ms []Message) {
	for _, m := range ms {
		if s.count != nil {
			s.count(m)
		}
		copies := 1
		if s.lossy && s.rng.IntN(20) == 0 {
			copies = s.rng.IntN(3)
		}
		for range copies {
			delay := time.Millisecond * time.Duration(1+s.rng.IntN(8))
			if s.delay != nil {
				delay = s.delay(m)
			}
			if s.lossy && s.rng.IntN(30) == 0 {
				delay = time.Duration(s.rng.Int64N(int64(5 * simElection)))
			}
			s.sequence++
			heap.Push(&s.net, flight{s.now + delay, s.sequence, m})
		}
	}
}

// run advances true time; between is called at each step.
func (s *sim) run(d time.Duration, between func()) {
	for end := s.now + d; s.now < end; {
		s.now += simStep
		for len(s.net) > 0 && s.net[0].at <= s.now {
			m := heap.Pop(&s.net).(flight).m
			if h := s.hosts[m.To.ID]; h.node != nil && !(s.drop != nil && s.drop(m)) && !s.cut[[2]string{m.From.ID, m.To.ID}] {
				h.inbox = append(h.inbox, m)
			}
		}
		for _, id := range s.ids {
			s.drive(s.hosts[id])
		}
		if between != nil {
			between()
		}
	}
}

// drive runs one iteration of a host's loop. A host that was frozen had read its clock
// before it stopped and continues with that time.
func (s *sim) drive(h *host) {
	if h.node == nil || s.now < h.frozenUntil {
		return
	}
	now := s.local(h)
	if h.frozenUntil > 0 {
		now, h.frozenUntil = h.frozenAt, 0
	}
	for _, m := range h.inbox {
		if err := h.node.Step(now, m); err != nil {
			s.fail("step of %v: %v", m.Kind, err)
		}
		s.checkCommit(h)
		now = s.local(h)
	}
	h.inbox = h.inbox[:0]
	h.node.Tick(now)
	if ch, ok := h.node.NextRepair(now, func(m Member) bool { return slices.Contains(s.boot.Voters, m.ID) }); ok {
		if _, err := h.node.ProposeConfChange(now, ch); err != nil {
			s.fail("repair %v: %v", ch, err)
		}
	}
	s.checkLeader(h)
	for range 4 {
		if h.ready == nil {
			s.beginReady(h)
		}
		if h.ready == nil || s.now < h.syncAt {
			return
		}
		s.finishReady(h)
	}
}

// beginReady starts a Ready: Immediate is sent, and the sync takes a while.
func (s *sim) beginReady(h *host) {
	if !h.node.HasReady() {
		return
	}
	r := h.node.Ready()
	if r.Empty() {
		return
	}
	s.send(r.Immediate)
	h.ready, h.syncAt = &r, s.now
	if r.MustSync && s.lossy {
		h.syncAt += time.Duration(s.rng.Int64N(int64(4 * simStep)))
	}
}

func (s *sim) finishReady(h *host) {
	r := *h.ready
	h.ready = nil
	h.disk.write(r, writeSteps)
	s.checkVote(h)
	s.checkEntries(h, r.Entries)
	s.send(r.Messages)
	if r.Snapshot != nil {
		s.restore(h, r.Snapshot)
	}
	for _, e := range r.Committed {
		s.apply(h, e)
	}
	for _, rs := range r.ReadStates {
		if want, ok := h.reads[rs.ID]; ok && rs.Index < want {
			s.fail("stale read at %v: index %d, but %d was acknowledged before it began", h.disk.self, rs.Index, want)
		}
		delete(h.reads, rs.ID)
		s.readsServed++
	}
	h.node.Advance()
	s.checkCommit(h)
	if len(h.disk.entries) > 30 && h.node.Status().Applied == h.applied && h.applied > 0 {
		s.compact(h)
	}
}

func (s *sim) compact(h *host) {
	snap, err := h.node.MakeSnapshot(h.applied, fmt.Appendf(nil, "%d", h.chain))
	if err != nil {
		return // The newest snapshot already covers this index.
	}
	h.disk.snapshot = &snap
	h.disk.entries = slices.DeleteFunc(slices.Clone(h.disk.entries), func(e Entry) bool { return e.Index+5 <= snap.Index })
	if err := h.node.Compact(snap, 5); err != nil {
		s.fail("compaction at %d: %v", snap.Index, err)
	}
}

func (s *sim) restore(h *host, snap *Snapshot) {
	h.applied, h.chain = snap.Index, 0
	if _, err := fmt.Sscan(string(snap.Data), &h.chain); err != nil || s.chains[snap.Index] != h.chain {
		s.fail("%v restored another state at %d (%v)", h.disk.self, snap.Index, err)
	}
}

// currentLeader returns the node with the newest term among those that take themselves
// for the leader.
func (s *sim) currentLeader() *host {
	var best *host
	for _, id := range s.ids {
		h := s.hosts[id]
		if h.node != nil && s.now >= h.frozenUntil && h.node.role == Leader && (best == nil || h.node.hs.Term > best.node.hs.Term) {
			best = h
		}
	}
	return best
}
