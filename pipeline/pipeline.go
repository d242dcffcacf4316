// Package pipeline serves callers' requests, from the headers to the answer.
//
// A request passes filters in a fixed order; each is a small type in a file of
// its own that either refuses the request or calls the next one. Whatever can
// be decided from headers is decided before the body is read.
package pipeline

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/coord/claim"
	"github.com/gullhaven/gullhaven/metrics"
	"github.com/gullhaven/gullhaven/pipeline/hop"
	"github.com/gullhaven/gullhaven/ports"
	"github.com/gullhaven/gullhaven/route"
)

// Deps are the dependencies of the request path.
type Deps struct {
	// Instance identifies this process in hops, claims and attempt ids.
	Instance claim.Instance
	// Region and Zone of this instance.
	Region, Zone string
	// Decider decides where requests run. Only Routing may call it.
	Decider route.Decider
	Engines ports.Engines
	Plains  ports.Plains
	// Forwarder may be nil: then nothing is spilled.
	Forwarder ports.Forwarder
	// Claims may be nil: then requests that run at most once are refused.
	Claims ports.Claims
	// Suspects and Limits may be nil: then requests aren't checked for them.
	Suspects ports.Suspects
	Limits   ports.Limits
	// LoneRuns may be nil: then requests that must run alone are refused.
	LoneRuns ports.LoneRuns
	// Directory names instances of allowed regions to callers in a wrong region;
	// may be nil.
	Directory ports.Directory
	// Observer receives the outcome of each request; may be nil.
	Observer Observer
	Metrics  *metrics.Set
	Log      *zap.Logger
	Bounds   Bounds
	// Now returns the time with a monotonic reading; default time.Now.
	Now func() time.Time
}

// Bounds limit the resources that requests use. Zero values mean the defaults.
type Bounds struct {
	// MaxInFlight bounds the requests in flight; default 8192.
	MaxInFlight int
	// MaxHeld bounds the requests that wait for a decision; default 256.
	MaxHeld int
	// MaxBodyBytes bounds one request body; default 4 MiB.
	MaxBodyBytes int64
	// BodyTimeout bounds the time from arrival to the body's end; default 10 s.
	BodyTimeout time.Duration
	// MaxDeadline is the longest deadline that a caller may set; default 1 h.
	MaxDeadline time.Duration
	// MaxAnswerBytes bounds all answers that are kept for resends; default 64 MiB.
	MaxAnswerBytes int64
	// AnswerTTL is how long answers are kept after their end; default 60 s.
	AnswerTTL time.Duration
}

func (b Bounds) withDefaults() Bounds {
	orDefault(&b.MaxInFlight, 8192)
	orDefault(&b.MaxHeld, 256)
	orDefault(&b.MaxBodyBytes, 4<<20)
	orDefault(&b.BodyTimeout, 10*time.Second)
	orDefault(&b.MaxDeadline, time.Hour)
	orDefault(&b.MaxAnswerBytes, 64<<20)
	orDefault(&b.AnswerTTL, time.Minute)
	return b
}

func orDefault[T int | int64 | time.Duration](v *T, def T) {
	if *v <= 0 {
		*v = def
	}
}

// Pipeline is the request path of one instance.
type Pipeline struct {
	deps    Deps
	view    atomic.Pointer[View]
	routing *Routing
	budgets *budgets
	ids     *ids
	flight  *inFlight
	claims  *Claiming
	model   Handler
	plain   Handler
}

// New creates a Pipeline. It refuses requests until the first SetView.
func New(d Deps) *Pipeline {
	d.Bounds = d.Bounds.withDefaults()
	if d.Now == nil {
		d.Now = time.Now
	}
	if d.Log == nil {
		d.Log = zap.NewNop()
	}
	if d.Metrics == nil {
		d.Metrics = metrics.NewSet()
	}
	p := &Pipeline{
		deps:    d,
		routing: newRouting(d.Decider, d.Now, d.Bounds.MaxHeld),
		budgets: newBudgets(d.Now),
		ids:     newIDs(d.Instance),
		flight:  &inFlight{max: int64(d.Bounds.MaxInFlight)},
	}
	forward := &Forward{deps: &p.deps, self: hop.Hop{Instance: d.Instance.ID, Region: d.Region}}
	p.claims = newClaiming(&p.deps, p.flight, forward)
	p.build(forward)
	d.Metrics.Gauge(metrics.InFlight, p.InFlight)
	return p
}

// build chains the filters in their order.
func (p *Pipeline) build(forward *Forward) {
	d := &p.deps
	head := []Filter{
		&RequestID{ids: p.ids},
		&Finish{deps: d},
		&PriorVerdict{},
		&Admission{flight: p.flight},
		&HopCheck{self: forward.self},
		&Identify{},
		&ReadTerms{bounds: d.Bounds},
		&FindService{},
		&Residency{directory: d.Directory},
		&WorkspaceLimit{limits: d.Limits, now: d.Now},
	}
	send := &Attempts{
		deps:    d,
		view:    p.view.Load,
		routing: p.routing,
		budgets: p.budgets,
		ids:     p.ids,
		forward: forward,
		moves:   make(chan struct{}, maxMoves),
	}
	model := []Filter{
		&ReadBody{bounds: d.Bounds, metrics: d.Metrics},
		&ParseModel{directory: d.Directory},
		&TokenLimit{limits: d.Limits, now: d.Now},
		&PrefixDigests{},
		&SuspectCheck{suspects: d.Suspects, now: d.Now},
		p.claims,
	}
	plain := []Filter{
		&ReadPlainBody{body: ReadBody{bounds: d.Bounds, metrics: d.Metrics}},
		&SuspectCheck{suspects: d.Suspects, now: d.Now},
		p.claims,
	}
	p.model = chain(send.Model, append(append([]Filter{}, head...), model...)...)
	p.plain = chain(send.Plain, append(append([]Filter{}, head...), plain...)...)
}

// SetView puts a bundle in force and passes its targets to routing.
func (p *Pipeline) SetView(v *View) {
	p.view.Store(v)
	p.budgets.setRatio(v.Bundle.Rules.RetryBudget)
	p.routing.SetTargets(v.TargetSpecs())
}

// View returns the view of the bundle in force; nil before the first SetView.
func (p *Pipeline) View() *View { return p.view.Load() }

// Routing returns the routing state, which the host updates with load reports,
// cache events and region summaries.
func (p *Pipeline) Routing() *Routing { return p.routing }

// InFlight returns the number of requests in flight.
func (p *Pipeline) InFlight() int64 { return p.flight.n.Load() }

// Unrecorded returns the number of requests that have ended and whose claims say that they run: an instance that
// stops before these are recorded leaves them so until they expire.
func (p *Pipeline) Unrecorded() int64 { return p.claims.recorder.pending.Load() }

// Run records how claimed requests ended, until ctx ends. It must run while
// requests are served.
func (p *Pipeline) Run(ctx context.Context) { p.claims.Run(ctx) }

// Handler returns the handler of callers' requests of one kind.
func (p *Pipeline) Handler(k Kind) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { p.serve(w, r, k, "") })
}

// PeerHandler returns the handler of requests that other instances forward.
// peer returns the name in the certificate of the connection; a request with an
// empty name is refused.
func (p *Pipeline) PeerHandler(k Kind, peer func(*http.Request) string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name := peer(r)
		if name == "" {
			http.Error(w, "no certificate", http.StatusForbidden)
			return
		}
		p.serve(w, r, k, name)
	})
}

func (p *Pipeline) serve(w http.ResponseWriter, r *http.Request, k Kind, peer string) {
	x := &Exchange{
		Ctx:     r.Context(),
		W:       w,
		R:       r,
		Kind:    k,
		Arrival: p.deps.Now(),
		now:     p.deps.Now,
		View:    p.view.Load(),
		Peer:    peer,
	}
	if k == KindPlain {
		_ = p.plain(x)
		return
	}
	_ = p.model(x)
}
