// Package regions runs the exchange between regions over the link: which instances
// can be reached there, and how much work each region grants to its neighbours.
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

// Routing provides this region's summaries and receives those of others;
// *pipeline.Routing implements it.
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
	// OnChange, if set, is called when a neighbour becomes reachable or unreachable.
	OnChange func()
}

type receivedMessage struct {
	from string
	data []byte
}

// Service runs a roster.Table.
type Service struct {
	o     Options
	inbox *ring.Ring[receivedMessage]

	mu         sync.Mutex
	table      *roster.Table
	neighbours []string
	reachable  map[string]bool
}

// New returns a Service and registers its channel at the hub.
func New(o Options) *Service {
	s := &Service{
		o:         o,
		inbox:     ring.New[receivedMessage](ringSize),
		table:     roster.New(o.Self, o.Seeds),
		reachable: map[string]bool{},
	}
	o.Hub.Handle(Channel, func(from string, data []byte) { s.inbox.TryPush(receivedMessage{from, data}) })
	return s
}

// Refused returns the number of messages dropped as the inbox was full.
func (s *Service) Refused() uint64 { return s.inbox.Stats().Refused }

// SetOwn replaces the view of this instance's region.
func (s *Service) SetOwn(own roster.OwnRegion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.SetOwnRegion(own)
}

// SetNeighbours replaces the regions that receive this region's summary.
func (s *Service) SetNeighbours(ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.neighbours = ids
	s.table.SetNeighbours(ids)
}

// Reachable reports whether a message of a region was received recently.
func (s *Service) Reachable(region string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Reachable(time.Now(), region)
}

// Rosters returns the known instances of other regions.
func (s *Service) Rosters() []roster.Roster {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Rosters()
}

// Address returns the address of an instance of another region, false if unknown.
func (s *Service) Address(id string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Address(id)
}

// Run runs the exchange until ctx ends.
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
		s.o.Log.Error("cannot encode the region summary", zap.Error(err))
		return
	}
	s.mu.Lock()
	s.table.SetSummary(summary)
	out := s.table.Tick(time.Now())
	s.mu.Unlock()
	s.send(out)
	s.updateReachable()
}

func (s *Service) receive(r receivedMessage) {
	m, err := roster.Decode(r.data)
	if err != nil {
		s.o.Log.Debug("malformed message between regions", zap.String("from", r.from), zap.Error(err))
		return
	}
	s.mu.Lock()
	out := s.table.Step(time.Now(), r.from, m)
	summaries := s.table.Summaries()
	s.mu.Unlock()
	s.send(out)
	for _, f := range summaries {
		s.learn(f)
	}
	if len(summaries) > 0 {
		s.updateReachable()
	}
}

// learn passes a neighbour's summary to routing, with the time of receipt here, as the
// clocks of regions differ.
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

// updateReachable logs changes of the neighbours' reachability and calls OnChange.
func (s *Service) updateReachable() {
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
		s.o.Log.Info("neighbour reachability changed", zap.String("region", region), zap.Bool("reachable", reachable))
	}
	s.mu.Unlock()
	if changed && s.o.OnChange != nil {
		s.o.OnChange()
	}
}
