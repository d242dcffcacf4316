// Package limits keeps this instance's shares of the workspaces' limits. The
// first relay of the region owns the limits there and divides them; every
// instance, the owner too, spends leased shares and reports its demand once a
// second (package coord/limit).
package limits

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/coord/limit"
	"github.com/gullhaven/gullhaven/coord/link"
	"github.com/gullhaven/gullhaven/pipeline"
	"github.com/gullhaven/gullhaven/ports"
)

// Channel is the link channel of reports.
const Channel = "limits"

const (
	// Lease of shares: four missed reports.
	Lease = 5 * time.Second
	// reportInterval is the time between two reports.
	reportInterval = time.Second
	// callTimeout bounds the wait for shares.
	callTimeout = 800 * time.Millisecond
	// servers is how many reports the owner takes in at once.
	servers = 4
	// burst is how much of a limit may be spent at once, in seconds of its rate.
	burst = 2.0
)

// errLife answers a report of a life that this instance does not know (yet).
var errLife = errors.New("unknown life of an instance")

// report is what an instance asks the owner.
type report struct {
	Life    string         `cbor:"1,keyasint"`
	Number  uint64         `cbor:"2,keyasint"`
	Demands []limit.Demand `cbor:"3,keyasint"`
}

// Options of a Service.
type Options struct {
	Self string
	// Life names this start of the instance, so that shares of an earlier one
	// stay counted until their leases end.
	Life func(id string) string
	Hub  *link.Hub
	// View is the bundle in force; nil before the first.
	View func() *pipeline.View
	Log  *zap.Logger
}

// Service holds the shares of one instance and, at the owner, the limits.
type Service struct {
	o Options

	mu        sync.Mutex
	limiter   *limit.Limiter
	members   []string
	owner     string
	allocator *limit.Allocator
}

// New makes a Service and registers it at the link.
func New(o Options) *Service {
	s := &Service{o: o}
	s.limiter = limit.NewLimiter(s.lookup, 1, Lease)
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
	return limit.RegionPart(whole, w.Home == v.Region, len(v.Bundle.Regions)), true
}

// SetMembers tells the live instances of the region and who owns the limits.
func (s *Service) SetMembers(members []string, owner string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members, s.owner = members, owner
	s.limiter.SetInstances(len(members))
	if owner != s.o.Self {
		s.allocator = nil
		return
	}
	lives := s.lives()
	if s.allocator == nil {
		s.allocator = limit.NewAllocator(time.Now(), s.lookup, Lease, lives)
		return
	}
	s.allocator.SetInstances(time.Now(), lives)
}

func (s *Service) lives() []string {
	lives := make([]string, 0, len(s.members))
	for _, m := range s.members {
		lives = append(lives, s.o.Life(m))
	}
	return lives
}

// Take spends a request or tokens of a workspace's share.
func (s *Service) Take(now time.Time, workspace string, requests, tokens float64) ports.LimitAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ok bool
	var wait time.Duration
	if requests > 0 {
		ok, wait = s.limiter.Take(now, workspace, tokens)
	} else {
		ok, wait = s.limiter.TakeTokens(now, workspace, tokens)
	}
	return ports.LimitAnswer{OK: ok, RetryAfter: wait}
}

// Len is the number of limits in use here.
func (s *Service) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limiter.Len()
}

// Run reports until ctx ends.
func (s *Service) Run(ctx context.Context) {
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	sweep := time.NewTicker(Lease)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-sweep.C:
			s.sweep()
		case <-tick.C:
			s.report(ctx)
		}
	}
}

func (s *Service) sweep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.allocator != nil {
		s.allocator.Sweep(time.Now())
	}
}

// report asks the owner for shares. Without an answer the shares in use last
// until their lease ends, and floors hold after that.
func (s *Service) report(ctx context.Context) {
	s.mu.Lock()
	owner := s.owner
	r := report{Life: s.o.Life(s.o.Self)}
	r.Number, r.Demands = s.limiter.Report(time.Now())
	s.mu.Unlock()
	if owner == "" || len(r.Demands) == 0 {
		return
	}
	shares, err := s.ask(ctx, owner, r)
	if err != nil {
		s.o.Log.Debug("no shares of limits", zap.String("owner", owner), zap.Error(err))
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limiter.Granted(time.Now(), r.Number, shares)
}

func (s *Service) ask(ctx context.Context, owner string, r report) ([]limit.Share, error) {
	if owner == s.o.Self {
		return s.grant(r), nil
	}
	data, err := cbor.Marshal(r)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := s.o.Hub.Call(ctx, owner, Channel, data)
	if err != nil {
		return nil, err
	}
	var shares []limit.Share
	return shares, cbor.Unmarshal(reply, &shares)
}

// grant answers a report at the owner; nil elsewhere.
func (s *Service) grant(r report) []limit.Share {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.allocator == nil {
		return nil
	}
	return s.allocator.Report(time.Now(), r.Life, r.Number, r.Demands)
}

func (s *Service) serve(_ context.Context, from string, data []byte) ([]byte, error) {
	var r report
	if err := cbor.Unmarshal(data, &r); err != nil {
		return nil, err
	}
	if r.Life != s.o.Life(from) {
		return nil, errLife
	}
	return cbor.Marshal(s.grant(r))
}
