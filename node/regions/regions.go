// Package regions runs the exchange between regions over the link: who can be
// reached there, and how much work each grants to its neighbours.
package regions

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/coord/link"
	"github.com/gullhaven/gullhaven/coord/ring"
	"github.com/gullhaven/gullhaven/coord/roster"
	"github.com/gullhaven/gullhaven/route"
)

// Channel is the link channel of the exchange.
const Channel = "regions"

// ringSize bounds the messages that wait for the loop.
const ringSize = 256

// Routing is what the exchange reads from and writes to; *pipeline.Routing is one.
type Routing interface {
	Summarise() []route.RegionSummary
	RegionSummary(route.RegionSummary)
}

// Options of a Service.
type Options struct {
	Self    roster.Contact
	Seeds   []roster.Contact
	Hub     *link.Hub
	Routing Routing
	Log     *zap.Logger
	// OnChange is told when a neighbour becomes reachable or ceases to be.
	OnChange func()
}

type received struct {
	from string
	data []byte
}

// Service runs a roster.Table.
type Service struct {
	o     Options
	inbox *ring.Ring[received]

	mu         sync.Mutex
	table      *roster.Table
	neighbours []string
	reachable  map[string]bool
}

// New makes a Service and registers it at the link.
func New(o Options) *Service {
	s := &Service{
		o:         o,
		inbox:     ring.New[received](ringSize),
		table:     roster.New(o.Self, o.Seeds),
		reachable: map[string]bool{},
	}
	o.Hub.Handle(Channel, func(from string, data []byte) { s.inbox.TryPush(received{from, data}) })
	return s
}

// Refused is how many messages found the inbox full.
func (s *Service) Refused() uint64 { return s.inbox.Stats().Refused }

// SetOwn replaces the view of the own region.
func (s *Service) SetOwn(own roster.OwnRegion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.SetOwnRegion(own)
}

// SetNeighbours replaces the regions that are told the summary.
func (s *Service) SetNeighbours(ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.neighbours = ids
	s.table.SetNeighbours(ids)
}

// Reachable reports whether a region was heard lately.
func (s *Service) Reachable(region string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Reachable(time.Now(), region)
}

// Rosters returns what is known of other regions.
func (s *Service) Rosters() []roster.Roster {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Rosters()
}

// Address returns where an instance of another region listens.
func (s *Service) Address(id string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Address(id)
}

// Run steps the table until ctx ends.
func (s *Service) Run(ctx context.Context) {
	tick := time.NewTicker(roster.TickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.tick()
		case r := <-s.inbox.C():
			s.receive(r)
		}
	}
}

func (s *Service) tick() {
	summary, err := cbor.Marshal(s.o.Routing.Summarise())
	if err != nil {
		s.o.Log.Error("region summary can't be encoded", zap.Error(err))
		return
	}
	s.mu.Lock()
	s.table.SetSummary(summary)
	out := s.table.Tick(time.Now())
	s.mu.Unlock()
	s.send(out)
	s.noteReachable()
}

func (s *Service) receive(r received) {
	m, err := roster.Decode(r.data)
	if err != nil {
		s.o.Log.Debug("malformed message between regions", zap.String("from", r.from), zap.Error(err))
		return
	}
	s.mu.Lock()
	out := s.table.Step(time.Now(), r.from, m)
	fresh := s.table.Summaries()
	s.mu.Unlock()
	s.send(out)
	for _, f := range fresh {
		s.learn(f)
	}
	if len(fresh) > 0 {
		s.noteReachable()
	}
}

// learn hands a neighbour's summary to routing. The time is that of receipt
// here, as the clocks of regions differ.
func (s *Service) learn(f roster.Summary) {
	var list []route.RegionSummary
	if err := cbor.Unmarshal(f.Data, &list); err != nil {
		s.o.Log.Debug("malformed region summary", zap.String("region", f.Region), zap.Error(err))
		return
	}
	for _, summary := range list {
		summary.Region, summary.At = f.Region, f.At
		s.o.Routing.RegionSummary(summary)
	}
}

func (s *Service) send(out []roster.Out) {
	for _, o := range out {
		data, err := roster.Encode(o.Message)
		if err == nil {
			s.o.Hub.Send(o.To, Channel, data)
		}
	}
}

// noteReachable tells the host when a neighbour's state changed.
func (s *Service) noteReachable() {
	s.mu.Lock()
	changed := false
	now := time.Now()
	for _, region := range s.neighbours {
		reachable := s.table.Reachable(now, region)
		if s.reachable[region] == reachable {
			continue
		}
		s.reachable[region] = reachable
		changed = true
		s.o.Log.Info("neighbour changed state", zap.String("region", region), zap.Bool("reachable", reachable))
	}
	s.mu.Unlock()
	if changed && s.o.OnChange != nil {
		s.o.OnChange()
	}
}
