package quota

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/bundle/routes"
	"github.com/gullhaven/gullhaven/coord/limit"
	"github.com/gullhaven/gullhaven/coord/link"
	"github.com/gullhaven/gullhaven/coord/replhost"
	"github.com/gullhaven/gullhaven/node/duty"
	"github.com/gullhaven/gullhaven/pipeline/exchange"
)

// Channels of the link between entry instances.
const (
	channelConsume = "limit-take"
	channelRefund  = "limit-back"
	// ChannelReport is the channel on which core instances receive reports.
	ChannelReport = "limit-report"
)

const (
	// consumeWorkers is the number of ConsumeRequests that are served concurrently.
	consumeWorkers = 64
	// consumeTimeout bounds a call to the owner: a round trip inside a region and a busy instance.
	consumeTimeout = 40 * time.Millisecond
	// avoidDuration is how long an instance that did not answer is not called.
	avoidDuration = 500 * time.Millisecond
	// reportTimeout bounds a report: a round trip to the leader, which may be in another region.
	reportTimeout = 600 * time.Millisecond
	// firstShareWait is how long a request waits for the first share of a workspace, retrying
	// every firstShareInterval: after a power loss of all instances, the leader and the owners
	// of workspaces are found within a second.
	firstShareWait     = 600 * time.Millisecond
	firstShareInterval = 60 * time.Millisecond
	// maxOwnersCalled is the number of instances called for one request.
	maxOwnersCalled = 2
)

// Channels returns the link channels whose messages are urgent.
func Channels() []string { return []string{channelConsume, channelRefund} }

// Options of a Service.
type Options struct {
	Self, Region string
	// Regions is the number of regions of the site.
	Regions   int
	Tolerance Tolerance
	Hub       *link.Hub
	// Core returns the ID of the core instance to report to.
	Core func() string
	Log  *zap.Logger
}

// Service runs the Holder of an entry instance and calls the Holders of other instances.
type Service struct {
	o     Options
	clock replhost.BootClock

	mu     sync.Mutex
	holder *Holder
	// accepting are the entry instances of the region that accept requests.
	accepting  []string
	avoidUntil map[string]time.Time
	// hasWorkspaces is set if the configuration has workspaces, leaderAnswered once a leader has
	// answered.
	hasWorkspaces, leaderAnswered bool
	reportedAt                    time.Time
}

// New returns a Service and registers its channels at the hub.
func New(o Options) *Service {
	s := &Service{o: o, holder: NewHolder(replhost.BootClock{}.Now(), rand.Uint64(), o.Region, o.Regions, o.Tolerance), avoidUntil: map[string]time.Time{}}
	o.Hub.Serve(channelConsume, consumeWorkers, s.serveConsume)
	o.Hub.Handle(channelRefund, s.serveRefund)
	return s
}

// SetView sets the configuration in force, the entry instances of the region that accept
// requests, and the number of entry instances of all regions.
func (s *Service) SetView(x *routes.Index, accepting []string, entries int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hasWorkspaces = x.Table.Keyed
	s.accepting = accepting
	s.holder.SetLimits(x.Table.Version, func(name string) (limit.Limit, bool) {
		w := x.WorkspaceByName(name)
		if w == nil || w.Limit.Rate <= 0 {
			return limit.Limit{}, false
		}
		return limit.Limit{Rate: w.Limit.Rate, Burst: w.Limit.Burst}, true
	})
	s.holder.SetEntryInstances(entries, func(name string) bool { return ownerAmong(name, accepting, nil) == s.o.Self })
}

// ownerAmong returns the owner of a workspace among the members that are not excluded, by
// rendezvous hashing; "" if there are none. excluded may be nil.
func ownerAmong(workspace string, members []string, excluded func(id string) bool) string {
	var best string
	var most uint64
	for _, id := range members {
		if excluded != nil && excluded(id) {
			continue
		}
		if w := xxhash.Sum64String(workspace + " " + id); best == "" || w > most {
			best, most = id, w
		}
	}
	return best
}

// Consume implements exchange.Limits.
func (s *Service) Consume(ctx context.Context, w *routes.Workspace, units float64) exchange.LimitDecision {
	began := s.clock.Now()
	for {
		v, decidedBy := s.consumeAtOwner(ctx, w.Name, units)
		if v.Allowed || !v.NoShareYet || s.clock.Now().Sub(began) > firstShareWait || duty.Pause(ctx, firstShareInterval) != nil {
			return exchange.LimitDecision{
				Allowed: v.Allowed, RetryAfter: time.Duration(v.RetryAfterMillis) * time.Millisecond, DecidedBy: decidedBy, Rate: v.Rate, Leased: v.Leased, Version: v.Version,
			}
		}
	}
}

// consumeAtOwner calls the owner of a workspace, or the next one if it doesn't answer, and decides
// by the isolated part if neither does. decidedBy is the instance that decided, "" for the isolated
// part.
func (s *Service) consumeAtOwner(ctx context.Context, workspace string, units float64) (v ConsumeResponse, decidedBy string) {
	for range maxOwnersCalled {
		to := s.owner(workspace)
		if to == s.o.Self {
			if v := s.consumeLocal(workspace, units); !v.UnknownLimit {
				return v, to
			}
			// The limit was removed from the configuration since the request was identified.
			break
		}
		if to == "" {
			break
		}
		v, err := s.call(ctx, to, ConsumeRequest{Workspace: workspace, Units: units})
		if err == nil && !v.UnknownLimit {
			return v, to
		}
		if err == nil {
			// The owner's configuration is older or newer.
			break
		}
		s.startAvoiding(to)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holder.ConsumeIsolated(s.clock.Now(), workspace, units), ""
}

func (s *Service) consumeLocal(workspace string, units float64) ConsumeResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holder.Consume(s.clock.Now(), workspace, units)
}

func (s *Service) call(ctx context.Context, to string, r ConsumeRequest) (ConsumeResponse, error) {
	var v ConsumeResponse
	payload, err := cbor.Marshal(r)
	if err != nil {
		return v, err
	}
	ctx, cancel := context.WithTimeout(ctx, consumeTimeout)
	defer cancel()
	answer, err := s.o.Hub.Call(ctx, to, channelConsume, payload)
	if err != nil {
		return v, err
	}
	return v, cbor.Unmarshal(answer, &v)
}

// owner returns the instance to call for a workspace, "" if none is known or all are avoided.
func (s *Service) owner(workspace string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	return ownerAmong(workspace, s.accepting, func(id string) bool { return now.Before(s.avoidUntil[id]) })
}

func (s *Service) startAvoiding(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.avoidUntil[id] = s.clock.Now().Add(avoidDuration)
}

// Refund implements exchange.Limits.
func (s *Service) Refund(w *routes.Workspace, units float64, d exchange.LimitDecision) {
	switch d.DecidedBy {
	case "":
		s.mu.Lock()
		defer s.mu.Unlock()
		s.holder.RefundIsolated(s.clock.Now(), w.Name, units)
		return
	case s.o.Self:
		s.refundLocal(w.Name, units)
		return
	}
	payload, err := cbor.Marshal(ConsumeRequest{Workspace: w.Name, Units: -units})
	if err != nil {
		s.o.Log.Error("cannot encode the refund of a workspace's units", zap.Error(err))
		return
	}
	// If the message is lost, the workspace loses these units.
	s.o.Hub.Send(d.DecidedBy, channelRefund, payload)
}

func (s *Service) refundLocal(workspace string, units float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holder.Refund(s.clock.Now(), workspace, units)
}

func (s *Service) serveConsume(_ context.Context, _ string, payload []byte) ([]byte, error) {
	var r ConsumeRequest
	if err := cbor.Unmarshal(payload, &r); err != nil {
		return nil, err
	}
	return cbor.Marshal(s.consumeLocal(r.Workspace, max(0, r.Units)))
}

func (s *Service) serveRefund(from string, payload []byte) {
	var r ConsumeRequest
	if err := cbor.Unmarshal(payload, &r); err != nil {
		s.o.Log.Warn("units given back cannot be read", zap.String("from", from), zap.Error(err))
		return
	}
	s.refundLocal(r.Workspace, max(0, -r.Units))
}

// Run sends reports until ctx ends, one at a time: the answer to a report that a later one
// overtook would be dropped.
func (s *Service) Run(ctx context.Context) {
	duty.Every(ctx, urgentInterval, func(time.Time) {
		if r := s.due(); r != nil {
			s.report(ctx, r)
		}
	})
}

// due returns the report to send now, or nil.
func (s *Service) due() *Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.hasWorkspaces {
		return nil
	}
	now := s.clock.Now()
	interval := reportInterval
	if s.leaderAnswered && s.holder.Len() == 0 {
		interval = idleInterval
	}
	urgent := now.Sub(s.reportedAt) < interval
	r, ok := s.holder.Report(now, urgent)
	if !ok {
		return nil
	}
	if !urgent {
		s.reportedAt = now
	}
	return r
}

func (s *Service) report(ctx context.Context, r *Report) {
	payload, err := cbor.Marshal(r)
	if err != nil {
		s.o.Log.Error("cannot encode the report of limits", zap.Error(err))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	data, err := s.o.Hub.Call(ctx, s.o.Core(), ChannelReport, payload)
	var a Answer
	if err == nil {
		err = cbor.Unmarshal(data, &a)
	}
	if err != nil {
		s.o.Log.Debug("no answer to the report of limits", zap.Error(err))
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaderAnswered = true
	s.holder.ApplyShares(s.clock.Now(), &a)
}
