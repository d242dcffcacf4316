// Package api serves the interface that api/design describes.
//
// Code that goa generates decodes, validates and encodes requests and answers of
// most routes. The pipeline itself handles the two completion methods and plain
// services, because status and headers of their answers come from a target, each
// chunk must be flushed, and refusals must be sent before the body is read. Plain
// services are outside goa's mux, under /services/, because their methods, headers
// and statuses are not known in advance.
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

// servicesPath is the prefix of plain services.
const servicesPath = "/services/"

// Deps are the dependencies of New.
type Deps struct {
	Pipeline  *pipeline.Pipeline
	Directory ports.Directory
	// Operator may be nil; the operators' paths are not served then.
	Operator Operator
	// Ready returns why the instance takes no requests, or nil if it takes them. A
	// nil Ready means that it always does.
	Ready   func() error
	Metrics *metrics.Set
}

// Operator implements the operators' methods. Its errors are *verdict.Error with one
// of the codes of this package.
type Operator interface {
	// Roll takes the JSON of a bundle.Signed.
	Roll(ctx context.Context, signed []byte) (*operators.RollResult, error)
	Status(ctx context.Context) (*operators.InstanceReport, error)
	Burn(ctx context.Context) (*operators.BurnReport, error)
}

// New returns the handler for callers, operators and health.
func New(d Deps) http.Handler {
	m := newRouter()
	mountCallers(m, d)
	if d.Operator != nil {
		mountOperators(m, d)
	}
	mountHealth(m, d)
	m.root.Handle(servicesPath, d.Pipeline.Handler(pipeline.KindPlain))
	m.root.HandleFunc("/", m.refuseUnknown)
	return m.root
}

// NewPeer returns the handler for requests that other instances forward. peer returns
// the name of the instance by the certificate of its connection; requests with an
// empty name are refused.
func NewPeer(p *pipeline.Pipeline, peer func(*http.Request) string) http.Handler {
	m := newRouter()
	m.root.Handle("POST /v1/chat/completions", p.PeerHandler(pipeline.KindChat, peer))
	m.root.Handle("POST /v1/completions", p.PeerHandler(pipeline.KindText, peer))
	m.root.Handle(servicesPath, p.PeerHandler(pipeline.KindPlain, peer))
	m.root.HandleFunc("/", m.refuseUnknown)
	return m.root
}

// router combines goa's mux with the handlers outside it.
type router struct {
	root *http.ServeMux
	goa  goahttp.Muxer
	// methods holds the method of each path of goa's mux.
	methods map[string]string
}

func newRouter() *router {
	return &router{root: http.NewServeMux(), goa: goahttp.NewMuxer(), methods: map[string]string{}}
}

func (m *router) add(method, path string) {
	m.methods[path] = method
	m.root.Handle(method+" "+path, m.goa)
}

// refuseUnknown answers paths and methods that are not served, in the form of all
// other refusals.
func (m *router) refuseUnknown(w http.ResponseWriter, r *http.Request) {
	if method, ok := m.methods[r.URL.Path]; ok {
		w.Header().Set("Allow", method)
		pipeline.WriteRefusal(w, verdict.New(verdict.NotRun, pipeline.CodeUnknownMethod, "the method of this path is "+method))
		return
	}
	pipeline.WriteRefusal(w, verdict.New(verdict.NotRun, pipeline.CodeUnknownPath, "nothing is served at this path"))
}

func mountCallers(m *router, d Deps) {
	e := callers.NewEndpoints(&callersService{d: d})
	s := callersserver.New(e, m.goa, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, formatError)
	s.ChatCompletions = d.Pipeline.Handler(pipeline.KindChat)
	s.Completions = d.Pipeline.Handler(pipeline.KindText)
	s.Mount(m.goa)
	for _, p := range s.Mounts {
		m.add(p.Verb, p.Pattern)
	}
}

func mountOperators(m *router, d Deps) {
	e := operators.NewEndpoints(&operatorsService{d: d})
	s := operatorsserver.New(e, m.goa, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, formatError)
	s.Mount(m.goa)
	for _, p := range s.Mounts {
		m.add(p.Verb, p.Pattern)
	}
}

func mountHealth(m *router, d Deps) {
	e := health.NewEndpoints(&healthService{d: d})
	s := healthserver.New(e, m.goa, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, formatError)
	s.Mount(m.goa)
	for _, p := range s.Mounts {
		m.add(p.Verb, p.Pattern)
	}
}

// refusalBody is an error that goa raised, in the form of all other refusals.
type refusalBody struct {
	pipeline.Refusal
	status int
}

// StatusCode returns the HTTP status.
func (r *refusalBody) StatusCode() int { return r.status }

// formatError converts errors to refusals. Of refusals that a service returned it
// keeps the body; goa sets their status and headers itself.
func formatError(_ context.Context, err error) goahttp.Statuser {
	var r *operators.Refusal
	if errors.As(err, &r) {
		return &refusalBody{Refusal: refusalBodyOf(*r.Detail)}
	}
	var notReady *health.Refusal
	if errors.As(err, &notReady) {
		return &refusalBody{Refusal: refusalBodyOf(operators.RefusalDetail(*notReady.Detail))}
	}
	var g *goa.ServiceError
	if errors.As(err, &g) && !g.Fault {
		e := verdict.New(verdict.NotRun, pipeline.CodeWrongHeader, g.Message)
		return &refusalBody{Refusal: pipeline.RefusalOf(e), status: http.StatusBadRequest}
	}
	e := verdict.New(verdict.MayHaveRun, pipeline.CodeInternal, "internal error")
	return &refusalBody{Refusal: pipeline.RefusalOf(e), status: http.StatusInternalServerError}
}

// refusalBodyOf returns the body of a refusal that a service returned.
func refusalBodyOf(d operators.RefusalDetail) pipeline.Refusal {
	r := pipeline.Refusal{Error: pipeline.RefusalDetail{Code: verdict.Code(d.Code), Message: d.Message}}
	// The text comes from the same type, so it can be parsed.
	_ = r.Error.Verdict.UnmarshalText([]byte(d.Verdict))
	if d.RetryAfterMs != nil {
		r.Error.RetryAfterMillis = *d.RetryAfterMs
	}
	return r
}
