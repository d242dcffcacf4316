// Package deciding lets the group owner, one entry instance of the region, choose the target
// for requests of all the region's entry instances. Package pick defines groups and owners.
//
// An instance sends the owner the input of a choice and receives a target. It reports when the
// target has begun to answer and when the request has ended. If the response does not arrive in
// time, the instance chooses by its own state, so an owner that is dead, frozen or cut off
// costs each instance a timeout about once per avoidDuration.
package deciding

import (
	"context"
	"fmt"
	"slices"
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
	channelDecide = "decide"
	channelUpdate = "decided"
	// decideWorkers is the number of concurrent targetRequests that an owner serves.
	decideWorkers = 64
	// decideTimeout bounds a call to the owner: a round trip inside a region takes 3 ms, and
	// a busy instance adds a few.
	decideTimeout = 30 * time.Millisecond
	// avoidDuration is how long an owner that did not answer is not called.
	avoidDuration = 500 * time.Millisecond
	// sweepInterval is the time between two sweeps of expired tickets.
	sweepInterval = time.Second
)

// Channels returns the link channels whose messages are urgent.
func Channels() []string { return []string{channelDecide, channelUpdate} }

// targetRequest asks the group owner for a target.
type targetRequest struct {
	Ticket        string    `cbor:"1,keyasint"`
	Call          pick.Call `cbor:"2,keyasint"`
	TimeoutMillis int64     `cbor:"3,keyasint"`
	// Known are the limits of the service's targets that the requesting instance knows.
	Known []pick.KnownLimit `cbor:"4,keyasint,omitempty"`
	// Leaving are the service's targets that have said that they are leaving, as far as the
	// requesting instance knows.
	Leaving []pick.KnownLeaving `cbor:"5,keyasint,omitempty"`
	// Admission asks for a decision on the request's admission; nil if the requesting instance wants
	// none, or is of a build that knows none.
	Admission *exchange.AdmissionRequest `cbor:"6,keyasint,omitempty"`
}

// targetResponse answers a targetRequest. Target is empty if no target may receive the request.
type targetResponse struct {
	Target    string  `cbor:"1,keyasint,omitempty"`
	Source    string  `cbor:"2,keyasint,omitempty"`
	Cost      float64 `cbor:"3,keyasint,omitempty"`
	QueueWait float64 `cbor:"4,keyasint,omitempty"`
	Wait      float64 `cbor:"5,keyasint,omitempty"`
	Tokens    float64 `cbor:"6,keyasint,omitempty"`
	// Limit is the latest limit that the target reported.
	Limit *pick.TargetLimit `cbor:"7,keyasint,omitempty"`
	// Known are the limits that the owner knows, set if there is no target: the requesting
	// instance must not send a request that the owner withheld.
	Known []pick.KnownLimit `cbor:"8,keyasint,omitempty"`
	// Leaving are those that the owner knows, set if there is no target.
	Leaving []pick.KnownLeaving `cbor:"9,keyasint,omitempty"`
	// Admission is the decision on the request's admission; nil if the owner decides on none. The owner
	// does not keep the place of a request that it refuses.
	Admission *exchange.AdmissionDecision `cbor:"10,keyasint,omitempty"`
}

// update reports on a ticket: its target reported a changed limit (Limit) or that it is leaving
// (Leaving), the request has ended (Ended), or, with none set, the target has begun to answer.
type update struct {
	Ticket  string            `cbor:"1,keyasint"`
	Ended   bool              `cbor:"2,keyasint,omitempty"`
	Result  pick.Result       `cbor:"3,keyasint,omitempty"`
	Limit   *pick.TargetLimit `cbor:"4,keyasint,omitempty"`
	Leaving bool              `cbor:"5,keyasint,omitempty"`
	// Withdrawn is the content key of a request that was refused with a promise and is served elsewhere,
	// as a rule in another region; 0 for none. It holds even if the ticket is not known any more.
	Withdrawn uint64 `cbor:"6,keyasint,omitempty"`
}

// Service calls group owners, and serves the calls of other instances as an owner.
type Service struct {
	self string
	hub  *link.Hub
	pool *pick.Pool
	log  *zap.Logger
	// admission is nil if this instance decides on no admissions.
	admission *Admission

	// nextTicket numbers the tickets of this instance.
	nextTicket atomic.Uint64

	mu         sync.Mutex
	tickets    map[string]assignment
	avoidUntil map[string]time.Time
}

// assignment is a request that was given a target and has not ended, or was refused. It expires at until.
type assignment struct {
	// choice is nil if the request was refused, and admission if nothing was decided on it.
	choice    *pick.Choice
	admission *ticket
	until     time.Time
}

// done removes the request from the target's load and records its result.
func (a *assignment) done(now time.Time, r pick.Result) {
	if a.choice != nil {
		a.choice.Done(now, r)
	}
	if a.admission != nil {
		a.admission.End(now, r)
	}
}

// refusedTicketTime is how long the ticket of a refused request is kept: the instance that asked reports
// at once if the request goes to another region instead.
const refusedTicketTime = time.Second

// New returns a Service that decides on no admissions and registers its channels at the hub. self is this
// instance's ID.
func New(self string, hub *link.Hub, pool *pick.Pool, log *zap.Logger) *Service {
	return NewWithAdmission(self, hub, pool, log, nil)
}

// NewWithAdmission is New for a Service that, as group owner, decides on the admission of the requests
// whose instances ask for it. admission may be nil.
func NewWithAdmission(self string, hub *link.Hub, pool *pick.Pool, log *zap.Logger, admission *Admission) *Service {
	s := &Service{self: self, hub: hub, pool: pool, log: log, admission: admission, tickets: map[string]assignment{}, avoidUntil: map[string]time.Time{}}
	hub.Serve(channelDecide, decideWorkers, s.serveDecide)
	hub.Handle(channelUpdate, s.handleUpdate)
	return s
}

// Run expires tickets whose end was not reported by the request's deadline, and drops idle shares, until
// ctx ends.
func (s *Service) Run(ctx context.Context) { duty.Every(ctx, sweepInterval, s.sweep) }

func (s *Service) sweep(now time.Time) {
	if s.admission != nil {
		s.admission.sweep(now)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for ticket, a := range s.tickets {
		if now.After(a.until) {
			delete(s.tickets, ticket)
			// The work of such a request stays counted: a target may have run it.
			if a.choice != nil {
				a.choice.Done(now, pick.Neutral)
			}
		}
	}
}

// Choose implements exchange.GroupOwner. It returns false if this instance owns the group, if the
// owner has not answered in time, now or within avoidDuration, or if the owner has no target.
func (s *Service) Choose(ctx context.Context, c pick.Call, id string, timeout time.Duration, a *exchange.AdmissionRequest) (exchange.Decision, bool) {
	owner := s.pool.Owner(c)
	if owner == s.self || s.avoided(owner) {
		return exchange.Decision{}, false
	}
	// The number keeps a late message of one attempt from matching the ticket of another.
	ticket := fmt.Sprint(s.self, " ", id, " ", s.nextTicket.Add(1))
	now := time.Now()
	c.Tried = slices.Concat(c.Tried, s.pool.Resting(now, c.Service))
	payload, err := cbor.Marshal(targetRequest{
		Ticket: ticket, Call: c, TimeoutMillis: timeout.Milliseconds(),
		Known: s.pool.KnownLimits(now, c.Service), Leaving: s.pool.KnownLeaving(c.Service), Admission: a,
	})
	if err != nil {
		s.log.Error("cannot encode the request for a target", zap.Error(err))
		return exchange.Decision{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, decideTimeout)
	defer cancel()
	reply, err := s.hub.Call(ctx, owner, channelDecide, payload)
	var d targetResponse
	if err == nil {
		err = cbor.Unmarshal(reply, &d)
	}
	if err != nil {
		s.startAvoiding(owner)
		// The owner may have counted the request.
		s.sendUpdate(owner, update{Ticket: ticket, Ended: true, Result: pick.Neutral})
		return exchange.Decision{}, false
	}
	s.pool.LearnLimits(time.Now(), d.Known)
	s.pool.LearnLeaving(d.Leaving)
	out := exchange.Decision{
		Target: d.Target, Source: d.Source, Cost: d.Cost, Wait: d.Wait, QueueWait: d.QueueWait, Tokens: d.Tokens, Ticket: ticket, Owner: owner,
		Admission: d.Admission,
	}
	if a != nil {
		out.ContentKey = a.ContentKey
	}
	if d.Limit != nil {
		out.Limit = *d.Limit
	}
	return out, d.Target != ""
}

// ReportLimit implements exchange.GroupOwner.
func (s *Service) ReportLimit(d exchange.Decision, n pick.TargetLimit) {
	s.sendUpdate(d.Owner, update{Ticket: d.Ticket, Limit: &n})
}

// ReportLeaving implements exchange.GroupOwner.
func (s *Service) ReportLeaving(d exchange.Decision) {
	s.sendUpdate(d.Owner, update{Ticket: d.Ticket, Leaving: true})
}

// ReportFirstEvent implements exchange.GroupOwner.
func (s *Service) ReportFirstEvent(d exchange.Decision) {
	s.sendUpdate(d.Owner, update{Ticket: d.Ticket})
}

// ReportEnd implements exchange.GroupOwner.
func (s *Service) ReportEnd(d exchange.Decision, r pick.Result) {
	u := update{Ticket: d.Ticket, Ended: true, Result: r}
	if d.Admission != nil && d.Admission.Refused && d.Admission.Promised {
		u.Withdrawn = d.ContentKey
	}
	s.sendUpdate(d.Owner, u)
}

func (s *Service) sendUpdate(owner string, u update) {
	payload, err := cbor.Marshal(u)
	if err != nil {
		s.log.Error("cannot encode the update of a request", zap.Error(err))
		return
	}
	// If the message is lost, the owner's sweep expires the ticket.
	s.hub.Send(owner, channelUpdate, payload)
}

func (s *Service) avoided(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.avoidUntil[id])
}

func (s *Service) startAvoiding(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.avoidUntil[id] = time.Now().Add(avoidDuration)
}

func (s *Service) serveDecide(_ context.Context, from string, payload []byte) ([]byte, error) {
	var r targetRequest
	if err := cbor.Unmarshal(payload, &r); err != nil {
		return nil, err
	}
	now := time.Now()
	s.pool.LearnLimits(now, r.Known)
	s.pool.LearnLeaving(r.Leaving)
	choice, _ := s.pool.Pick(now, r.Call)
	if choice == nil {
		return cbor.Marshal(targetResponse{Known: s.pool.KnownLimits(now, r.Call.Service), Leaving: s.pool.KnownLeaving(r.Call.Service)})
	}
	if choice.Cold {
		s.log.Info("cold target chosen", zap.String("target", choice.ID), zap.Int("entries", choice.EntryInstances), zap.String("asker", from))
	}
	a := assignment{choice: choice, until: now.Add(milliseconds(r.TimeoutMillis))}
	d := targetResponse{Target: choice.ID, Source: choice.Source, Cost: choice.Cost, QueueWait: choice.QueueWait, Wait: choice.Wait, Tokens: choice.Tokens}
	if choice.Limit.Limited {
		d.Limit = &choice.Limit
	}
	if s.admission != nil && r.Admission != nil {
		decision, ticket := s.admission.decide(now, choice, *r.Admission)
		d.Admission, a.admission = &decision, ticket
		if decision.Refused {
			choice.Done(now, pick.Neutral)
			a.choice, a.until = nil, now.Add(refusedTicketTime)
		}
	}
	s.mu.Lock()
	s.tickets[r.Ticket] = a
	s.mu.Unlock()
	return cbor.Marshal(d)
}

func (s *Service) handleUpdate(from string, payload []byte) {
	var u update
	if err := cbor.Unmarshal(payload, &u); err != nil {
		s.log.Warn("news of a request cannot be read", zap.String("from", from), zap.Error(err))
		return
	}
	if u.Withdrawn != 0 && s.admission != nil {
		s.admission.withdraw(time.Now(), u.Withdrawn)
	}
	s.mu.Lock()
	a, ok := s.tickets[u.Ticket]
	if ok && u.Ended {
		delete(s.tickets, u.Ticket)
	}
	s.mu.Unlock()
	switch {
	case !ok:
	case u.Ended:
		a.done(time.Now(), u.Result)
	case a.choice == nil:
		// A refused request has no target to report on.
	case u.Limit != nil:
		a.choice.LearnLimit(time.Now(), *u.Limit)
	case u.Leaving:
		a.choice.Leaving()
	default:
		a.choice.FirstEvent(time.Now())
		if a.admission != nil {
			a.admission.FirstEvent()
		}
	}
}
