// Package members runs failure detection among a region's instances over the link, and
// publishes the resulting view.
package members

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/coord/link"
	"github.com/gullhaven/gullhaven/coord/membership"
	"github.com/gullhaven/gullhaven/coord/ring"
)

// Channel is the link channel; it belongs among the link's UrgentChannels.
const Channel = "members"

// inboxSize bounds the messages that wait for the loop. Probes are repeated, so that a lost one
// only costs time.
const inboxSize = 1024

// maxViewInterval is the longest time between two views.
const maxViewInterval = time.Second

// Meta is what an instance announces besides its region and zone. It must encode to at most
// membership.MaxMeta bytes.
type Meta struct {
	// CallerAddress is the IP:port of its interface for callers.
	CallerAddress string `cbor:"1,keyasint"`
	// StartMillis is when its process started, in Unix milliseconds. It identifies the process
	// and, unlike the member's incarnation, does not change with refutations.
	StartMillis uint64 `cbor:"2,keyasint"`
}

// Encode returns the encoding that DecodeMeta reads.
func (m Meta) Encode() ([]byte, error) { return cbor.Marshal(m) }

// DecodeMeta returns a member's Meta, the zero Meta if it is malformed.
func DecodeMeta(m membership.Member) Meta {
	var meta Meta
	_ = cbor.Unmarshal(m.Meta, &meta)
	return meta
}

// View is this instance's view of its region.
type View struct {
	// Fresh is false after a freeze until other members are heard from again.
	Fresh   bool
	Members []membership.View
	// Relays are the ids of the instances that speak for the region; each may be empty.
	Relays [2]string
}

// IsRelay reports whether an instance is one of the relays.
func (v *View) IsRelay(id string) bool {
	return id != "" && (v.Relays[0] == id || v.Relays[1] == id)
}

// Find returns the member with an id; false if there is none.
func (v *View) Find(id string) (membership.View, bool) {
	for _, m := range v.Members {
		if m.ID == id {
			return m, true
		}
	}
	return membership.View{}, false
}

// Alive returns the members that are alive or suspect, without leaving ones.
func (v *View) Alive() []membership.View {
	var alive []membership.View
	for _, m := range v.Members {
		if (m.State == membership.Alive || m.State == membership.Suspect) && !m.Leaving {
			alive = append(alive, m)
		}
	}
	return alive
}

// Options of a Service.
type Options struct {
	Self membership.Member
	// Seeds are ids to probe until they answer.
	Seeds []string
	Hub   *link.Hub
	Rand  *rand.Rand
	Log   *zap.Logger
	// OnEvent, if set, is called for each change, on the loop's goroutine.
	OnEvent func(membership.Event)
	// OnView, if set, is called for each new view, on the loop's goroutine.
	OnView func(*View)
}

type received struct {
	from string
	data []byte
}

// Service runs the failure detection.
type Service struct {
	o     Options
	group *membership.Group
	inbox *ring.Ring[received]
	leave chan chan struct{}
	hints *ring.Ring[[]membership.Hint]
	view  atomic.Pointer[View]
	// publishedAt is when the current view was made.
	publishedAt time.Time
}

// New returns a Service and registers it at the link. Run must be called for it to work.
func New(o Options) (*Service, error) {
	group, err := membership.New(membership.DefaultConfig(), o.Self, o.Rand)
	if err != nil {
		return nil, err
	}
	s := &Service{
		o:     o,
		group: group,
		inbox: ring.New[received](inboxSize),
		hints: ring.New[[]membership.Hint](1),
		leave: make(chan chan struct{}),
	}
	s.publish()
	o.Hub.Handle(Channel, func(from string, data []byte) { s.inbox.TryPush(received{from, data}) })
	return s, nil
}

// View returns the newest view, which callers must not change.
func (s *Service) View() *View { return s.view.Load() }

// Refused returns how many messages found the inbox full.
func (s *Service) Refused() uint64 { return s.inbox.Stats().Refused }

// Hint passes on the platform's list of instances. It is dropped while another list waits.
func (s *Service) Hint(list []membership.Hint) { s.hints.TryPush(list) }

// Leave announces to the other members that this instance leaves. Run must be running;
// otherwise Leave waits until ctx ends.
func (s *Service) Leave(ctx context.Context) {
	done := make(chan struct{})
	select {
	case s.leave <- done:
		<-done
	case <-ctx.Done():
	}
}

// Run runs the failure detection until ctx ends.
func (s *Service) Run(ctx context.Context) {
	tick := time.NewTicker(membership.DefaultConfig().TickInterval)
	defer tick.Stop()
	seeds := s.seedHints()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.send(s.group.Tick(time.Now()))
		case r := <-s.inbox.C():
			s.receive(r)
		case list := <-s.hints.C():
			s.group.Hint(time.Now(), append(list, seeds...))
		case done := <-s.leave:
			s.send(s.group.Leave(time.Now()))
			close(done)
		}
		s.publish()
	}
}

// seedHints makes the seeds candidates, and returns them so that each later list can include
// them.
func (s *Service) seedHints() []membership.Hint {
	var hints []membership.Hint
	for _, id := range s.o.Seeds {
		hints = append(hints, membership.Hint{ID: id})
	}
	s.group.Hint(time.Now(), hints)
	return hints
}

func (s *Service) receive(r received) {
	m, err := membership.Decode(r.data)
	if err != nil {
		s.o.Log.Debug("malformed membership message", zap.String("from", r.from), zap.Error(err))
		return
	}
	s.send(s.group.Step(time.Now(), r.from, m))
}

func (s *Service) send(out []membership.Out) {
	for _, o := range out {
		data, err := membership.Encode(o.Message)
		if err == nil {
			s.o.Hub.Send(o.To, Channel, data)
		}
	}
}

// publish makes a new view if something has changed, and after maxViewInterval in any case, as
// hints change members without an event.
func (s *Service) publish() {
	events := s.group.Events()
	old := s.view.Load()
	stale := time.Since(s.publishedAt) > maxViewInterval
	if old != nil && len(events) == 0 && old.Fresh == s.group.Fresh() && !stale {
		return
	}
	s.publishedAt = time.Now()
	members := s.group.Members()
	v := &View{
		Fresh:   s.group.Fresh(),
		Members: members,
		Relays:  membership.Relays(s.o.Self.Region, members),
	}
	s.view.Store(v)
	for _, e := range events {
		s.o.Log.Info("member changed state", zap.String("member", e.Member.ID), zap.Stringer("state", e.State))
		if s.o.OnEvent != nil {
			s.o.OnEvent(e)
		}
	}
	if s.o.OnView != nil {
		s.o.OnView(v)
	}
}
