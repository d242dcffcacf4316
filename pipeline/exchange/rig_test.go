package exchange_test

import (
	"bufio"
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

// plain is a dialect with short names.
type plain struct{}

func (plain) Call(h http.Header) (exchange.Call, error) {
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
		c.After, _ = strconv.ParseInt(text, 10, 64)
		c.HasAfter = true
	}
	if key := h.Get("Key"); key != "" {
		c.Credential = exchange.Credential{Given: true, Key: routes.DigestKey(key)}
	}
	return c, nil
}

func (plain) Conceal(h http.Header) {
	h.Del("Key")
	h.Del("Workspace")
}

func (p plain) Prepare(h http.Header, s exchange.Sending) {
	if s.Keyed {
		p.Conceal(h)
	}
	if s.Workspace != "" {
		h.Set("Workspace", s.Workspace)
	}
	h.Set("Rank", strconv.Itoa(s.Rank))
	h.Set("Meant", s.Target)
	h.Set("Left", s.Left.String())
	if s.HasAfter {
		h.Set("After", strconv.FormatInt(s.After, 10))
	}
}

func (plain) Reply(status int, h http.Header) exchange.Reply {
	r := exchange.Reply{ID: h.Get("Id"), Signed: h.Get("Signed") != "", NotRun: h.Get("Not-Run") != "", Gone: status == 421}
	if perSecond, err := strconv.ParseFloat(h.Get("Limit"), 64); err == nil {
		r.Named = pick.TargetLimit{Limited: true, PerSecond: perSecond}
	}
	return r
}

// seen is a request as a target got it.
type seen struct {
	method, uri, body string
	header            http.Header
}

// target answers each request with the next of its scripts, the last one again and
// again. A script writes raw bytes and says whether the connection stays.
type target struct {
	id, addr string
	mu       sync.Mutex
	scripts  []script
	got      []seen
	// ended counts connections that the other end has closed.
	ended chan struct{}
}

type script func(c net.Conn, r seen) bool

func newTarget(t testing.TB, id string, scripts ...script) *target {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	x := &target{id: id, addr: l.Addr().String(), scripts: scripts, ended: make(chan struct{}, 100)}
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
	defer func() { _ = c.Close() }()
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
		s := seen{r.Method, r.RequestURI, string(body), r.Header}
		if !x.next(s)(c, s) {
			return
		}
	}
}

func (x *target) next(s seen) script {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.got = append(x.got, s)
	f := x.scripts[0]
	if len(x.scripts) > 1 {
		x.scripts = x.scripts[1:]
	}
	return f
}

func (x *target) requests() []seen {
	x.mu.Lock()
	defer x.mu.Unlock()
	return append([]seen(nil), x.got...)
}

// whole answers with a status and a body of the target's own.
func whole(status int, body string) script {
	return func(c net.Conn, r seen) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 %d X\r\nId: %s\r\nSigned: yes\r\nContent-Length: %d\r\nKind: k\r\n\r\n%s", status, r.header.Get("Id"), len(body), body)
		return err == nil
	}
}

// raw writes bytes; %ID% is the request's id.
func raw(text string, stay bool) script {
	return func(c net.Conn, r seen) bool {
		_, err := io.WriteString(c, strings.ReplaceAll(text, "%ID%", r.header.Get("Id")))
		return stay && err == nil
	}
}

// inTurn is one script after the other, over all targets that have it.
func inTurn(scripts ...script) script {
	var n atomic.Int64
	return func(c net.Conn, s seen) bool { return scripts[n.Add(1)-1](c, s) }
}

func notRun(c net.Conn, r seen) bool {
	_, err := io.WriteString(c, "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
	return err == nil
}

func gone(c net.Conn, r seen) bool {
	_, err := io.WriteString(c, "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n")
	return err == nil
}

// changing does something before it answers.
func changing(change func(), then script) script {
	return func(c net.Conn, r seen) bool {
		change()
		return then(c, r)
	}
}

func closes(net.Conn, seen) bool { return false }

// events streams from the id after the asked one to last, in chunks; whole says that
// the stream ends as it should.
func events(last int64, ends bool) script {
	return func(c net.Conn, r seen) bool {
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

// pieces are the events of ids 1 to last as a caller gets them.
func pieces(from, last int64) string {
	var b strings.Builder
	for id := from; id <= last; id++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", id, id)
	}
	return b.String()
}

// rig is a gateway of region "r" before targets, with a server for callers.
type rig struct {
	options exchange.Options
	gateway *exchange.Gateway
	metrics *metrics.SiteEntry
	pool    *pick.Pool
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

func newRigWith(t testing.TB, region string, killers exchange.Killers, targets ...*target) *rig {
	t.Helper()
	r := &rig{pool: pick.New("self"), table: &routes.Table{
		Version: 3, Services: []routes.Service{{Name: "s"}}, Limits: routes.Limits{MaxBodyBytes: 1000},
	}}
	for name, route := range map[string]routes.Route{
		"unsafe": {Kind: routes.Unsafe, Attempts: 2},
		"safe":   {Kind: routes.Safe, Attempts: 2},
		"stream": {Kind: routes.Stream, Attempts: 1},
		"resume": {Kind: routes.Stream, Attempts: 3, Resumable: true},
		"aimed":  {Kind: routes.Stream, Attempts: 1, Aim: time.Second},
		"quick":  {Kind: routes.Unsafe, Attempts: 1, Timeout: 50 * time.Millisecond},
		"home":   {Kind: routes.Safe, Attempts: 2, Homes: []string{"other"}},
	} {
		route.Name, route.Host, route.Prefix = name, host, "/"+name+"/"
		if route.Timeout == 0 {
			route.Timeout = time.Minute
		}
		route.Split = []routes.Share{{Service: "s", Weight: 1}}
		r.table.Routes = append(r.table.Routes, route)
	}
	r.list(targets...)
	r.metrics = metrics.NewSiteEntry(func() metrics.EntryState { return metrics.EntryState{} })
	r.options = exchange.Options{
		Region: region, Dialect: plain{}, Pool: r.pool, Killers: killers, Targets: rawhttp.NewClient(rawhttp.Options{}),
		Peers:   rawhttp.NewClient(rawhttp.Options{}),
		Retries: exchange.RetryLimits{Span: 10 * time.Second, Share: 0.2, Allowance: 100},
		Rand:    rand.New(rand.NewPCG(1, 2)), Log: zap.NewNop(),
		Ordinary: zap.NewNop(), Metrics: r.metrics,
	}
	r.gateway = exchange.New(r.options)
	r.view = &exchange.View{Index: routes.NewIndex(r.table), Entries: 1}
	r.gateway.SetView(r.view)
	r.server = httptest.NewServer(r.gateway)
	r.peers = httptest.NewServer(r.gateway.PassedOn())
	t.Cleanup(r.server.Close)
	t.Cleanup(r.peers.Close)
	return r
}

// list has the pool know these targets.
func (r *rig) list(targets ...*target) {
	var list []pick.Target
	for _, x := range targets {
		list = append(list, pick.Target{ID: x.id, Service: "s", Address: x.addr, Zone: "z", Slots: 4})
	}
	r.pool.Update(time.Now(), pick.Snapshot{Targets: list, Entries: []string{"self"}})
}

// log makes the gateway anew with a logger for requests that are answered.
func (r *rig) log(ordinary *zap.Logger) {
	r.options.Ordinary = ordinary
	r.renew()
}

// renew makes the gateway anew after a change of its options.
func (r *rig) renew() {
	r.gateway = exchange.New(r.options)
	r.gateway.SetView(r.view)
	r.server.Config.Handler = r.gateway
}

// reply is an answer as a caller got it.
type reply struct {
	status int
	header http.Header
	body   string
	// torn says that the answer broke off.
	torn bool
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
		return reply{torn: true}
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	return reply{res.StatusCode, res.Header, string(body), err != nil}
}

func (r *rig) call(path, body string) reply { return do(r.request(path, body)) }
