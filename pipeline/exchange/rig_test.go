package exchange_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/bundle/routes"
	"github.com/gullhaven/gullhaven/metrics"
	"github.com/gullhaven/gullhaven/pipeline/exchange"
	"github.com/gullhaven/gullhaven/ports/rawhttp"
	"github.com/gullhaven/gullhaven/route/pick"
)

// testDialect is a dialect with short header names.
type testDialect struct{}

func (testDialect) Call(h http.Header) (exchange.Call, error) {
	c := exchange.Call{ID: h.Get("Id")}
	if c.ID == "" {
		return c, fmt.Errorf("no id")
	}
	if text := h.Get("Deadline"); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil {
			return c, err
		}
		c.Deadline = d
	}
	if text := h.Get("After"); text != "" {
		c.LastEventID, _ = strconv.ParseInt(text, 10, 64)
		c.HasLastEventID = true
	}
	c.Resumes = h.Get("Resumes")
	if key := h.Get("Key"); key != "" {
		c.Credential = exchange.Credential{Present: true, Digest: routes.DigestKey(key)}
	}
	return c, nil
}

func (testDialect) Conceal(h http.Header) {
	h.Del("Key")
	h.Del("Workspace")
}

func (p testDialect) Prepare(h http.Header, s exchange.Attempt) {
	if s.Keyed {
		p.Conceal(h)
	}
	if s.Workspace != "" {
		h.Set("Workspace", s.Workspace)
	}
	h.Set("Rank", strconv.Itoa(s.Rank))
	h.Set("Meant", s.Target)
	h.Set("Left", s.Timeout.String())
	if s.HasLastEventID {
		h.Set("After", strconv.FormatInt(s.LastEventID, 10))
	}
}

func (testDialect) Reply(status int, h http.Header) exchange.Reply {
	r := exchange.Reply{ID: h.Get("Id"), Signed: h.Get("Signed") != "", NotRun: h.Get("Not-Run") != "", Replaced: status == 421}
	if perSecond, err := strconv.ParseFloat(h.Get("Limit"), 64); err == nil {
		r.Limit = pick.TargetLimit{Limited: true, PerSecond: perSecond}
	}
	r.Rest, _ = time.ParseDuration(h.Get("Rest"))
	r.Leaving = h.Get("Leaving") != ""
	r.Malformed = h["Malformed"]
	return r
}

// receivedRequest is a request as received by a target.
type receivedRequest struct {
	method, uri, body string
	header            http.Header
}

// target is a server that answers each request with the next of its scripts, and repeats the last
// one. A script writes raw bytes and reports whether the connection stays open.
type target struct {
	id, addr string
	// software is the version of its software.
	software string
	mu       sync.Mutex
	scripts  []script
	received []receivedRequest
	// ended receives a value for each connection that the other end has closed, and closed one for each
	// that the target has.
	ended, closed chan struct{}
	// close stops listening.
	close func()
}

type script func(c net.Conn, r receivedRequest) bool

func newTarget(t testing.TB, id string, scripts ...script) *target {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	x := &target{id: id, software: "v1", addr: l.Addr().String(), scripts: scripts, ended: make(chan struct{}, 100), closed: make(chan struct{}, 100)}
	x.close = func() { _ = l.Close() }
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go x.serve(c)
		}
	}()
	return x
}

func (x *target) serve(c net.Conn) {
	defer func() { _ = c.Close(); x.closed <- struct{}{} }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			x.ended <- struct{}{}
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s := receivedRequest{r.Method, r.RequestURI, string(body), r.Header}
		if !x.next(s)(c, s) {
			return
		}
	}
}

func (x *target) next(s receivedRequest) script {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.received = append(x.received, s)
	f := x.scripts[0]
	if len(x.scripts) > 1 {
		x.scripts = x.scripts[1:]
	}
	return f
}

func (x *target) requests() []receivedRequest {
	x.mu.Lock()
	defer x.mu.Unlock()
	return append([]receivedRequest(nil), x.received...)
}

// respond returns a script that answers with a status and a body, signed by the target.
func respond(status int, body string) script {
	return func(c net.Conn, r receivedRequest) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 %d X\r\nId: %s\r\nSigned: yes\r\nContent-Length: %d\r\nKind: k\r\n\r\n%s", status, r.header.Get("Id"), len(body), body)
		return err == nil
	}
}

// respondRaw returns a script that writes text, with %ID% replaced by the request's id.
func respondRaw(text string, stay bool) script {
	return func(c net.Conn, r receivedRequest) bool {
		_, err := io.WriteString(c, strings.ReplaceAll(text, "%ID%", r.header.Get("Id")))
		return stay && err == nil
	}
}

// sequence returns a script that runs the scripts in turn, across all targets that share it.
func sequence(scripts ...script) script {
	var n atomic.Int64
	return func(c net.Conn, s receivedRequest) bool { return scripts[n.Add(1)-1](c, s) }
}

func notRun(c net.Conn, r receivedRequest) bool {
	_, err := io.WriteString(c, "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
	return err == nil
}

func gone(c net.Conn, r receivedRequest) bool {
	_, err := io.WriteString(c, "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n")
	return err == nil
}

// afterChange returns a script that calls change before it answers.
func afterChange(change func(), then script) script {
	return func(c net.Conn, r receivedRequest) bool {
		change()
		return then(c, r)
	}
}

func closes(net.Conn, receivedRequest) bool { return false }

// untilEnded reads on until the other end has closed the connection.
func untilEnded(c net.Conn, _ receivedRequest) bool {
	_, _ = io.Copy(io.Discard, c)
	return false
}

// streamEvents returns a script that streams the events after the requested id up to last, in
// chunks. Without ends, the stream is truncated in the middle of an event.
func streamEvents(last int64, ends bool) script {
	return func(c net.Conn, r receivedRequest) bool {
		after, _ := strconv.ParseInt(r.header.Get("After"), 10, 64)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nSigned: yes\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.header.Get("Id"))
		for id := after + 1; id <= last; id++ {
			e := fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id)
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e)
		}
		if !ends {
			_, _ = io.WriteString(c, "9\r\nid: 99\nda")
			return false
		}
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	}
}

// eventText returns the events with ids from to last as a caller receives them.
func eventText(from, last int64) string {
	var b strings.Builder
	for id := from; id <= last; id++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", id, id)
	}
	return b.String()
}

// fakeStreams knows the origins of streams by key.
type fakeStreams struct {
	mu      sync.Mutex
	origins map[string]exchange.Origin
}

func (s *fakeStreams) Began(key string, o exchange.Origin) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.origins == nil {
		s.origins = map[string]exchange.Origin{}
	}
	s.origins[key] = o
}

func (s *fakeStreams) Origin(_ context.Context, key string) (exchange.Origin, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.origins[key]
	return o, ok
}

// rig is a gateway in front of targets, with servers for callers and for other regions.
type rig struct {
	options exchange.Options
	gateway *exchange.Gateway
	metrics *metrics.SiteEntry
	pool    *pick.Pool
	streams *fakeStreams
	table   *routes.Table
	view    *exchange.View
	server  *httptest.Server
	peers   *httptest.Server
}

const host = "h.example"

func newRig(t testing.TB, region string, targets ...*target) *rig {
	t.Helper()
	return newRigWith(t, region, nil, targets...)
}

func newRigWith(t testing.TB, region string, poison exchange.PoisonRequests, targets ...*target) *rig {
	t.Helper()
	r := &rig{pool: pick.New("self"), streams: &fakeStreams{}, table: &routes.Table{
		Version: 3, Services: []routes.Service{{Name: "s"}}, Limits: routes.Limits{MaxBodyBytes: 1000},
	}}
	for name, route := range map[string]routes.Route{
		"unsafe": {Kind: routes.Unsafe, Attempts: 2},
		"safe":   {Kind: routes.Safe, Attempts: 2},
		"stream": {Kind: routes.Stream, Attempts: 1},
		"resume": {Kind: routes.Stream, Attempts: 3, Resumable: true},
		"twice":  {Kind: routes.Stream, Attempts: 2, Resumable: true},
		"taken":  {Kind: routes.Stream, Attempts: 1, Aim: time.Second, Resumable: true},
		"aimed":  {Kind: routes.Stream, Attempts: 1, Aim: time.Second},
		"quick":  {Kind: routes.Unsafe, Attempts: 1, Timeout: 50 * time.Millisecond},
		"home":   {Kind: routes.Safe, Attempts: 2, HomeRegions: []string{"other"}},
	} {
		route.Name, route.Host, route.Prefix = name, host, "/"+name+"/"
		if route.Timeout == 0 {
			route.Timeout = time.Minute
		}
		route.Split = []routes.Share{{Service: "s", Weight: 1}}
		r.table.Routes = append(r.table.Routes, route)
	}
	r.setTargets(targets...)
	r.metrics = metrics.NewSiteEntry(func() metrics.EntryState { return metrics.EntryState{} })
	r.options = exchange.Options{
		Region: region, Dialect: testDialect{}, Pool: r.pool, PoisonRequests: poison, Streams: r.streams, Targets: rawhttp.NewClient(rawhttp.Options{}),
		Peers:   rawhttp.NewClient(rawhttp.Options{}),
		Retries: exchange.RetryLimits{Span: 10 * time.Second, Share: 0.2, Allowance: 100},
		Rand:    rand.New(rand.NewPCG(1, 2)), Log: zap.NewNop(),
		AccessLog: zap.NewNop(), Metrics: r.metrics,
	}
	r.gateway = exchange.New(r.options)
	r.view = &exchange.View{Index: routes.NewIndex(r.table), EntryInstances: 1}
	r.gateway.SetView(r.view)
	r.server = httptest.NewServer(r.gateway)
	r.peers = httptest.NewServer(r.gateway.ForwardedHandler())
	t.Cleanup(r.server.Close)
	t.Cleanup(r.peers.Close)
	return r
}

// setTargets replaces the targets of the pool.
func (r *rig) setTargets(targets ...*target) {
	r.setTargetsOf(map[string][]*target{"s": targets})
}

// setTargetsOf replaces the targets of the pool by service.
func (r *rig) setTargetsOf(byService map[string][]*target) {
	var list []pick.Target
	for service, targets := range byService {
		for _, x := range targets {
			list = append(list, pick.Target{ID: x.id, Service: service, Address: x.addr, Zone: "z", Slots: 4, Software: x.software})
		}
	}
	r.pool.Update(time.Now(), pick.Snapshot{Targets: list, Entries: []string{"self"}})
}

// setAccessLog rebuilds the gateway with an access log.
func (r *rig) setAccessLog(log *zap.Logger) {
	r.options.AccessLog = log
	r.rebuild()
}

// rebuild replaces the gateway after a change of its options.
func (r *rig) rebuild() {
	r.gateway = exchange.New(r.options)
	r.gateway.SetView(r.view)
	r.server.Config.Handler = r.gateway
}

// reply is an answer as received by a caller.
type reply struct {
	status int
	header http.Header
	body   string
	// truncated says that the answer is incomplete or missing.
	truncated bool
}

func (r *rig) request(path, body string) *http.Request {
	method := http.MethodPost
	if body == "" {
		method = http.MethodGet
	}
	req, err := http.NewRequest(method, r.server.URL+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.Header.Set("Id", "id-1")
	return req
}

func do(req *http.Request) reply {
	res, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return reply{truncated: true}
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	return reply{res.StatusCode, res.Header, string(body), err != nil}
}

func (r *rig) call(path, body string) reply { return do(r.request(path, body)) }
