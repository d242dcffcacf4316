// Package rawhttp sends single HTTP/1.1 requests over kept connections and says for
// each failure whether the request may have reached the other end.
//
// http.Transport is not used: it sends some requests a second time by itself when a
// kept connection turns out to be closed, and it does not tell whether a byte of a
// failed request has left. Messages are read and written by net/http's own parser.
package rawhttp

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gullhaven/gullhaven/coord/verdict"
)

// Defaults of Options.
const (
	// DefaultDialTime is how long a connection may take: well over the 2 ms that a
	// target of the region needs, and short enough to try another one in time.
	DefaultDialTimeout = 400 * time.Millisecond
	// DefaultIdleTime is how long an unused connection is kept where the other end
	// does not say; it is below the idle timeouts of common servers.
	DefaultIdleTimeout = 4 * time.Second
	// DefaultSilence is how long sent bytes may stay unacknowledged before the
	// connection is given up by the kernel: three repeats inside a region.
	DefaultAckTimeout = 1500 * time.Millisecond
)

const (
	// idleMargin is taken off an idle timeout that the other end names, so that a
	// request does not cross its close.
	idleMargin = 600 * time.Millisecond
	// readBuffer is the size of a connection's reading buffer in bytes: an answer of
	// 800 bytes or a few events.
	readBuffer = 2 << 10
	// asyncBody is the length in bytes from which on a body is written beside the
	// reading of the answer: the other end may answer first and read on later, and
	// with small windows both ends would wait for each other.
	asyncBody = 8 << 10
)

// Options of a Client. Zero values take the defaults.
type Options struct {
	DialTimeout, IdleTimeout, AckTimeout time.Duration
}

// Client keeps connections to any number of addresses. It is safe for several
// goroutines.
type Client struct {
	o Options

	mu   sync.Mutex
	idle map[string][]*conn // newest last
	// Dials counts new connections.
	dials uint64
}

// NewClient makes a Client. Run closes idle connections in time.
func NewClient(o Options) *Client {
	if o.DialTimeout <= 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
	if o.AckTimeout <= 0 {
		o.AckTimeout = DefaultAckTimeout
	}
	return &Client{o: o, idle: map[string][]*conn{}}
}

// Request is one request, ready to be written.
type Request struct {
	// Method, Target (path and query) and Host are written as they are.
	Method, Target, Host string
	Header               http.Header
	Body                 []byte
	// HasBody says that the request has a body, be it of no bytes.
	HasBody bool
}

// Failure is a request without an answer.
type Failure struct {
	// Verdict is NotRun only if no byte of the request can have been read there.
	Verdict verdict.Verdict
	// Dial says that no connection was made.
	DialFailed bool
	// Reused says that the connection had carried requests before.
	Reused bool
	Err    error
}

// Error returns the cause with the verdict.
func (f *Failure) Error() string { return fmt.Sprintf("%v (%v)", f.Err, f.Verdict) }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

type conn struct {
	net.Conn
	r         *bufio.Reader
	addr      string
	idleUntil time.Time
	used      bool
}

// Answer is the head of an answer; its body is read from Body. Close must be called
// once.
type Answer struct {
	*http.Response
	client *Client
	c      *conn
	ctx    context.Context
	stop   func() bool
	// written is closed when the request is written whole; nil if it was before.
	written chan struct{}
}

// Do sends a request and reads the head of the answer. ctx ends all of it, the
// reading of the body too. The error is a *Failure.
func (c *Client) Do(ctx context.Context, addr string, req *Request) (*Answer, error) {
	cn, err := c.connection(ctx, addr)
	if err != nil {
		return nil, &Failure{Verdict: verdict.NotRun, DialFailed: true, Err: err}
	}
	a := &Answer{client: c, c: cn, ctx: ctx}
	a.stop = context.AfterFunc(ctx, func() { _ = cn.SetDeadline(past) })
	if err := a.write(req); err != nil {
		a.abandon()
		return nil, a.failure(ctx, err)
	}
	if err := a.readHead(req); err != nil {
		a.abandon()
		return nil, a.failure(ctx, err)
	}
	return a, nil
}

func (a *Answer) failure(ctx context.Context, err error) *Failure {
	if ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	return &Failure{Verdict: verdict.MayHaveRun, Reused: a.c.used, Err: err}
}

// write sends the request in one piece, or its body beside the reading.
func (a *Answer) write(req *Request) error {
	head := appendHead(make([]byte, 0, headSize(req)), req)
	if len(req.Body) < asyncBody {
		_, err := a.c.Write(append(head, req.Body...))
		return err
	}
	if _, err := a.c.Write(head); err != nil {
		return err
	}
	a.written = make(chan struct{})
	go func() {
		// A failure shows in the reading of the answer: the connection is not kept
		// unless written is closed by then.
		if _, err := a.c.Write(req.Body); err == nil {
			close(a.written)
		}
	}()
	return nil
}

func headSize(req *Request) int {
	n := 64 + len(req.Method) + len(req.Target) + len(req.Host)
	for name, values := range req.Header {
		for _, v := range values {
			n += len(name) + len(v) + 4
		}
	}
	if len(req.Body) < asyncBody {
		n += len(req.Body)
	}
	return n
}

func appendHead(b []byte, req *Request) []byte {
	b = append(b, req.Method...)
	b = append(b, ' ')
	b = append(b, req.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, req.Host...)
	b = append(b, "\r\n"...)
	for name, values := range req.Header {
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	if req.HasBody {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(req.Body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// readHead reads the head of the final answer; interim ones are skipped.
func (a *Answer) readHead(req *Request) error {
	for {
		res, err := http.ReadResponse(a.c.r, &http.Request{Method: req.Method})
		if err != nil {
			return err
		}
		if res.StatusCode >= 200 || res.StatusCode == http.StatusSwitchingProtocols {
			a.Response = res
			return nil
		}
	}
}

// Reused reports whether the connection had carried requests before.
func (a *Answer) Reused() bool { return a.c.used }

// Framed reports whether the end of the body can be told from a lost connection.
func (a *Answer) Framed() bool {
	return a.ContentLength >= 0 || len(a.TransferEncoding) > 0
}

// Within bounds the wait for the next bytes of the body.
func (a *Answer) SetReadTimeout(d time.Duration) {
	_ = a.c.SetReadDeadline(time.Now().Add(d))
	if a.ctx.Err() != nil {
		// The end of the context may have been overwritten.
		_ = a.c.SetDeadline(past)
	}
}

// past is a deadline that ends all that waits.
var past = time.Unix(1, 0)

// Close ends the exchange. The connection is kept if complete says that the body was
// read to its end and nothing speaks against it.
func (a *Answer) Close(complete bool) {
	if !complete || !a.keepable() || !a.stop() {
		a.abandon()
		return
	}
	// A deadline of Within would end the next exchange.
	if err := a.c.SetDeadline(time.Time{}); err != nil {
		a.abandon()
		return
	}
	a.client.put(a.c, a.idleTime())
}

// keepable reports whether the next answer on the connection would be that of the
// next request. Bytes after the end of an answer belong to no request, and a request
// of which a part is still to be sent would run into the next one.
func (a *Answer) keepable() bool {
	if a.Response.Close || !a.Framed() || a.c.r.Buffered() > 0 {
		return false
	}
	if a.written == nil {
		return true
	}
	select {
	case <-a.written:
		return true
	default:
		return false
	}
}

func (a *Answer) abandon() {
	a.stop()
	// The error says only that the connection was closed before.
	_ = a.c.Close()
}

// idleTime is how long the other end keeps the connection.
func (a *Answer) idleTime() time.Duration {
	keep := a.client.o.IdleTimeout
	for _, field := range strings.Split(a.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.Atoi(value)
		if name == "timeout" && err == nil {
			keep = min(keep, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
	return keep
}

// connection returns a kept connection or makes a new one.
func (c *Client) connection(ctx context.Context, addr string) (*conn, error) {
	for {
		cn := c.take(addr)
		if cn == nil {
			return c.dial(ctx, addr)
		}
		if cn.usable() {
			return cn, nil
		}
		_ = cn.Close()
	}
}

func (c *Client) take(addr string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[addr]
	if len(list) == 0 {
		return nil
	}
	cn := list[len(list)-1]
	list[len(list)-1] = nil
	c.idle[addr] = list[:len(list)-1]
	return cn
}

func (c *Client) put(cn *conn, keep time.Duration) {
	if keep <= 0 {
		_ = cn.Close()
		return
	}
	cn.used = true
	cn.idleUntil = time.Now().Add(keep)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[cn.addr] = append(c.idle[cn.addr], cn)
}

func (c *Client) dial(ctx context.Context, addr string) (*conn, error) {
	d := net.Dialer{Timeout: c.o.DialTimeout, KeepAlive: -1}
	raw, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	if tcp, ok := raw.(*net.TCPConn); ok {
		if err := DetectDeadPeer(tcp, c.o.AckTimeout); err != nil {
			_ = raw.Close()
			return nil, err
		}
	}
	c.mu.Lock()
	c.dials++
	c.mu.Unlock()
	return &conn{Conn: raw, r: bufio.NewReaderSize(raw, readBuffer), addr: addr}, nil
}

// Keeps reports whether an unused connection to an address is kept.
func (c *Client) HasIdle(addr string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.idle[addr]) > 0
}

// Dials returns the number of connections made.
func (c *Client) Dials() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dials
}

// Run closes connections that were idle for too long, until ctx ends; then it closes
// all that are idle.
func (c *Client) Run(ctx context.Context) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			c.expire(func(*conn) bool { return true })
			return
		case now := <-tick.C:
			c.expire(func(cn *conn) bool { return now.After(cn.idleUntil) })
		}
	}
}

// Forget closes the idle connections to an address, whose target has gone.
func (c *Client) CloseIdle(addr string) {
	c.expire(func(cn *conn) bool { return cn.addr == addr })
}

func (c *Client) expire(over func(*conn) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, list := range c.idle {
		kept := list[:0]
		for _, cn := range list {
			if over(cn) {
				_ = cn.Close()
			} else {
				kept = append(kept, cn)
			}
		}
		clear(list[len(kept):])
		if c.idle[addr] = kept; len(kept) == 0 {
			delete(c.idle, addr)
		}
	}
}

// errStale: the other end has closed a kept connection or sent bytes on it that
// belong to no request.
var errStale = errors.New("kept connection is closed or holds stray bytes")
