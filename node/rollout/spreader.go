package rollout

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/bundle"
	"github.com/gullhaven/gullhaven/bundle/spread"
	"github.com/gullhaven/gullhaven/coord/link"
	"github.com/gullhaven/gullhaven/coord/ring"
)

// Channel is the link channel on which bundles are spread.
const Channel = "spread"

// inboxSize bounds the messages that wait for the loop. Lost ones are made up for when
// instances compare versions.
const inboxSize = 1024

// Options of a Spreader.
type Options struct {
	Self spread.Peer
	Hub  *link.Hub
	Rand *rand.Rand
	Log  *zap.Logger
	// OnInstalled is called for each bundle that comes into force at this instance, in order,
	// on the loop's goroutine.
	OnInstalled func(*bundle.Signed, bundle.Identity)
}

type received struct {
	from string
	data []byte
}

// state is what other goroutines may read.
type state struct {
	head    bundle.Identity
	stats   spread.Stats
	regions []spread.RegionState
}

// Spreader runs a spread.Core over the link.
type Spreader struct {
	o        Options
	core     *spread.Core
	inbox    *ring.Ring[received]
	accepted atomic.Pointer[bundle.Signed]
	wake     chan struct{}
	peers    *ring.Ring[[]spread.Peer]
	state    atomic.Pointer[state]
}

// NewSpreader returns a Spreader and registers it at the link. Run must be called for it to
// work.
func NewSpreader(o Options) *Spreader {
	s := &Spreader{
		o:     o,
		core:  spread.New(o.Self, o.Rand),
		inbox: ring.New[received](inboxSize),
		peers: ring.New[[]spread.Peer](1),
		wake:  make(chan struct{}, 1),
	}
	s.state.Store(&state{})
	o.Hub.Handle(Channel, func(from string, data []byte) { s.inbox.TryPush(received{from, data}) })
	return s
}

// HandleAccepted takes a bundle from this instance's replicated log. It never blocks; if
// several wait, only the last one counts.
func (s *Spreader) HandleAccepted(b *bundle.Signed) {
	s.accepted.Store(b)
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// SetPeers replaces the view of other instances. It is dropped while another view waits; the
// host must call it every second.
func (s *Spreader) SetPeers(peers []spread.Peer) { s.peers.TryPush(peers) }

// Head returns the version in force at this instance; zero before the first.
func (s *Spreader) Head() bundle.Identity { return s.state.Load().head }

// Stats returns the counters.
func (s *Spreader) Stats() spread.Stats { return s.state.Load().stats }

// Regions returns the known versions in force in all regions; only relays and voters know them.
func (s *Spreader) Regions() []spread.RegionState { return s.state.Load().regions }

// Refused returns how many messages found the inbox full.
func (s *Spreader) Refused() uint64 { return s.inbox.Stats().Refused }

// Run runs the core until ctx ends.
func (s *Spreader) Run(ctx context.Context) {
	tick := time.NewTicker(spread.TickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.send(s.core.Tick(time.Now()))
		case <-s.wake:
			s.offer()
		case peers := <-s.peers.C():
			s.core.SetPeers(peers)
		case r := <-s.inbox.C():
			s.receive(r)
		}
		s.publish()
	}
}

func (s *Spreader) offer() {
	out, err := s.core.Offer(time.Now(), s.accepted.Load())
	if err != nil {
		s.o.Log.Error("accepted bundle can't be put in force", zap.Error(err))
		return
	}
	s.send(out)
}

func (s *Spreader) receive(r received) {
	m, err := spread.Decode(r.data)
	if err != nil {
		s.o.Log.Debug("malformed spread message", zap.String("from", r.from), zap.Error(err))
		return
	}
	s.send(s.core.Step(time.Now(), r.from, m))
}

func (s *Spreader) send(out []spread.Out) {
	for _, o := range out {
		data, err := spread.Encode(o.Message)
		if err == nil {
			s.o.Hub.Send(o.To, Channel, data)
		}
	}
}

// publish puts an installed bundle in force and publishes the state.
func (s *Spreader) publish() {
	if b := s.core.TakeInstalled(); b != nil {
		head := s.core.Head()
		s.o.Log.Info("bundle in force", zap.Uint64("version", head.Version), zap.String("digest", string(head.Digest)))
		s.o.OnInstalled(b, head)
	}
	s.state.Store(&state{head: s.core.Head(), stats: s.core.Stats(), regions: s.core.Regions(time.Now())})
}
