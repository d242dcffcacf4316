// Package deciding has the entry instance that decides for a group of targets choose
// among them for all entry instances of its region: see package pick on groups.
//
// An instance asks with what a choice rests on and gets a target; it tells when the
// target has begun to answer and when it has ended. An answer that does not come in
// time is done without, and the instance decides by what it knows itself; so a decider
// that is dead, frozen or cut off costs each instance one wait now and then.
package deciding

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/coord/link"
	"github.com/gullhaven/gullhaven/node/duty"
	"github.com/gullhaven/gullhaven/pipeline/exchange"
	"github.com/gullhaven/gullhaven/route/pick"
)

const (
	channelAsk  = "decide"
	channelTell = "decided"
	// askWorkers bounds the questions that are answered at once.
	askWorkers = 64
	// askTime bounds a question: a round trip inside a region takes 3 ms, and a busy
	// instance a few more.
	askTime = 30 * time.Millisecond
	// avoidFor is how long a decider that did not answer is not asked.
	avoidFor = 500 * time.Millisecond
	// sweepInterval is the time between two looks for tickets whose time is over.
	sweepInterval = time.Second
)

// Channels lists the link channels whose messages are urgent.
func Channels() []string { return []string{channelAsk, channelTell} }

// question asks for a target.
type question struct {
	Ticket     string    `cbor:"1,keyasint"`
	Call       pick.Call `cbor:"2,keyasint"`
	LeftMillis int64     `cbor:"3,keyasint"`
	// Known are the limits of the service's targets that the asker knows of.
	Known []pick.KnownLimit `cbor:"4,keyasint,omitempty"`
}

// decision answers a question; Target is empty where none may get the request.
type decision struct {
	Target string  `cbor:"1,keyasint,omitempty"`
	Source string  `cbor:"2,keyasint,omitempty"`
	Cost   float64 `cbor:"3,keyasint,omitempty"`
	Front  float64 `cbor:"4,keyasint,omitempty"`
	Wait   float64 `cbor:"5,keyasint,omitempty"`
	Tokens float64 `cbor:"6,keyasint,omitempty"`
	// Limit is what the target named last.
	Limit *pick.TargetLimit `cbor:"7,keyasint,omitempty"`
	// Known are the limits known here, where there is no target: the asker must not send what
	// was withheld.
	Known []pick.KnownLimit `cbor:"8,keyasint,omitempty"`
}

// news tells of a ticket: its target names another limit than was known, has begun to answer, or
// has ended.
type news struct {
	Ticket string            `cbor:"1,keyasint"`
	Ended  bool              `cbor:"2,keyasint,omitempty"`
	Result pick.Result       `cbor:"3,keyasint,omitempty"`
	Named  *pick.TargetLimit `cbor:"4,keyasint,omitempty"`
}

// Service asks deciders, and answers as one.
type Service struct {
	self string
	hub  *link.Hub
	pool *pick.Pool
	log  *zap.Logger

	// asked numbers the tickets of this instance.
	asked atomic.Uint64

	mu      sync.Mutex
	tickets map[string]held
	avoid   map[string]time.Time
}

// held is a decided request that has not ended.
type held struct {
	choice *pick.Choice
	until  time.Time
}

// New makes a service that answers on the hub.
func New(self string, hub *link.Hub, pool *pick.Pool, log *zap.Logger) *Service {
	s := &Service{self: self, hub: hub, pool: pool, log: log, tickets: map[string]held{}, avoid: map[string]time.Time{}}
	hub.Serve(channelAsk, askWorkers, s.serveAsk)
	hub.Handle(channelTell, s.told)
	return s
}

// Run lets go of tickets whose askers never told their end.
func (s *Service) Run(ctx context.Context) { duty.Every(ctx, sweepInterval, s.sweep) }

func (s *Service) sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for ticket, h := range s.tickets {
		if now.After(h.until) {
			delete(s.tickets, ticket)
			h.choice.Done(now, pick.Neutral)
		}
	}
}

// Choose implements exchange.GroupOwner.
func (s *Service) Choose(ctx context.Context, c pick.Call, id string, left time.Duration) (exchange.Decision, bool) {
	decider := s.pool.Owner(c)
	if decider == s.self || s.avoided(decider) {
		return exchange.Decision{}, false
	}
	// The number keeps a late message of one attempt from another one's ticket.
	ticket := fmt.Sprint(s.self, " ", id, " ", s.asked.Add(1))
	payload, err := cbor.Marshal(question{Ticket: ticket, Call: c, LeftMillis: left.Milliseconds(), Known: s.pool.KnownLimits(time.Now(), c.Service)})
	if err != nil {
		s.log.Error("a question for a target cannot be written", zap.Error(err))
		return exchange.Decision{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	answer, err := s.hub.Call(ctx, decider, channelAsk, payload)
	var d decision
	if err == nil {
		err = cbor.Unmarshal(answer, &d)
	}
	if err != nil {
		s.avoidNow(decider)
		// It may have counted the request.
		s.tell(decider, news{Ticket: ticket, Ended: true, Result: pick.Neutral})
		return exchange.Decision{}, false
	}
	s.pool.LearnLimits(time.Now(), d.Known)
	out := exchange.Decision{
		Target: d.Target, Source: d.Source, Cost: d.Cost, Wait: d.Wait, QueueWait: d.Front, Tokens: d.Tokens, Ticket: ticket, Owner: decider,
	}
	if d.Limit != nil {
		out.Limit = *d.Limit
	}
	return out, d.Target != ""
}

// ReportLimit implements exchange.GroupOwner.
func (s *Service) ReportLimit(d exchange.Decision, n pick.TargetLimit) {
	s.tell(d.Owner, news{Ticket: d.Ticket, Named: &n})
}

// ReportFirstEvent implements exchange.GroupOwner.
func (s *Service) ReportFirstEvent(d exchange.Decision) { s.tell(d.Owner, news{Ticket: d.Ticket}) }

// ReportEnd implements exchange.GroupOwner.
func (s *Service) ReportEnd(d exchange.Decision, r pick.Result) {
	s.tell(d.Owner, news{Ticket: d.Ticket, Ended: true, Result: r})
}

func (s *Service) tell(decider string, n news) {
	payload, err := cbor.Marshal(n)
	if err != nil {
		s.log.Error("news of a request cannot be written", zap.Error(err))
		return
	}
	// A lost message is mended by the sweep.
	s.hub.Send(decider, channelTell, payload)
}

func (s *Service) avoided(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.avoid[id])
}

func (s *Service) avoidNow(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.avoid[id] = time.Now().Add(avoidFor)
}

func (s *Service) serveAsk(_ context.Context, from string, payload []byte) ([]byte, error) {
	var q question
	if err := cbor.Unmarshal(payload, &q); err != nil {
		return nil, err
	}
	now := time.Now()
	s.pool.LearnLimits(now, q.Known)
	choice, _ := s.pool.Pick(now, q.Call)
	if choice == nil {
		return cbor.Marshal(decision{Known: s.pool.KnownLimits(now, q.Call.Service)})
	}
	if choice.Cold {
		s.log.Info("cold target chosen", zap.String("target", choice.ID), zap.Int("entries", choice.Entries), zap.String("asker", from))
	}
	s.mu.Lock()
	s.tickets[q.Ticket] = held{choice: choice, until: now.Add(time.Duration(q.LeftMillis) * time.Millisecond)}
	s.mu.Unlock()
	d := decision{Target: choice.ID, Source: choice.Source, Cost: choice.Cost, Front: choice.QueueWait, Wait: choice.Wait, Tokens: choice.Tokens}
	if choice.Limit.Limited {
		d.Limit = &choice.Limit
	}
	return cbor.Marshal(d)
}

func (s *Service) told(from string, payload []byte) {
	var n news
	if err := cbor.Unmarshal(payload, &n); err != nil {
		s.log.Warn("news of a request cannot be read", zap.String("from", from), zap.Error(err))
		return
	}
	s.mu.Lock()
	h, ok := s.tickets[n.Ticket]
	if ok && n.Ended {
		delete(s.tickets, n.Ticket)
	}
	s.mu.Unlock()
	switch {
	case !ok:
	case n.Named != nil:
		h.choice.LearnLimit(time.Now(), *n.Named)
	case n.Ended:
		h.choice.Done(time.Now(), n.Result)
	default:
		h.choice.FirstEvent(time.Now())
	}
}
