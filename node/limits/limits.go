// Package limits keeps this instance's shares of the workspaces' limits.
//
// Workspaces are hashed into parts, each of which is owned by one of the live
// instances of the region, which divides the limits in it. Every instance, the
// owner too, spends leased shares and reports its demand every two seconds
// (package coord/limit).
//
// # The bound while owners change
//
// An owner grants no more than the limit, over all that report to it
// (coord/limit). An instance asks only the owner in its own view. A new owner
// grants nothing for a Lease, so where the last one has ended, or all views are
// alike by then, its shares have ended. Three cases are worse:
//
//   - In that Lease some instances still spend the last owner's shares, and
//     others, whose shares ended, are on their floors: together at most twice
//     the limit, for at most a Lease.
//   - While views differ for more than a Lease, two owners grant: together at
//     most twice the limit (each never more than once), until the views are alike
//     and for a Lease after. Where both have all instances in their views, each
//     sets the floors of those aside that it does not hear, so that with k of n
//     instances asking the one, it grants k/n in the long run, the other the rest.
//   - Two halves of a region that hold each other for dead have an owner each
//     for good: twice the limit, until they meet.
package limits

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/coord/limit"
	"github.com/gullhaven/gullhaven/pipeline"
	"github.com/gullhaven/gullhaven/ports"
)

// Channel is the link channel of reports.
const Channel = "limits"

const (
	// ReportInterval is the time between two reports.
	ReportInterval = 2 * time.Second
	// Lease of shares: three missed reports.
	Lease = 8 * time.Second
	// callTimeout bounds the wait for shares.
	callTimeout = 1500 * time.Millisecond
	// servers is how many reports an owner takes in at once.
	servers = 4
	// burst is how much of a limit may be spent at once, in seconds of its rate.
	burst = 2.0
)

// errLife answers a report of a life that this instance does not know (yet).
var errLife = errors.New("unknown life of an instance")

// Hub carries reports; *link.Hub is one.
type Hub interface {
	Call(ctx context.Context, to, channel string, payload []byte) ([]byte, error)
	Serve(name string, workers int, fn func(ctx context.Context, from string, payload []byte) ([]byte, error))
}

// Options of a Service.
type Options struct {
	Self string
	// Life names this start of the instance, so that shares of an earlier one
	// stay counted until their leases end.
	Life func(id string) string
	Hub  Hub
	// View is the bundle in force; nil before the first.
	View func() *pipeline.View
	Log  *zap.Logger
}

// Service runs a Book: one loop, and one goroutine for each report under way.
type Service struct {
	o Options

	mu   sync.Mutex
	book *Book
}

// New makes a Service and registers it at the link.
func New(o Options) *Service {
	s := &Service{o: o}
	s.book = NewBook(o.Self, s.lookup)
	o.Hub.Serve(Channel, servers, s.serve)
	return s
}

// lookup is the region's part of a workspace's limit.
func (s *Service) lookup(id limit.ID) (limit.Limit, bool) {
	v := s.o.View()
	if v == nil {
		return limit.Limit{}, false
	}
	w := v.WorkspaceByID(id.Workspace)
	if w == nil {
		return limit.Limit{}, false
	}
	rate := w.Limits.RequestsPerSecond
	if id.Resource == limit.Tokens {
		rate = w.Limits.TokensPerSecond
	}
	if rate <= 0 {
		return limit.Limit{}, false
	}
	whole := limit.Limit{Rate: rate, Burst: rate * burst}
	return limit.RegionLimit(whole, w.Home == v.Region, len(v.Bundle.Regions)), true
}

// SetMembers tells the live instances of the region.
func (s *Service) SetMembers(members []string) {
	lives := make([]string, 0, len(members))
	for _, m := range members {
		lives = append(lives, s.o.Life(m))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.SetMembers(time.Now(), members, lives)
}

// Take spends a request or tokens of a workspace's share.
func (s *Service) Take(now time.Time, workspace string, requests, tokens float64) ports.LimitAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.Take(now, workspace, requests, tokens)
}

// Len is the number of limits in use here.
func (s *Service) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.Len()
}

// Run reports until ctx ends.
func (s *Service) Run(ctx context.Context) {
	report := time.NewTicker(ReportInterval)
	defer report.Stop()
	sweep := time.NewTicker(Lease)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-sweep.C:
			s.sweep()
		case <-report.C:
			s.report(ctx)
		}
	}
}

func (s *Service) sweep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.Sweep(time.Now())
}

// report asks all owners at once and waits for them, so that one that is cut off
// delays none of the others.
func (s *Service) report(ctx context.Context) {
	life := s.o.Life(s.o.Self)
	s.mu.Lock()
	reports := s.book.Reports(time.Now(), life)
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, r := range reports {
		calls.Go(func() { s.ask(ctx, r) })
	}
	calls.Wait()
}

func (s *Service) ask(ctx context.Context, r Addressed) {
	answer, err := s.call(ctx, r)
	if err != nil {
		s.o.Log.Debug("no shares of limits", zap.String("owner", r.Owner), zap.Error(err))
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.Granted(time.Now(), answer)
}

func (s *Service) call(ctx context.Context, r Addressed) (Answer, error) {
	if r.Owner == s.o.Self {
		return s.answer(s.o.Self, r.Report)
	}
	data, err := cbor.Marshal(r.Report)
	if err != nil {
		return Answer{}, err
	}
	reply, err := s.o.Hub.Call(ctx, r.Owner, Channel, data)
	if err != nil {
		return Answer{}, err
	}
	var a Answer
	err = cbor.Unmarshal(reply, &a)
	return a, err
}

func (s *Service) answer(from string, r Report) (Answer, error) {
	life := s.o.Life(from)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.Answer(time.Now(), life, r)
}

func (s *Service) serve(_ context.Context, from string, data []byte) ([]byte, error) {
	var r Report
	if err := cbor.Unmarshal(data, &r); err != nil {
		return nil, err
	}
	a, err := s.answer(from, r)
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(a)
}
