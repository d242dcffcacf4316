// Package members runs the failure detection of a region's instances over the
// link and publishes the view that others act on.
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

// Channel is the link channel; it belongs among the Urgent ones.
const Channel = "members"

// ringSize bounds the messages that wait for the loop. Probes are repeated, so
// a lost one costs time, not truth.
const ringSize = 1024

// viewInterval is the longest time between two views.
const viewInterval = time.Second

// Meta is what an instance tells of itself besides its place. It must encode
// to at most membership.MaxMeta bytes.
type Meta struct {
	// CallerAddress is IP:port of its interface for callers.
	CallerAddress string `cbor:"1,keyasint"`
	// StartMillis is when its process started, in Unix milliseconds: it names the
	// life of the instance, which stays the same over refutations.
	StartMillis uint64 `cbor:"2,keyasint"`
}

// Encode returns the form that DecodeMeta reads.
func (m Meta) Encode() ([]byte, error) { return cbor.Marshal(m) }

// DecodeMeta reads a member's Meta; a malformed one is the zero Meta.
func DecodeMeta(m membership.Member) Meta {
	var meta Meta
	_ = cbor.Unmarshal(m.Meta, &meta)
	return meta
}

// View is what this instance believes of its region.
type View struct {
	// Fresh is false after a freeze until others were heard again.
	Fresh   bool
	Members []membership.View
	// Relays speak for the region; ids may be empty.
	Relays [2]string
}

// IsRelay reports whether an instance is one of the relays.
func (v *View) IsRelay(id string) bool {
	return id != "" && (v.Relays[0] == id || v.Relays[1] == id)
}

// Find returns a member by id.
func (v *View) Find(id string) (membership.View, bool) {
	for _, m := range v.Members {
		if m.ID == id {
			return m, true
		}
	}
	return membership.View{}, false
}

// Alive returns the members that are alive or suspect, leaving ones left out.
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
	// OnEvent, if set, is told of each change, from the loop's goroutine.
	OnEvent func(membership.Event)
	// OnView, if set, is told of each new view, from the loop's goroutine.
	OnView func(*View)
}

type received struct {
	from string
	data []byte
}

// Service is the running failure detection.
type Service struct {
	o     Options
	group *membership.Group
	inbox *ring.Ring[received]
	leave chan chan struct{}
	hints *ring.Ring[[]membership.Hint]
	view  atomic.Pointer[View]
	// published is when the view was made.
	published time.Time
}

// New makes a Service and registers it at the link.
func New(o Options) (*Service, error) {
	group, err := membership.New(membership.DefaultConfig(), o.Self, o.Rand)
	if err != nil {
		return nil, err
	}
	s := &Service{
		o:     o,
		group: group,
		inbox: ring.New[received](ringSize),
		hints: ring.New[[]membership.Hint](1),
		leave: make(chan chan struct{}),
	}
	s.publish()
	o.Hub.Handle(Channel, func(from string, data []byte) { s.inbox.TryPush(received{from, data}) })
	return s, nil
}

// View returns the newest view; it must not be changed.
func (s *Service) View() *View { return s.view.Load() }

// Refused is how many messages found the inbox full.
func (s *Service) Refused() uint64 { return s.inbox.Stats().Refused }

// Hint passes on the platform's list of instances.
func (s *Service) Hint(list []membership.Hint) { s.hints.TryPush(list) }

// Leave tells the others that this instance leaves, while Run runs.
func (s *Service) Leave(ctx context.Context) {
	done := make(chan struct{})
	select {
	case s.leave <- done:
		<-done
	case <-ctx.Done():
	}
}

// Run steps the group until ctx ends.
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

// seedHints takes the seeds in as candidates, now and with each later list.
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

// publish makes a new view where something changed, and now and then in any
// case, as hints change members without an event.
func (s *Service) publish() {
	events := s.group.Events()
	old := s.view.Load()
	stale := time.Since(s.published) > viewInterval
	if old != nil && len(events) == 0 && old.Fresh == s.group.Fresh() && !stale {
		return
	}
	s.published = time.Now()
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
