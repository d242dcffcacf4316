// Package api serves the interface that api/design describes.
//
// goa's server decodes, validates and encodes what callers and operators ask,
// and owns every other route. Two things are mounted beside its generated
// handlers, for the same reason: an answer's status and headers come from a
// target, each chunk must be flushed, and refusals must be given before the
// body is read. So the two completion methods have the request path as their
// handler, and plain services, whose methods, headers and statuses nobody can
// list, stand under /services/ outside goa's mux.
package api

import (
	"context"
	"errors"
	"net/http"

	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"

	"github.com/gullhaven/gullhaven/api/gen/callers"
	"github.com/gullhaven/gullhaven/api/gen/health"
	callersserver "github.com/gullhaven/gullhaven/api/gen/http/callers/server"
	healthserver "github.com/gullhaven/gullhaven/api/gen/http/health/server"
	operatorsserver "github.com/gullhaven/gullhaven/api/gen/http/operators/server"
	"github.com/gullhaven/gullhaven/api/gen/operators"
	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/metrics"
	"github.com/gullhaven/gullhaven/pipeline"
	"github.com/gullhaven/gullhaven/ports"
)

// servicesPath is where plain services stand.
const servicesPath = "/services/"

// Deps are what the interface needs of its host.
type Deps struct {
	Pipeline  *pipeline.Pipeline
	Directory ports.Directory
	// Operator may be nil: operators' paths are left out then.
	Operator Operator
	// Ready says why the instance takes no requests; nil means that it does.
	Ready   func() error
	Metrics *metrics.Set
}

// Operator answers what operators ask. Its errors are *verdict.Error with one
// of the codes of this package.
type Operator interface {
	// Roll takes the JSON of a bundle.Signed.
	Roll(ctx context.Context, signed []byte) (*operators.RollResult, error)
	Status(ctx context.Context) (*operators.InstanceReport, error)
	Burn(ctx context.Context) (*operators.BurnReport, error)
}

// New serves callers, operators and health.
func New(d Deps) http.Handler {
	m := newMounting()
	mountCallers(m, d)
	if d.Operator != nil {
		mountOperators(m, d)
	}
	mountHealth(m, d)
	m.root.Handle(servicesPath, d.Pipeline.Handler(pipeline.KindPlain))
	m.root.HandleFunc("/", m.unknown)
	return m.root
}

// NewPeer serves requests that other instances pass on. peer names an instance
// by the certificate of its connection; an empty name is refused.
func NewPeer(p *pipeline.Pipeline, peer func(*http.Request) string) http.Handler {
	m := newMounting()
	m.root.Handle("POST /v1/chat/completions", p.PeerHandler(pipeline.KindChat, peer))
	m.root.Handle("POST /v1/completions", p.PeerHandler(pipeline.KindText, peer))
	m.root.Handle(servicesPath, p.PeerHandler(pipeline.KindPlain, peer))
	m.root.HandleFunc("/", m.unknown)
	return m.root
}

// mounting joins goa's mux and the handlers beside it.
type mounting struct {
	root *http.ServeMux
	goa  goahttp.Muxer
	// methods of each path of goa's mux.
	methods map[string]string
}

func newMounting() *mounting {
	return &mounting{root: http.NewServeMux(), goa: goahttp.NewMuxer(), methods: map[string]string{}}
}

func (m *mounting) add(method, path string) {
	m.methods[path] = method
	m.root.Handle(method+" "+path, m.goa)
}

// unknown answers paths and methods that nothing serves, in the form of every
// other refusal.
func (m *mounting) unknown(w http.ResponseWriter, r *http.Request) {
	if method, ok := m.methods[r.URL.Path]; ok {
		w.Header().Set("Allow", method)
		pipeline.WriteRefusal(w, verdict.New(verdict.NotRun, pipeline.CodeUnknownMethod, "the method of this path is "+method))
		return
	}
	pipeline.WriteRefusal(w, verdict.New(verdict.NotRun, pipeline.CodeUnknownPath, "nothing is served at this path"))
}

func mountCallers(m *mounting, d Deps) {
	e := callers.NewEndpoints(&callersService{d: d})
	s := callersserver.New(e, m.goa, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, formatError)
	s.ChatCompletions = d.Pipeline.Handler(pipeline.KindChat)
	s.Completions = d.Pipeline.Handler(pipeline.KindText)
	s.Mount(m.goa)
	for _, p := range s.Mounts {
		m.add(p.Verb, p.Pattern)
	}
}

func mountOperators(m *mounting, d Deps) {
	e := operators.NewEndpoints(&operatorsService{d: d})
	s := operatorsserver.New(e, m.goa, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, formatError)
	s.Mount(m.goa)
	for _, p := range s.Mounts {
		m.add(p.Verb, p.Pattern)
	}
}

func mountHealth(m *mounting, d Deps) {
	e := health.NewEndpoints(&healthService{d: d})
	s := healthserver.New(e, m.goa, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, formatError)
	s.Mount(m.goa)
	for _, p := range s.Mounts {
		m.add(p.Verb, p.Pattern)
	}
}

// refusalBody is an error of goa's own, in the form of every other refusal.
type refusalBody struct {
	pipeline.Refusal
	status int
}

// StatusCode is the HTTP status.
func (r *refusalBody) StatusCode() int { return r.status }

// formatError turns errors that goa found into refusals. Refusals that a service
// returned pass through: goa sets their status and headers itself.
func formatError(_ context.Context, err error) goahttp.Statuser {
	var r *operators.Refusal
	if errors.As(err, &r) {
		return &refusalBody{Refusal: refusalFrom(*r.Detail)}
	}
	var notReady *health.Refusal
	if errors.As(err, &notReady) {
		return &refusalBody{Refusal: refusalFrom(operators.RefusalDetail(*notReady.Detail))}
	}
	var g *goa.ServiceError
	if errors.As(err, &g) && !g.Fault {
		e := verdict.New(verdict.NotRun, pipeline.CodeWrongHeader, g.Message)
		return &refusalBody{Refusal: pipeline.RefusalOf(e), status: http.StatusBadRequest}
	}
	e := verdict.New(verdict.MayHaveRun, pipeline.CodeInternal, "internal error")
	return &refusalBody{Refusal: pipeline.RefusalOf(e), status: http.StatusInternalServerError}
}

// refusalFrom is the body of a refusal that a service returned.
func refusalFrom(d operators.RefusalDetail) pipeline.Refusal {
	r := pipeline.Refusal{Error: pipeline.RefusalDetail{Code: verdict.Code(d.Code), Message: d.Message}}
	// The text was written by the same type, so it can't fail to be read.
	_ = r.Error.Verdict.UnmarshalText([]byte(d.Verdict))
	if d.RetryAfterMs != nil {
		r.Error.RetryAfterMillis = *d.RetryAfterMs
	}
	return r
}
