// Package control runs a core instance: a member of the group that accepts
// configurations, with the board of who is there.
//
// Duties, each a goroutine: the member itself (coord/replhost), joining and
// changing the group, reading the platform's list of targets, and gossip with the
// other core instances. Entry instances and operators are answered on top.
package control

import (
	"context"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/bundle/newest"
	"github.com/gullhaven/gullhaven/bundle/routes"
	"github.com/gullhaven/gullhaven/coord/admit"
	"github.com/gullhaven/gullhaven/coord/link"
	"github.com/gullhaven/gullhaven/coord/replhost"
	"github.com/gullhaven/gullhaven/coord/replog"
	"github.com/gullhaven/gullhaven/coord/wal"
	"github.com/gullhaven/gullhaven/metrics"
	"github.com/gullhaven/gullhaven/metrics/lines"
	"github.com/gullhaven/gullhaven/node/duty"
	"github.com/gullhaven/gullhaven/node/feed"
	"github.com/gullhaven/gullhaven/node/quota"
)

// Times of the group, whose members are regions apart: the round trip between two
// of them is 160 ms, and an election must not begin by one late heartbeat. After a
// loss of power of all members a leader is there within 2 s.
const (
	heartbeat = 150 * time.Millisecond
	election  = 900 * time.Millisecond
)

const (
	// snapshotEntries is the number of entries between snapshots, keepEntries of those kept
	// for members that lag: more than a large configuration has pieces, so that a member
	// which is a moment behind does not need all of them anew. With entries of appendBytes
	// they are 9 MB of log.
	snapshotEntries = 512
	keepEntries     = 256
	// maxDocument bounds a configuration in bytes, as the limit on a body does.
	maxDocument = 4 << 20
	// maxMessage bounds a message between instances: a snapshot with one document, and with
	// pieces of others that were not offered yet.
	maxMessage = 3*maxDocument + 1<<20
	// appendBytes bounds the entries of one message between members: one that goes as one
	// chunk keeps its place among the heartbeats.
	appendBytes = 12 << 10
	// callTime bounds one operation on the group. Operators give a call a second.
	callTime = 900 * time.Millisecond
	// firstTime bounds the confirmation for an instance that has just started: a
	// round trip to the leader and one of its own to a majority.
	firstTime = 350 * time.Millisecond
	// serveWorkers bounds the calls of one channel that are answered at once:
	// each entry instance waits in one.
	serveWorkers = 256
)

// Channels of the link.
const (
	channelGroup   = "group"
	channelPropose = "propose"
	channelJoin    = "join"
	channelGossip  = "gossip"
	channelList    = "list"
	channelRead    = "read"
	// channelMember is ChannelReport at a member, which does not pass it on again.
	channelMember = "member-report"
	// ChannelReport is where entry instances report.
	ChannelReport = "report"
	// ChannelDocument is where they ask for a configuration, see package pieces.
	ChannelDocument = "document"
	// channelMemberDocument is ChannelDocument at a member, which does not pass it on again.
	channelMemberDocument = "member-document"
	// channelMemberLimits is quota.ChannelReport at the leader, which does not pass it on again.
	channelMemberLimits = "member-limits"
)

// logFolder holds the replicated log.
const logFolder = "log"

// Options of an Instance.
type Options struct {
	Self feed.Core
	// Regions are all regions of the site.
	Regions []string
	// Seeds are core instances by id.
	Seeds []string
	// FirstStart says that the whole system starts for the first time; the seeds
	// then form the group.
	FirstStart bool
	// Dir is the folder on the disk, used by this instance alone.
	Dir string
	// Format reads and checks configurations.
	Format routes.Format
	// ReadList reads the platform's list of targets and tells how many calls it took. It
	// waits for the turn of each call.
	ReadList func(ctx context.Context, turn Turn) (targets []feed.Target, calls int, err error)
	// ListRate is how many such calls the platform takes a second from all instances; 0
	// where it does not say.
	ListRate float64
	Log      *zap.Logger
	// Lines tells of missing log lines; nil where none are counted.
	Lines lines.Counts
	// Admission bounds the group; zero fields take the defaults.
	Admission admit.Rules
}

// Instance is a core instance.
type Instance struct {
	o       Options
	log     *zap.Logger
	hub     *link.Hub
	node    *replhost.Node
	machine *newest.Machine
	board   *feed.Store
	kept    *kept
	// documents are given to entry instances.
	documents documents
	lagging   lagging
	// first is the state that was accepted before the start; nil if unknown.
	first   *newest.State
	members *admit.Group
	// membersMu guards members, which the joining duty and calls of others use.
	membersMu sync.Mutex
	metrics   *metrics.Set
	outside   outside
	// newcomer says that this instance stands for a voter that is gone.
	newcomer bool
	dividing dividing
	// reading is the reading duty's own.
	reading reading
	// standing is what the log said lately; confirming shares one confirmation among
	// those that ask for it together.
	standing   standing
	confirming duty.Coalescer
	// unled says that a line told of first states that nobody could confirm.
	unled atomic.Bool
	// gossipNow wakes the gossip before its time.
	gossipNow chan struct{}

	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// transport sends the group's messages over the link.
type transport struct{ hub *link.Hub }

// Send queues a message; a full queue loses it, which the log tolerates.
func (t transport) Send(to string, payload []byte) { t.hub.Send(to, channelGroup, payload) }

// New recovers the log and registers what the instance answers. Start begins its
// duties.
func New(o Options) (*Instance, error) {
	i := &Instance{
		o: o, log: o.Log, board: feed.NewStore(o.Self, rand.Uint64()), members: admit.New(o.Admission),
		gossipNow: make(chan struct{}, 1),
	}
	i.metrics = metrics.NewSiteCore(i.shown)
	i.kept = newKept(wal.OS{}, o.Dir, o.Log)
	i.machine = newest.NewMachine(i.changed)
	hub, err := link.New(LinkOptions(o.Self.ID))
	if err != nil {
		return nil, err
	}
	i.hub = hub
	core := replog.Options{
		Self:              replog.Member{ID: o.Self.ID},
		HeartbeatInterval: heartbeat,
		ElectionTimeout:   election,
		MaxAppendBytes:    appendBytes,
	}
	if o.FirstStart && slices.Contains(o.Seeds, o.Self.ID) {
		core.Bootstrap = &replog.Bootstrap{Voters: o.Seeds}
	}
	i.node, err = replhost.Open(replhost.Options{
		Core: core, Dir: filepath.Join(o.Dir, logFolder), Transport: transport{hub}, StateMachine: i.machine, Clock: replhost.BootClock{},
		SnapshotEntries: snapshotEntries, KeepEntries: keepEntries, MaxProposalBytes: maxDocument + 1<<10,
		Repair: true, Promote: func(replog.Member) bool { return true },
	})
	if err != nil {
		hub.Close()
		return nil, err
	}
	if i.first, err = i.kept.read(); err != nil {
		// The log tells it as soon as there is a leader.
		i.log.Warn("accepted state beside the log cannot be read", zap.Error(err))
	}
	if i.first != nil {
		i.documents.put(i.first)
		o.Log.Info("accepted before the start", zap.Uint64("version", i.first.Version), zap.Uint64("index", i.first.Index))
	}
	i.newcomer = i.node.Status().New && !o.FirstStart
	hub.Handle(channelGroup, i.node.Receive)
	hub.Handle(channelGossip, i.gossiped)
	hub.Serve(channelPropose, serveWorkers, i.servePropose)
	hub.Serve(channelJoin, serveWorkers, i.serveJoin)
	hub.Serve(channelList, serveWorkers, i.serveList)
	hub.Serve(channelRead, serveWorkers, i.serveRead)
	hub.Serve(channelMember, serveWorkers, i.serveReport)
	hub.Serve(ChannelReport, serveWorkers, i.passReport)
	hub.Serve(channelMemberDocument, serveWorkers, i.serveDocument)
	hub.Serve(ChannelDocument, serveWorkers, i.passDocument)
	hub.Serve(quota.ChannelReport, serveWorkers, i.passLimits)
	hub.Serve(channelMemberLimits, serveWorkers, i.serveLimits)
	return i, nil
}

// LinkOptions are those of the links between core and entry instances: ids are
// addresses, and the network between the instances is private.
func LinkOptions(self string, urgent ...string) link.Options {
	return link.Options{
		PlaintextID:    self,
		Address:        func(id string) (string, bool) { return id, true },
		UrgentChannels: append(urgent, channelGroup),
		MaxMessage:     maxMessage,
		DialTimeout:    time.Second,
		// Two round trips between regions and some; TCP would send a lost first packet again
		// after a second, as where core instances come back a moment later than entry
		// instances after a loss of power of all.
		ConnectTimeout: 400 * time.Millisecond,
		PingAfter:      700 * time.Millisecond,
		PingTimeout:    700 * time.Millisecond,
		// All processes may start at the same moment after a loss of power: whoever
		// finds the other end not listening yet asks again soon.
		MaxBackoff: 200 * time.Millisecond,
		Rand:       rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// Links answers the links of other instances; mount it at link.DefaultPath.
func (i *Instance) Links() http.Handler { return i.hub.Handler() }

// Metrics serves the metrics as text.
func (i *Instance) Metrics() http.Handler { return i.metrics }

// shown is the state that the metrics show.
func (i *Instance) shown() metrics.CoreState {
	now, s := time.Now(), i.node.Status()
	c := metrics.CoreState{
		IsLeader: s.Core.Role == replog.Leader, Term: int64(s.Core.Term), Applied: int64(s.Applied),
		Behind: int64(s.Core.Commit) - int64(s.Applied), Voters: int64(len(s.Core.Config.Voters)),
		Version: int64(i.accepted().Version), ListAge: -1, Entries: int64(len(i.board.Entries(now))),
		Cores: int64(len(i.board.Cores(now))), Syncs: int64(s.Counters.Syncs), SyncedEntries: int64(s.Counters.SyncedEntries),
	}
	c.Links, c.EntriesBehind = metrics.SumLinks(i.hub.Stats()), int64(i.lagging.count(now))
	if l := i.board.List(); !l.ReadAt.IsZero() {
		c.ListAge, c.Targets = now.Sub(l.ReadAt).Milliseconds(), int64(len(l.Targets))
	}
	if i.o.Lines != nil {
		dropped, leftOut := i.o.Lines.Missing()
		c.LinesDropped, c.LinesSkipped = int64(dropped), int64(leftOut)
	}
	return c
}

// Board is the soft state.
func (i *Instance) Board() *feed.Store { return i.board }

// Start begins the duties.
func (i *Instance) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	i.cancel = cancel
	for _, duty := range []func(context.Context){i.runJoining, i.runList, i.runGossip, i.runWakes, i.watchNode, i.kept.run} {
		i.wg.Go(func() { duty(ctx) })
	}
}

// Stop hands leadership on, ends the duties and closes the log.
func (i *Instance) Stop() error {
	i.handOver()
	i.cancel()
	err := i.node.Stop()
	i.hub.Close()
	i.wg.Wait()
	return err
}

// handOver gives leadership to a voter that answers, so that no election timeout
// passes without a leader.
func (i *Instance) handOver() {
	s := i.node.Status().Core
	if s.Role != replog.Leader {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	for _, p := range s.Peers {
		if !p.Voter || !p.CaughtUp {
			continue
		}
		if err := i.node.TransferLeader(ctx, p.Member.ID); err != nil {
			i.log.Warn("leadership was not handed over", zap.String("to", p.Member.ID), zap.Error(err))
			continue
		}
		i.awaitSuccessor(ctx)
		return
	}
}

func (i *Instance) awaitSuccessor(ctx context.Context) {
	tick := time.NewTicker(heartbeat / 4)
	defer tick.Stop()
	for i.node.Status().Core.Role == replog.Leader {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// Members are the ids of the group's voters and of those that learn.
func (i *Instance) Members() (voters, learners []string) {
	c := i.node.Status().Core.Config
	for _, m := range c.Voters {
		voters = append(voters, m.ID)
	}
	for _, m := range c.Learners {
		learners = append(learners, m.ID)
	}
	return voters, learners
}

// Leader is the id of the leader that this instance hears from; empty if there is none.
func (i *Instance) Leader() string { return i.stands().leader }

// Ended is closed when the log has failed; the process should end then, so that
// it is started anew on its disk.
func (i *Instance) Ended() <-chan struct{} { return i.node.Done() }

// watchNode logs changes of the leader and the failure of the log.
func (i *Instance) watchNode(ctx context.Context) {
	tick := time.NewTicker(heartbeat)
	defer tick.Stop()
	var leader string
	for {
		select {
		case <-ctx.Done():
			return
		case <-i.node.Done():
			i.log.Error("the log has ended", zap.Error(i.node.Status().Err))
			return
		case <-tick.C:
		}
		s := i.node.Status().Core
		if s.Leader.ID == leader {
			continue
		}
		leader = s.Leader.ID
		// Those that wait for a leader hear of it.
		i.board.Wake()
		i.unled.Store(false)
		i.log.Info("leader", zap.String("leader", leader), zap.Uint64("term", s.Term),
			zap.Stringer("config", s.Config), zap.Uint64("applied", s.Applied))
	}
}

// changed is called after each change of the accepted state.
func (i *Instance) changed(s *newest.State) {
	i.log.Info("accepted", zap.Uint64("version", s.Version), zap.Uint64("index", s.Index),
		zap.Strings("evacuated", s.Zones()))
	i.documents.put(s)
	i.kept.put(s)
	i.board.Wake()
}

// accepted is the newest state that is known to be accepted. The log's own may be
// behind the one kept beside it until a leader tells how far it is committed.
func (i *Instance) accepted() *newest.State {
	s := i.machine.State()
	if i.first != nil && i.first.Index > s.Index {
		return i.first
	}
	return s
}
