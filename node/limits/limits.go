// Package limits keeps this instance's shares of the workspaces' limits.
//
// Workspaces are hashed into partitions. Each partition is owned by one of the
// live instances of the region, which divides the limits in it. Every instance,
// including the owner, consumes leased shares and reports its demand every two
// seconds (package coord/limit).
//
// # The bound while owners change
//
// An owner grants no more than the limit to all instances that report to it
// (coord/limit). An instance reports only to the owner in its own view. A new
// owner grants nothing for a Lease. The shares of the previous owner have ended
// by then if it has ended, or if all views agree by then. Three cases are worse:
//
//   - During that Lease some instances still consume the previous owner's
//     shares, and others, whose shares ended, use their floors: together at most
//     twice the limit, for at most a Lease.
//   - While views differ for more than a Lease, two owners grant: together at
//     most twice the limit (each at most the limit), until a Lease after the
//     views agree. If both have all instances in their views, each reserves the
//     floors of those that don't report to it, so that with k of n instances
//     reporting to one owner, it grants k/n in the long run, the other the rest.
//   - Two halves of a region that each consider the other dead have an owner
//     each: twice the limit, until they reach each other again.
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
	// Lease is how long a share is valid; it covers three missed reports.
	Lease = 8 * time.Second
	// callTimeout bounds the wait for the answer to a report.
	callTimeout = 1500 * time.Millisecond
	// reportWorkers is the number of reports that an owner handles concurrently.
	reportWorkers = 4
	// burstSeconds is the burst of a limit, in seconds of its rate.
	burstSeconds = 2.0
)

// errUnknownIncarnation answers a report of an incarnation that this instance doesn't know (yet).
var errUnknownIncarnation = errors.New("unknown life of an instance")

// Hub carries reports; *link.Hub is one.
type Hub interface {
	Call(ctx context.Context, to, channel string, payload []byte) ([]byte, error)
	Serve(name string, workers int, fn func(ctx context.Context, from string, payload []byte) ([]byte, error))
}

// Options of a Service.
type Options struct {
	Self string
	// Life returns the incarnation of an instance, so that shares of an earlier
	// one stay counted until their leases end.
	Life func(id string) string
	Hub  Hub
	// View returns the bundle in force, nil before the first.
	View func() *pipeline.View
	Log  *zap.Logger
}

// Service runs a Table with one loop, and one goroutine for each pending report.
type Service struct {
	o Options

	mu    sync.Mutex
	table *Table
}

// New returns a Service and registers its channel at the hub.
func New(o Options) *Service {
	s := &Service{o: o}
	s.table = NewTable(o.Self, s.lookup)
	o.Hub.Serve(Channel, reportWorkers, s.serve)
	return s
}

// lookup returns the region's part of a workspace's limit.
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
	whole := limit.Limit{Rate: rate, Burst: rate * burstSeconds}
	return limit.RegionLimit(whole, w.Home == v.Region, len(v.Bundle.Regions)), true
}

// SetMembers replaces the live instances of the region.
func (s *Service) SetMembers(members []string) {
	incarnations := make([]string, 0, len(members))
	for _, m := range members {
		incarnations = append(incarnations, s.o.Life(m))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.SetMembers(time.Now(), members, incarnations)
}

// Take consumes requests and tokens of a workspace's share; see Table.Take.
func (s *Service) Consume(now time.Time, workspace string, requests, tokens float64) ports.LimitDecision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Consume(now, workspace, requests, tokens)
}

// Len returns the number of limits in use at this instance.
func (s *Service) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Len()
}

// Run sends reports and sweeps until ctx ends.
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
	s.table.Sweep(time.Now())
}

// report reports to all owners concurrently and waits for them, so that one that
// is cut off doesn't delay the others.
func (s *Service) report(ctx context.Context) {
	incarnation := s.o.Life(s.o.Self)
	s.mu.Lock()
	reports := s.table.Reports(time.Now(), incarnation)
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, r := range reports {
		calls.Go(func() { s.requestShares(ctx, r) })
	}
	calls.Wait()
}

func (s *Service) requestShares(ctx context.Context, r OwnerReport) {
	answer, err := s.call(ctx, r)
	if err != nil {
		s.o.Log.Debug("no answer to the report of limits", zap.String("owner", r.Owner), zap.Error(err))
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.ApplyShares(time.Now(), answer)
}

func (s *Service) call(ctx context.Context, r OwnerReport) (Answer, error) {
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
	incarnation := s.o.Life(from)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.HandleReport(time.Now(), incarnation, r)
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
