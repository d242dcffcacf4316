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
	channelTake = "limit-take"
	channelBack = "limit-back"
	// ChannelReport is where core instances take reports.
	ChannelReport = "limit-report"
)

const (
	// takeWorkers bounds the questions that are answered at once.
	takeWorkers = 64
	// takeTime bounds a question: a round trip inside a region and a busy instance.
	takeTime = 40 * time.Millisecond
	// avoidFor is how long an instance that did not answer is not asked.
	avoidFor = 500 * time.Millisecond
	// reportTime bounds a report: a trip to the leader, which may be another region's, and back.
	reportTime = 600 * time.Millisecond
	// newWait is how long a request waits for the first share of a workspace, in steps of
	// newStep: after a loss of power of all, the leader and the instances that stand for
	// workspaces are found within a second.
	newWait = 600 * time.Millisecond
	newStep = 60 * time.Millisecond
	// mostAsked is how many instances are asked for one request.
	mostAsked = 2
)

// Channels lists the link channels whose messages are urgent.
func Channels() []string { return []string{channelTake, channelBack} }

// Options of a Service.
type Options struct {
	Self, Region string
	// Regions is the number of regions of the site.
	Regions   int
	Tolerance Tolerance
	Hub       *link.Hub
	// Core is the core instance to report to.
	Core func() string
	Log  *zap.Logger
}

// Service runs the Holders of an entry instance and asks those of others.
type Service struct {
	o     Options
	clock replhost.BootClock

	mu      sync.Mutex
	holders *Holders
	// takers are the entry instances of the region that take requests.
	takers []string
	avoid  map[string]time.Time
	// keyed says that there are workspaces at all, answered that a leader has answered.
	keyed, answered bool
	reportedAt      time.Time
}

// New makes a Service that answers on the hub.
func New(o Options) *Service {
	s := &Service{o: o, holders: NewHolders(replhost.BootClock{}.Now(), rand.Uint64(), o.Region, o.Regions, o.Tolerance), avoid: map[string]time.Time{}}
	o.Hub.Serve(channelTake, takeWorkers, s.serveTake)
	o.Hub.Handle(channelBack, s.serveBack)
	return s
}

// SetView tells the configuration in force, the entry instances of the region that take
// requests, and the number of entry instances of all regions.
func (s *Service) SetView(x *routes.Index, takers []string, entries int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keyed = x.Table.Keyed
	s.takers = takers
	s.holders.SetLimits(x.Table.Version, func(name string) (limit.Limit, bool) {
		w := x.WorkspaceByName(name)
		if w == nil || w.Limit.Rate <= 0 {
			return limit.Limit{}, false
		}
		return limit.Limit{Rate: w.Limit.Rate, Burst: w.Limit.Burst}, true
	})
	s.holders.SetEntries(entries, func(name string) bool { return first(name, takers, nil) == s.o.Self })
}

// first is the instance that stands for a workspace among those that are not left out.
func first(workspace string, takers []string, out func(id string) bool) string {
	var best string
	var most uint64
	for _, id := range takers {
		if out != nil && out(id) {
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
		v, by := s.ask(ctx, w.Name, units)
		if v.OK || !v.New || s.clock.Now().Sub(began) > newWait || duty.Pause(ctx, newStep) != nil {
			return exchange.LimitDecision{
				Allowed: v.OK, RetryAfter: time.Duration(v.WaitMillis) * time.Millisecond, DecidedBy: by, Rate: v.Rate, Leased: v.Leased, Version: v.Version,
			}
		}
	}
}

// ask asks the instance that stands for a workspace, or the next one where that does not
// answer, and decides alone where none does. by is who has answered.
func (s *Service) ask(ctx context.Context, workspace string, units float64) (v Verdict, by string) {
	for range mostAsked {
		to := s.stands(workspace)
		if to == s.o.Self {
			if v := s.takeHere(workspace, units); !v.Unknown {
				return v, to
			}
			// The limit has gone from the configuration since the request was identified.
			break
		}
		if to == "" {
			break
		}
		v, err := s.call(ctx, to, Question{Workspace: workspace, Units: units})
		if err == nil && !v.Unknown {
			return v, to
		}
		if err != nil {
			s.avoidNow(to)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holders.TakeAlone(s.clock.Now(), workspace, units), ""
}

func (s *Service) takeHere(workspace string, units float64) Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holders.Take(s.clock.Now(), workspace, units)
}

func (s *Service) call(ctx context.Context, to string, q Question) (Verdict, error) {
	var v Verdict
	payload, err := cbor.Marshal(q)
	if err != nil {
		return v, err
	}
	ctx, cancel := context.WithTimeout(ctx, takeTime)
	defer cancel()
	answer, err := s.o.Hub.Call(ctx, to, channelTake, payload)
	if err != nil {
		return v, err
	}
	return v, cbor.Unmarshal(answer, &v)
}

// stands is the instance to ask of a workspace; empty if none is known.
func (s *Service) stands(workspace string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	return first(workspace, s.takers, func(id string) bool { return now.Before(s.avoid[id]) })
}

func (s *Service) avoidNow(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.avoid[id] = s.clock.Now().Add(avoidFor)
}

// Refund implements exchange.Limits.
func (s *Service) Refund(w *routes.Workspace, units float64, a exchange.LimitDecision) {
	switch a.DecidedBy {
	case "":
		s.mu.Lock()
		defer s.mu.Unlock()
		s.holders.BackAlone(s.clock.Now(), w.Name, units)
		return
	case s.o.Self:
		s.back(w.Name, units)
		return
	}
	payload, err := cbor.Marshal(Question{Workspace: w.Name, Units: -units})
	if err != nil {
		s.o.Log.Error("units of a workspace cannot be given back", zap.Error(err))
		return
	}
	// A lost message costs the workspace a request.
	s.o.Hub.Send(a.DecidedBy, channelBack, payload)
}

func (s *Service) back(workspace string, units float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holders.Back(s.clock.Now(), workspace, units)
}

func (s *Service) serveTake(_ context.Context, _ string, payload []byte) ([]byte, error) {
	var q Question
	if err := cbor.Unmarshal(payload, &q); err != nil {
		return nil, err
	}
	return cbor.Marshal(s.takeHere(q.Workspace, max(0, q.Units)))
}

func (s *Service) serveBack(from string, payload []byte) {
	var q Question
	if err := cbor.Unmarshal(payload, &q); err != nil {
		s.o.Log.Warn("units given back cannot be read", zap.String("from", from), zap.Error(err))
		return
	}
	s.back(q.Workspace, max(0, -q.Units))
}

// Run reports until ctx ends. One report is under way at a time: the answer to an overtaken
// one would be dropped.
func (s *Service) Run(ctx context.Context) {
	duty.Every(ctx, urgentInterval, func(time.Time) {
		if r := s.due(); r != nil {
			s.report(ctx, r)
		}
	})
}

// due is the report to send now; nil for none.
func (s *Service) due() *Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.keyed {
		return nil
	}
	now := s.clock.Now()
	interval := reportInterval
	if s.answered && s.holders.Len() == 0 {
		interval = idleInterval
	}
	urgent := now.Sub(s.reportedAt) < interval
	r, ok := s.holders.Report(now, urgent)
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
		s.o.Log.Error("a report of limits cannot be written", zap.Error(err))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTime)
	defer cancel()
	data, err := s.o.Hub.Call(ctx, s.o.Core(), ChannelReport, payload)
	var a Answer
	if err == nil {
		err = cbor.Unmarshal(data, &a)
	}
	if err != nil {
		s.o.Log.Debug("no shares of limits", zap.Error(err))
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answered = true
	s.holders.Granted(s.clock.Now(), &a)
}
