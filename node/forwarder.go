package node

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gullhaven/gullhaven/coord/httpconn"
	"github.com/gullhaven/gullhaven/coord/keys"
	"github.com/gullhaven/gullhaven/coord/roster"
	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/pipeline"
	"github.com/gullhaven/gullhaven/ports"
	"github.com/gullhaven/gullhaven/ports/rawhttp"
)

const (
	forwardDialTimeout  = time.Second
	maxIdleForwardConns = 32
	// maxForwardAttempts bounds the instances tried while none was reached.
	maxForwardAttempts = 2
)

// forwarder forwards requests to other instances over mutual TLS.
type forwarder struct {
	key     *keys.Key
	entries func(region string) []roster.Contact

	mu         sync.Mutex
	transports map[string]*httpconn.Transport
}

func newForwarder(key *keys.Key, entries func(string) []roster.Contact) *forwarder {
	return &forwarder{key: key, entries: entries, transports: map[string]*httpconn.Transport{}}
}

// Forward sends the request to the named instance, or to any live one of the region. A second
// instance is tried only if the first saw nothing of the request and the body is unread. The
// error is NotRun if no instance was reached.
func (f *forwarder) Forward(ctx context.Context, r ports.ForwardRequest) (*ports.PlainAnswer, error) {
	contacts := f.entries(r.Region)
	if r.Instance != "" {
		other := func(c roster.Contact) bool { return c.ID != r.Instance }
		contacts = slices.DeleteFunc(contacts, other)
	}
	rand.Shuffle(len(contacts), func(i, j int) { contacts[i], contacts[j] = contacts[j], contacts[i] })
	err := verdict.New(verdict.NotRun, pipeline.CodeRegionUnreached, "no instance of region "+r.Region+" is known")
	for _, c := range contacts[:min(maxForwardAttempts, len(contacts))] {
		var answer *ports.PlainAnswer
		answer, err = f.send(ctx, c, r)
		if err == nil {
			return answer, nil
		}
		if err.Verdict != verdict.NotRun || ctx.Err() != nil {
			break
		}
	}
	return nil, err
}

// send tries one instance. Its error is NotRun only if no connection was made.
func (f *forwarder) send(ctx context.Context, c roster.Contact, r ports.ForwardRequest) (*ports.PlainAnswer, *verdict.Error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	req, err := http.NewRequestWithContext(ctx, r.Method, "https://"+c.Address+r.Target, r.Body)
	if err != nil {
		return nil, &verdict.Error{Code: pipeline.CodeInternal, Message: "the request can't be passed on", Err: err}
	}
	req.Header = r.Header
	req.ContentLength = r.Length
	resp, err := f.transport(c.ID).RoundTrip(req)
	if err == nil {
		return &ports.PlainAnswer{Status: resp.StatusCode, Header: resp.Header, Body: resp.Body}, nil
	}
	e := &verdict.Error{Code: pipeline.CodeRegionUnreached, Message: "region " + c.Region + " was not reached", Err: err}
	if connected.Load() {
		e.Verdict = verdict.MayHaveRun
	}
	return nil, e
}

// transport returns the transport that keeps connections to one instance, whose identity each
// handshake checks.
func (f *forwarder) transport(id string) *httpconn.Transport {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.transports[id]
	if t == nil {
		t = httpconn.NewTransport(&http.Transport{
			DialContext:            (&net.Dialer{Timeout: forwardDialTimeout}).DialContext,
			TLSClientConfig:        f.key.ClientConfig(id),
			TLSHandshakeTimeout:    forwardDialTimeout,
			MaxIdleConnsPerHost:    maxIdleForwardConns,
			IdleConnTimeout:        time.Minute,
			DisableCompression:     true,
			MaxResponseHeaderBytes: rawhttp.MaxHeadBytes,
		})
		f.transports[id] = t
	}
	return t
}

// Close closes idle connections.
func (f *forwarder) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.transports {
		t.CloseIdleConnections()
	}
}
