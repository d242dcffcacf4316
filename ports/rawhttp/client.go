// Package rawhttp sends HTTP/1.1 requests over persistent connections and reports for
// each failure whether the request may have reached the peer.
//
// http.Transport is not used: it retries some requests by itself when a reused
// connection turns out to be closed, and it does not report whether a byte of a failed
// request was sent. Answers are parsed by net/http, after httpconn has found them valid.
package rawhttp

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gullhaven/gullhaven/coord/httpconn"
	"github.com/gullhaven/gullhaven/coord/memory"
	"github.com/gullhaven/gullhaven/coord/verdict"
)

// Defaults of Options.
const (
	// DefaultDialTimeout is well above the 2 ms that a target of the region needs, and
	// short enough to try another one in time.
	DefaultDialTimeout = 400 * time.Millisecond
	// DefaultIdleTimeout is how long an idle connection is kept if the peer announces no
	// timeout; it is below the idle timeouts of common servers.
	DefaultIdleTimeout = 4 * time.Second
	// DefaultAckTimeout is how long sent bytes may stay unacknowledged before the kernel
	// closes the connection: three retransmissions inside a region.
	DefaultAckTimeout = 1500 * time.Millisecond
)

// MaxHeadBytes bounds the head of an answer with all interim answers before it. An answer names its request,
// so its head may be as long as that of a request.
const MaxHeadBytes = http.DefaultMaxHeaderBytes

const (
	// idleTimeoutMargin is subtracted from an idle timeout that the peer announces, so
	// that a request does not race with its close.
	idleTimeoutMargin = 600 * time.Millisecond
	// readBufferBytes is the size of a connection's read buffer: an answer of 800 bytes
	// or a few events.
	readBufferBytes = 2 << 10
	// asyncBodyBytes is the length from which on a body is written while the answer is
	// read: the peer may answer before it has read the body, and with small TCP windows
	// both ends would wait for each other.
	asyncBodyBytes = 8 << 10
)

// ErrHeadTooLong is the cause of a Failure whose answer has a head of more than MaxHeadBytes.
var ErrHeadTooLong = errors.New("the head of the answer is longer than " + strconv.Itoa(MaxHeadBytes) + " bytes")

// ErrHeadsTooLong is the cause of a Failure whose answer has a long head while the heads of other answers take up
// the memory for them.
var ErrHeadsTooLong = errors.New("the heads of all answers together take up too much memory")

// Broken reports whether err says that an answer is not valid HTTP.
func Broken(err error) bool {
	var e *httpconn.Error
	return errors.As(err, &e) || errors.Is(err, ErrHeadTooLong)
}

// Options of a Client. Zero values mean the defaults.
type Options struct {
	DialTimeout, IdleTimeout, AckTimeout time.Duration
	// Memory bounds the heads of all answers; default one of memory.DefaultLimit of its own.
	Memory *memory.Budget
}

// Client has a pool of connections to any number of addresses. It is safe for concurrent
// use.
type Client struct {
	o Options

	mu   sync.Mutex
	idle map[string][]*conn // newest last
	// dials counts new connections.
	dials uint64
}

// NewClient returns a Client. Run must be called to close idle connections in time.
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
	if o.Memory == nil {
		o.Memory = memory.New(memory.DefaultLimit)
	}
	return &Client{o: o, idle: map[string][]*conn{}}
}

// Request is one request, ready to be written.
type Request struct {
	// Method, Target (path and query) and Host are written as they are.
	Method, Target, Host string
	Header               http.Header
	Body                 []byte
	// HasBody is true if the request has a body, even an empty one.
	HasBody bool
}

// Failure is a request without an answer.
type Failure struct {
	// Verdict is NotRun only if the peer cannot have read a byte of the request.
	Verdict verdict.Verdict
	// DialFailed is true if no connection was made.
	DialFailed bool
	// Reused is true if the connection had carried requests before.
	Reused bool
	Err    error
}

// Error returns the cause with the verdict.
func (f *Failure) Error() string { return fmt.Sprintf("%v (%v)", f.Err, f.Verdict) }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

type conn struct {
	*httpconn.Conn
	r         *bufio.Reader
	addr      string
	idleUntil time.Time
	reused    bool
	// inHead says that a head is being read, of which headLeft bytes may still come.
	inHead   bool
	headLeft int
	// head is the share of the answer's head in those of all, and headErr why it must not be read on.
	head    *memory.Share
	headErr error
}

// Read reads from the connection, within the bound of a head.
func (c *conn) Read(p []byte) (int, error) {
	if !c.inHead {
		return c.Conn.Read(p)
	}
	if c.headErr == nil && c.headLeft <= 0 {
		c.headErr = ErrHeadTooLong
	}
	if c.headErr != nil {
		// net/http reads on after an error between two lines.
		return 0, c.headErr
	}
	n, err := c.Conn.Read(p[:min(len(p), c.headLeft)])
	c.headLeft -= n
	if !c.head.Take(time.Now(), memory.HeadBytes(p[:n])) {
		c.headErr = ErrHeadsTooLong
		return 0, c.headErr
	}
	return n, err
}

// Answer is the head of an answer; its body is read from Body. Close must be called
// exactly once.
type Answer struct {
	*http.Response
	client *Client
	c      *conn
	ctx    context.Context
	stop   func() bool
	// written is closed when the whole request is written; nil if it is written before Do
	// reads the answer.
	written chan struct{}
	// unnamed says that the answer names no request.
	unnamed bool
}

// Do sends a request and reads the head of the answer. The end of ctx also ends the
// reading of the body. The error is a *Failure.
func (c *Client) Do(ctx context.Context, addr string, req *Request) (*Answer, error) {
	cn, err := c.getConn(ctx, addr, req.Method)
	if err != nil {
		return nil, &Failure{Verdict: verdict.NotRun, DialFailed: true, Err: err}
	}
	a := &Answer{client: c, c: cn, ctx: ctx}
	a.stop = context.AfterFunc(ctx, func() { _ = cn.SetDeadline(pastDeadline) })
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
	return &Failure{Verdict: verdict.MayHaveRun, Reused: a.c.reused, Err: err}
}

// write sends the request in one write, or a long body while the answer is read.
func (a *Answer) write(req *Request) error {
	head := appendHead(make([]byte, 0, headSize(req)), req)
	if len(req.Body) < asyncBodyBytes {
		_, err := a.c.Write(append(head, req.Body...))
		return err
	}
	if _, err := a.c.Write(head); err != nil {
		return err
	}
	a.written = make(chan struct{})
	go func() {
		// A failure shows when the answer is read: the connection is reused only if
		// written is closed by then.
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
	if len(req.Body) < asyncBodyBytes {
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

// readHead reads the head of the final answer; interim answers (1xx) are skipped.
func (a *Answer) readHead(req *Request) error {
	a.c.inHead, a.c.headLeft, a.c.headErr = true, MaxHeadBytes, nil
	a.c.head = a.client.o.Memory.Open(nil)
	defer func() { a.c.inHead = false }()
	for {
		res, err := http.ReadResponse(a.c.r, &http.Request{Method: req.Method})
		switch {
		case err != nil && a.c.headErr != nil:
			return a.c.headErr
		case err != nil:
			return a.c.Cause(err)
		case res.StatusCode >= http.StatusOK:
			if res.Body != http.NoBody {
				res.Body = &body{res.Body, a.c}
			}
			a.Response = res
			return nil
		}
	}
}

// body is the body of an answer, whose errors say what is wrong with the answer.
type body struct {
	io.ReadCloser
	c *conn
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	return n, b.c.Cause(err)
}

// Reused reports whether the connection had carried requests before.
func (a *Answer) Reused() bool { return a.c.reused }

// Unnamed records that the answer names no request. A copy of it that comes late names none either, and would
// be taken for the answer to the next request, so the connection gets no other one.
func (a *Answer) Unnamed() { a.unnamed = true }

// Framed reports whether the end of the body can be distinguished from a lost connection.
func (a *Answer) Framed() bool { return Framed(a.Response) }

// Framed is Answer.Framed for any answer.
func Framed(r *http.Response) bool { return r.ContentLength >= 0 || len(r.TransferEncoding) > 0 }

// MayLackBody reports whether an answer, if its connection is closed before the first byte of a body, may have been
// broken off. That of a failure says all in its status.
func MayLackBody(r *http.Response) bool {
	return r.StatusCode < http.StatusMultipleChoices && r.Body != http.NoBody && !Framed(r)
}

// SetReadTimeout sets a deadline for reading the body, d from now.
func (a *Answer) SetReadTimeout(d time.Duration) {
	_ = a.c.SetReadDeadline(time.Now().Add(d))
	if a.ctx.Err() != nil {
		// The deadline set at the end of the context may have been overwritten.
		_ = a.c.SetDeadline(pastDeadline)
	}
}

// Silent reports whether nothing has arrived that was not read yet: neither bytes nor the end of the
// connection. It may be called while the body is read.
func (a *Answer) Silent() bool { return a.c.Silent() }

// Quiet reports whether nothing of the answer is left to be read now. Only the reader of the body may call it.
func (a *Answer) Quiet() bool { return a.c.r.Buffered() == 0 && a.Silent() }

// pastDeadline is a deadline that ends all pending reads and writes.
var pastDeadline = time.Unix(1, 0)

// Close ends the exchange. complete must be true only if the body was read to its end; the
// connection is then reused if it is in a clean state.
func (a *Answer) Close(complete bool) {
	a.c.head.Close()
	if !complete || !a.reusable() || !a.stop() {
		a.abandon()
		return
	}
	// A deadline of SetReadTimeout would end the next exchange.
	if err := a.c.SetDeadline(time.Time{}); err != nil {
		a.abandon()
		return
	}
	a.client.putIdle(a.c, a.idleTimeout())
}

// reusable reports whether the next answer on the connection would be that of the next
// request. Bytes after the end of an answer belong to no request, and the unsent rest of
// a request would be mixed with the next one.
func (a *Answer) reusable() bool {
	if a.Response.Close || a.unnamed || !a.Framed() || !a.c.Idle() || a.c.r.Buffered() > 0 {
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
	if a.c.head != nil {
		a.c.head.Close()
	}
	// The only error is that the connection is closed already.
	_ = a.c.Close()
}

// idleTimeout returns how long the connection may stay idle.
func (a *Answer) idleTimeout() time.Duration {
	timeout := a.client.o.IdleTimeout
	for _, field := range strings.Split(a.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.Atoi(value)
		if name == "timeout" && err == nil {
			timeout = min(timeout, time.Duration(seconds)*time.Second-idleTimeoutMargin)
		}
	}
	return timeout
}

// getConn returns an idle connection or makes a new one, for a request with a method.
func (c *Client) getConn(ctx context.Context, addr, method string) (*conn, error) {
	for {
		cn := c.takeIdle(addr)
		if cn == nil {
			cn, err := c.dial(ctx, addr)
			if err == nil {
				cn.Begin(method, false)
			}
			return cn, err
		}
		if cn.usable() && cn.Begin(method, false) {
			return cn, nil
		}
		_ = cn.Close()
	}
}

// takeIdle takes the newest idle connection.
func (c *Client) takeIdle(addr string) *conn {
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

func (c *Client) putIdle(cn *conn, timeout time.Duration) {
	if timeout <= 0 {
		_ = cn.Close()
		return
	}
	cn.reused = true
	cn.idleUntil = time.Now().Add(timeout)
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
	checked, err := httpconn.Dialed(raw, nil)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.dials++
	c.mu.Unlock()
	cn := &conn{Conn: checked, addr: addr}
	cn.r = bufio.NewReaderSize(cn, readBufferBytes)
	return cn, nil
}

// HasIdle reports whether there is an idle connection to an address.
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

// Run closes connections that are idle for too long, until ctx ends; then it closes all
// idle connections.
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

// CloseIdle closes the idle connections to an address, for a target that was removed.
func (c *Client) CloseIdle(addr string) {
	c.expire(func(cn *conn) bool { return cn.addr == addr })
}

func (c *Client) expire(expired func(*conn) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, list := range c.idle {
		remaining := list[:0]
		for _, cn := range list {
			if expired(cn) {
				_ = cn.Close()
			} else {
				remaining = append(remaining, cn)
			}
		}
		clear(list[len(remaining):])
		if c.idle[addr] = remaining; len(remaining) == 0 {
			delete(c.idle, addr)
		}
	}
}
