// Package control runs a core instance: a member of the group that accepts configurations, with
// a store of the known instances and targets.
//
// It runs one goroutine for each of these: the group member (coord/replhost), joining and
// changing the group, reading the platform's list of targets, and gossip with the other core
// instances. It also answers entry instances and operators.
package control

import (
	"context"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
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

// Times of the group. Its members are in different regions with a round trip of 160 ms, and one
// late heartbeat must not start an election. After a power loss of all members there is a
// leader within 2 s.
const (
	heartbeatInterval = 150 * time.Millisecond
	electionTimeout   = 900 * time.Millisecond
)

const (
	// snapshotEntries is the number of log entries between snapshots. keepEntries of them are
	// kept for lagging members: more than a large configuration has pieces, so that a member
	// that is slightly behind does not need all pieces again. At maxAppendBytes an entry, that
	// is 9 MB of log.
	snapshotEntries = 512
	keepEntries     = 256
	// maxDocumentBytes bounds a configuration, as the limit on a request body does.
	maxDocumentBytes = 4 << 20
	// maxMessageBytes bounds a message between instances: a snapshot with one document, and
	// with pieces of others that were not offered yet.
	maxMessageBytes = 3*maxDocumentBytes + 1<<20
	// maxAppendBytes bounds the entries in one message between members. A message that fits one
	// chunk of the link keeps its order among the heartbeats.
	maxAppendBytes = 12 << 10
	// callTimeout bounds one operation on the group. Operators allow a call one second.
	callTimeout = 900 * time.Millisecond
	// firstConfirmTimeout bounds the confirmation for an instance that has just started: a
	// round trip to the leader, and one from the leader to a majority.
	firstConfirmTimeout = 350 * time.Millisecond
	// maxConcurrentCalls bounds the calls that one channel serves at once: each entry instance
	// waits in one.
	maxConcurrentCalls = 256
)

// Link channels.
const (
	channelGroup   = "group"
	channelPropose = "propose"
	// channelProposeAll is channelPropose for several commands.
	channelProposeAll = "propose-all"
	channelJoin       = "join"
	channelGossip     = "gossip"
	channelList       = "list"
	channelRead       = "read"
	// channelMemberReport is ChannelReport at a member, which does not forward it again.
	channelMemberReport = "member-report"
	// ChannelReport takes the reports of entry instances.
	ChannelReport = "report"
	// ChannelDocument serves configurations to entry instances, see package pieces.
	ChannelDocument = "document"
	// channelMemberDocument is ChannelDocument at a member, which does not forward it again.
	channelMemberDocument = "member-document"
	// channelMemberLimits is quota.ChannelReport at the leader, which does not forward it
	// again.
	channelMemberLimits = "member-limits"
)

// logDir is the folder of the replicated log, inside Options.Dir.
const logDir = "log"

// Options of an Instance.
type Options struct {
	Self feed.Core
	// Regions are all regions of the site.
	Regions []string
	// Seeds are the ids of core instances to contact first.
	Seeds []string
	// FirstStart says that the whole system starts for the first time; the seeds then form the
	// group.
	FirstStart bool
	// Dir is a folder on disk that no other instance uses.
	Dir string
	// Format reads and checks configurations.
	Format routes.Format
	// ReadList reads the platform's list of targets and returns how many calls that took. It
	// must call throttle before each call to the platform.
	ReadList func(ctx context.Context, throttle Throttle) (targets []feed.Target, calls int, err error)
	// ListRate is how many such calls per second the platform accepts from all instances
	// together; 0 if it sets no limit.
	ListRate float64
	Log      *zap.Logger
	// Lines counts missing log lines; nil where none are counted.
	Lines lines.Counts
	// Intake returns what clients take up, for the metrics; nil if that is not known.
	Intake func() metrics.Intake
	// Admission bounds the group; zero fields take the defaults.
	Admission admit.Rules
}

// Instance is a core instance.
type Instance struct {
	o            Options
	log          *zap.Logger
	hub          *link.Hub
	node         *replhost.Node
	machine      *newest.Machine
	store        *feed.Store
	acceptedFile *acceptedFile
	suspectsFile *suspectsFile
	// documents are served to entry instances.
	documents documents
	// suspectExchanges are those with other core instances.
	suspectExchanges suspectExchanges
	lagging          lagTable
	// startState is the state that was accepted before the start; nil if unknown.
	startState *newest.State
	members    *admit.Group
	// membersMu guards members, which the joining goroutine and served calls use.
	membersMu sync.Mutex
	metrics   *metrics.Set
	standby   standby
	// newcomer says that this instance replaces a voter that is gone.
	newcomer bool
	division limitDivision
	// listReader belongs to the goroutine that reads the list.
	listReader listReader
	// positionCache holds this instance's recent place in the group; confirmations shares one
	// confirmation among callers that ask for it at the same time.
	positionCache positionCache
	confirmations duty.Coalescer
	// noLeaderLogged is one above the index of the state that the log already names in a line about
	// first states that nobody could confirm; 0 for none since the leader last changed.
	noLeaderLogged atomic.Uint64
	// gossipNow triggers gossip before its interval ends, as the list has changed, and suspectsNow, as
	// there are new suspects.
	gossipNow, suspectsNow chan struct{}

	// firstStart says that the seeds, this instance among them, are about to form the group.
	firstStart bool

	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// transport sends the group's messages over the link.
type transport struct{ hub *link.Hub }

// Send queues a message. A full queue drops it, which the log tolerates.
func (t transport) Send(to string, payload []byte) { t.hub.Send(to, channelGroup, payload) }

// New recovers the log and registers the link handlers. Start begins the work.
func New(o Options) (*Instance, error) {
	i := &Instance{
		o: o, log: o.Log, store: feed.NewStore(o.Self, rand.Uint64()), members: admit.New(o.Admission),
		gossipNow: make(chan struct{}, 1), suspectsNow: make(chan struct{}, 1),
	}
	i.metrics = metrics.NewSiteCore(i.coreState)
	if o.Intake != nil {
		i.metrics.RegisterIntake(o.Intake)
	}
	i.acceptedFile = newAcceptedFile(wal.OS{}, o.Dir, o.Log)
	i.suspectsFile = newSuspectsFile(wal.OS{}, o.Dir, o.Log)
	i.machine = newest.NewMachine(i.onAccepted)
	hub, err := link.New(LinkOptions(o.Self.ID))
	if err != nil {
		return nil, err
	}
	i.hub = hub
	core := replog.Options{
		Self:              replog.Member{ID: o.Self.ID},
		HeartbeatInterval: heartbeatInterval,
		ElectionTimeout:   electionTimeout,
		MaxAppendBytes:    maxAppendBytes,
	}
	seeds, err := i.seedsToFormWith()
	if err != nil {
		hub.Close()
		return nil, errors.Annotate(err, "keeping the intent of the first start")
	}
	if len(seeds) > 0 {
		core.Bootstrap = &replog.Bootstrap{Voters: seeds}
	}
	i.node, err = replhost.Open(replhost.Options{
		Core: core, Dir: filepath.Join(o.Dir, logDir), Transport: transport{hub}, StateMachine: i.machine, Clock: replhost.BootClock{},
		SnapshotEntries: snapshotEntries, KeepEntries: keepEntries, MaxProposalBytes: maxDocumentBytes + 1<<10,
		Repair: true, Promote: func(replog.Member) bool { return true },
	})
	if err != nil {
		hub.Close()
		return nil, err
	}
	if i.startState, err = i.acceptedFile.read(); err != nil {
		// The log provides the state once there is a leader.
		i.log.Warn("accepted state beside the log cannot be read", zap.Error(err))
	}
	if i.startState != nil {
		i.documents.put(i.startState)
		o.Log.Info("read the accepted state beside the log", zap.Uint64("version", i.startState.Version), zap.Uint64("index", i.startState.Index))
	}
	i.store.AddSuspects(time.Now(), i.suspectsFile.read(), false)
	i.firstStart = i.isFirstStart(seeds)
	i.newcomer = i.node.Status().New && !i.firstStart
	hub.Handle(channelGroup, i.node.Receive)
	hub.Handle(channelGossip, i.handleGossip)
	hub.Handle(ChannelSuspects, i.handleSuspects)
	hub.Serve(channelDifferingSuspects, 1, i.serveDifferingSuspects)
	hub.Serve(channelPropose, maxConcurrentCalls, i.servePropose)
	hub.Serve(channelProposeAll, maxConcurrentCalls, i.serveProposeAll)
	hub.Serve(channelJoin, maxConcurrentCalls, i.serveJoin)
	hub.Serve(channelList, maxConcurrentCalls, i.serveList)
	hub.Serve(channelRead, maxConcurrentCalls, i.serveRead)
	hub.Serve(channelMemberReport, maxConcurrentCalls, i.serveReport)
	hub.Serve(ChannelReport, maxConcurrentCalls, i.serveOrForwardReport)
	hub.Serve(channelMemberDocument, maxConcurrentCalls, i.serveDocument)
	hub.Serve(ChannelDocument, maxConcurrentCalls, i.serveOrForwardDocument)
	hub.Serve(quota.ChannelReport, maxConcurrentCalls, i.serveOrForwardLimits)
	hub.Serve(channelMemberLimits, maxConcurrentCalls, i.serveLimits)
	return i, nil
}

// LinkOptions returns the options for links between core and entry instances. Ids are
// addresses, and the network between the instances is private. urgent lists further urgent
// channels.
func LinkOptions(self string, urgent ...string) link.Options {
	return link.Options{
		PlaintextID:    self,
		Address:        func(id string) (string, bool) { return id, true },
		UrgentChannels: append(urgent, channelGroup),
		MaxMessage:     maxMessageBytes,
		DialTimeout:    time.Second,
		// A bit more than two round trips between regions. TCP would resend a lost first packet
		// only after a second, for example when core instances come back a moment later than
		// entry instances after a power loss of all.
		ConnectTimeout: 400 * time.Millisecond,
		PingAfter:      700 * time.Millisecond,
		PingTimeout:    700 * time.Millisecond,
		// After a power loss all processes may start at the same moment: a peer that does not
		// listen yet is tried again soon.
		MaxBackoff: 200 * time.Millisecond,
		Rand:       rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// PeerHandler serves the links of other instances; mount it at link.DefaultPath.
func (i *Instance) PeerHandler() http.Handler { return i.hub.Handler() }

// MetricsHandler serves the metrics as text.
func (i *Instance) MetricsHandler() http.Handler { return i.metrics }

// coreState returns the state that the metrics show.
func (i *Instance) coreState() metrics.CoreState {
	now, s := time.Now(), i.node.Status()
	c := metrics.CoreState{
		IsLeader: s.Core.Role == replog.Leader, Term: int64(s.Core.Term), Applied: int64(s.Applied),
		Behind: int64(s.Core.Commit) - int64(s.Applied), Voters: int64(len(s.Core.Config.Voters)),
		Version: int64(i.accepted().Version), ListAge: -1, Entries: int64(len(i.store.Entries(now))),
		Cores: int64(len(i.store.Cores(now))), Syncs: int64(s.Counters.Syncs), SyncedEntries: int64(s.Counters.SyncedEntries),
	}
	c.CapacitiesInvalid = int64(i.store.InvalidCapacities())
	suspects := i.store.SuspectStats()
	c.Suspects, c.SuspectsReceived, c.SuspectsChanged = int64(suspects.Held), int64(suspects.Received), int64(suspects.Changed)
	c.Links, c.EntriesBehind = metrics.SumLinks(i.hub.Stats()), int64(i.lagging.count(now))
	if l := i.store.List(); !l.ReadAt.IsZero() {
		c.ListAge, c.Targets = now.Sub(l.ReadAt).Milliseconds(), int64(len(l.Targets))
	}
	if i.o.Lines != nil {
		dropped, leftOut := i.o.Lines.Missing()
		c.LinesDropped, c.LinesSkipped = int64(dropped), int64(leftOut)
	}
	return c
}

// Store returns the store of known instances and targets, which is kept in memory only.
func (i *Instance) Store() *feed.Store { return i.store }

// Start begins the background work.
func (i *Instance) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	i.cancel = cancel
	for _, run := range []func(context.Context){i.runJoining, i.runList, i.runGossip, i.runWakes, i.watchNode, i.acceptedFile.run, i.runSuspectsFile} {
		i.wg.Go(func() { run(ctx) })
	}
}

// Stop transfers leadership, ends the background work and closes the log.
func (i *Instance) Stop() error {
	i.transferLeadership()
	i.cancel()
	err := i.node.Stop()
	i.hub.Close()
	i.wg.Wait()
	return err
}

// transferLeadership transfers leadership to a voter that answers, so that the group need not
// wait for an election timeout without a leader.
func (i *Instance) transferLeadership() {
	s := i.node.Status().Core
	if s.Role != replog.Leader {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	for _, p := range s.Peers {
		if !p.Voter || !p.CaughtUp {
			continue
		}
		if err := i.node.TransferLeader(ctx, p.Member.ID); err != nil {
			i.log.Warn("leadership transfer failed", zap.String("to", p.Member.ID), zap.Error(err))
			continue
		}
		i.awaitSuccessor(ctx)
		return
	}
}

func (i *Instance) awaitSuccessor(ctx context.Context) {
	tick := time.NewTicker(heartbeatInterval / 4)
	defer tick.Stop()
	for i.node.Status().Core.Role == replog.Leader {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// Members returns the ids of the group's voters and learners.
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

// Leader returns the id of the leader that this instance hears from; empty if there is none.
func (i *Instance) Leader() string { return i.position().leader }

// Done returns a channel that is closed when the log has failed. The process should then end,
// so that it is restarted on its disk.
func (i *Instance) Done() <-chan struct{} { return i.node.Done() }

// watchNode logs changes of the leader and the failure of the log.
func (i *Instance) watchNode(ctx context.Context) {
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	var leader string
	for {
		select {
		case <-ctx.Done():
			return
		case <-i.node.Done():
			i.log.Error("replicated log ended", zap.Error(i.node.Status().Err))
			return
		case <-tick.C:
		}
		s := i.node.Status().Core
		if s.Leader.ID == leader {
			continue
		}
		leader = s.Leader.ID
		// Wakes the calls that wait for a leader.
		i.store.Wake()
		i.noLeaderLogged.Store(0)
		i.log.Info("leader", zap.String("leader", leader), zap.Uint64("term", s.Term),
			zap.Stringer("config", s.Config), zap.Uint64("applied", s.Applied))
	}
}

// onAccepted is called after each change of the accepted state.
func (i *Instance) onAccepted(s *newest.State) {
	i.log.Info("accepted", zap.Uint64("version", s.Version), zap.Uint64("index", s.Index),
		zap.Strings("evacuated", s.Zones()))
	i.documents.put(s)
	i.acceptedFile.save(s)
	i.store.Wake()
}

// accepted returns the newest state that is known to be accepted. The log's own state may be
// behind the one in the accepted file until a leader tells how far the log is committed.
func (i *Instance) accepted() *newest.State {
	s := i.machine.State()
	if i.startState != nil && i.startState.Index > s.Index {
		return i.startState
	}
	return s
}
