// Package pipeline takes requests of callers from their headers to their answer.
//
// A request passes filters in a fixed order; each is a small type in a file of
// its own that either refuses the request or hands it on. What is decided from
// headers comes before the body is read.
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

// Deps are what the request path needs of its host.
type Deps struct {
	// Instance is this process; its id goes into hops, claims and attempt ids.
	Instance claim.Instance
	// Region and Zone of this instance.
	Region, Zone string
	// Decider decides where requests run. Only the pipeline steps it, through
	// Routing.
	Decider route.Decider
	Engines ports.Engines
	Plains  ports.Plains
	// Forwarder may be nil: nothing is spilled then.
	Forwarder ports.Forwarder
	// Claims may be nil: work that runs at most once is refused then.
	Claims ports.Claims
	// Suspects and Limits may be nil: none are kept then.
	Suspects ports.Suspects
	Limits   ports.Limits
	// Lone may be nil: requests that must run alone are refused then.
	LoneRuns ports.LoneRuns
	// Directory may be nil; it tells callers in a wrong region where to go.
	Directory ports.Directory
	// Observer may be nil; it is told of each request's end.
	Observer Observer
	Metrics  *metrics.Set
	Log      *zap.Logger
	Bounds   Bounds
	// Now is a clock with a monotonic reading; default time.Now.
	Now func() time.Time
}

// Bounds of what an instance takes on. Zero values mean the defaults.
type Bounds struct {
	// InFlight requests at once; default 8192.
	MaxInFlight int
	// Held requests that wait for a decision; default 256.
	MaxHeld int
	// BodyBytes of one request; default 4 MiB.
	MaxBodyBytes int64
	// BodyTime is how long a body may take to come; default 10 s.
	BodyTimeout time.Duration
	// MaxDeadline that a caller may ask for; default 1 h.
	MaxDeadline time.Duration
	// JournalBytes of answers kept for resends; default 64 MiB.
	MaxAnswerBytes int64
	// JournalTime is how long they are kept after their end; default 60 s.
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

// New makes a Pipeline. Requests are refused until SetView was called.
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
	forward := &Forward{deps: &p.deps, at: hop.Station{Instance: d.Instance.ID, Region: d.Region}}
	p.claims = newClaiming(&p.deps, p.flight, forward)
	p.build(forward)
	d.Metrics.Gauge(metrics.InFlight, p.InFlight)
	return p
}

// build joins the filters in the order of the path.
func (p *Pipeline) build(forward *Forward) {
	d := &p.deps
	head := []Filter{
		&RequestID{ids: p.ids},
		&Finish{deps: d},
		&PriorVerdict{},
		&Admission{flight: p.flight},
		&HopCheck{at: forward.at},
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

// SetView puts a bundle in force and tells routing its targets.
func (p *Pipeline) SetView(v *View) {
	p.view.Store(v)
	p.budgets.setRatio(v.Bundle.Rules.RetryBudget)
	p.routing.SetTargets(v.TargetSpecs())
}

// View returns the bundle in force; nil before the first.
func (p *Pipeline) View() *View { return p.view.Load() }

// Routing gives the host what it steps with reports, events and summaries.
func (p *Pipeline) Routing() *Routing { return p.routing }

// InFlight is the number of requests under way.
func (p *Pipeline) InFlight() int64 { return p.flight.n.Load() }

// Run records the ends of claimed requests until ctx ends. It must run while
// requests are served.
func (p *Pipeline) Run(ctx context.Context) { p.claims.Run(ctx) }

// Handler serves requests of one kind from callers.
func (p *Pipeline) Handler(k Kind) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { p.serve(w, r, k, "") })
}

// PeerHandler serves requests that other instances pass on. peer names the
// instance by the certificate of its connection; an empty name is refused.
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
		View:    p.view.Load(),
		Peer:    peer,
	}
	if k == KindPlain {
		_ = p.plain(x)
		return
	}
	_ = p.model(x)
}
