// Package transport holds the HTTP transports to targets and reports for each
// failed attempt whether it may have reached the target.
package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/gullhaven/gullhaven/coord/httpconn"
	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/ports"
	"github.com/gullhaven/gullhaven/ports/rawhttp"
)

const (
	defaultDialTimeout    = time.Second
	defaultMaxIdlePerHost = 256
	idleTimeout           = 60 * time.Second
	// Buffers of one connection are allocated for as long as a stream is open, and
	// its reader has a buffer of its own. The defaults of 4 KiB each would be a
	// tenth of an open stream's memory.
	readBufferBytes  = 2 << 10
	writeBufferBytes = 1 << 10
)

// Transports sends requests to targets, over reused or new connections. It is safe
// for concurrent use.
type Transports struct {
	kept  *httpconn.Transport
	fresh *httpconn.Transport
}

// Options of Transports; zero values mean the defaults.
type Options struct {
	// DialTimeout bounds the time to connect; default 1 s.
	DialTimeout time.Duration
	// MaxIdlePerHost bounds idle connections to one target; default 256.
	MaxIdlePerHost int
}

// NewTransports returns transports with the options.
func NewTransports(o Options) *Transports {
	if o.DialTimeout <= 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.MaxIdlePerHost <= 0 {
		o.MaxIdlePerHost = defaultMaxIdlePerHost
	}
	dialer := &net.Dialer{Timeout: o.DialTimeout}
	kept := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			watched, err := watch(c)
			if err != nil {
				return nil, err
			}
			return watched, nil
		},
		MaxIdleConns:           0,
		MaxIdleConnsPerHost:    o.MaxIdlePerHost,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		ReadBufferSize:         readBufferBytes,
		WriteBufferSize:        writeBufferBytes,
		MaxResponseHeaderBytes: rawhttp.MaxHeadBytes,
	}
	fresh := kept.Clone()
	fresh.DisableKeepAlives = true
	return &Transports{kept: httpconn.NewTransport(kept), fresh: httpconn.NewTransport(fresh)}
}

// Close closes idle connections.
func (t *Transports) Close() {
	t.kept.CloseIdleConnections()
	t.fresh.CloseIdleConnections()
}

// dropStale closes a reused connection that the target has closed, before a byte of the
// request is written to it, and reports whether it did. net/http then uses another one.
//
// Without it, net/http does not notice for some milliseconds that a target has ended. A
// request written to such a connection fails with MayHaveRun, though it cannot have run and
// could be retried at another target at once.
func dropStale(info httptrace.GotConnInfo) bool {
	c, ok := info.Conn.(*httpconn.Conn)
	if !ok || !info.Reused || c.Silent() {
		return false
	}
	_ = info.Conn.Close()
	return true
}

// Do sends a request. Its error is a *verdict.Error: NotRun if there was no
// connection, or the target had closed it before the request came, else MayHaveRun.
//
// With once the request gets a connection of its own. net/http retries a request by
// itself when a reused connection turns out to be closed and the request is a GET, or
// has an Idempotency-Key header and a body that can be read again. A request that may
// run only once would then run twice, and none of our counters would show it. On a new
// connection net/http never retries. A target sees one connection for each such request.
func (t *Transports) Do(req *http.Request, once bool) (*http.Response, error) {
	// net/http may use several connections in turn. last is the newest, and mayBeRead says that an
	// earlier one may have brought a byte of the request to the target.
	var last atomic.Pointer[evidence]
	var mayBeRead atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		e := evidenceOf(info.Conn)
		if e == nil || dropStale(info) {
			return
		}
		e.begin()
		if earlier := last.Swap(e); earlier != nil && earlier.abandon() {
			mayBeRead.Store(true)
		}
	}}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	rt := t.kept
	if once {
		rt = t.fresh
	}
	resp, err := rt.RoundTrip(req)
	if err == nil {
		return resp, nil
	}
	if errors.Is(err, io.EOF) {
		// errors.Is must not find io.EOF, which means the end of an answer.
		err = io.ErrUnexpectedEOF
	}
	e := last.Load()
	if e != nil && e.abandon() {
		mayBeRead.Store(true)
	}
	switch {
	case mayBeRead.Load():
	case e == nil:
		return nil, &verdict.Error{Code: ports.CodeUnreached, Message: "no connection to the target", Err: err}
	default:
		return nil, &verdict.Error{Code: ports.CodeUnreached, Message: "the target had closed the connection", Err: err}
	}
	return nil, &verdict.Error{
		Verdict: verdict.MayHaveRun,
		Code:    ports.CodeStreamCut,
		Message: "connection to the target broke before an answer",
		Err:     err,
	}
}
