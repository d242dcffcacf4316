// Package sending holds the HTTP transports to targets and tells for each
// failed sending whether it can have reached the target.
package transport

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/ports"
	"github.com/gullhaven/gullhaven/ports/rawhttp"
)

const (
	defaultDialTimeout = time.Second
	defaultIdlePerHost = 256
	idleTimeout        = 60 * time.Second
	// Buffers of one connection. They stay for as long as a stream is open, and
	// its reader has a buffer of its own; the defaults of 4 KiB each would be a
	// tenth of an open stream's memory.
	readBufferBytes  = 2 << 10
	writeBufferBytes = 1 << 10
)

// Transports sends requests to targets, over kept connections or fresh ones.
type Transports struct {
	kept  *http.Transport
	fresh *http.Transport
}

// Options of Transports; zero values mean the defaults.
type Options struct {
	// DialTimeout bounds a connection's making; default 1 s.
	DialTimeout time.Duration
	// IdlePerHost bounds kept connections to one target; default 256.
	MaxIdlePerHost int
}

// NewTransports makes the transports.
func NewTransports(o Options) *Transports {
	if o.DialTimeout <= 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.MaxIdlePerHost <= 0 {
		o.MaxIdlePerHost = defaultIdlePerHost
	}
	dialer := &net.Dialer{Timeout: o.DialTimeout}
	kept := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: o.MaxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		ReadBufferSize:      readBufferBytes,
		WriteBufferSize:     writeBufferBytes,
	}
	fresh := kept.Clone()
	fresh.DisableKeepAlives = true
	return &Transports{kept: kept, fresh: fresh}
}

// Close drops idle connections.
func (t *Transports) Close() {
	t.kept.CloseIdleConnections()
	t.fresh.CloseIdleConnections()
}

// dropStale closes a kept connection that the target has closed, before a byte of the
// request is written to it, and reports that. net/http then takes another one.
//
// What goes wrong without it: a target ends, and for some milliseconds net/http has not
// noticed. A request written to such a connection fails, and its caller is told that it may
// have run, where it cannot have and could be sent elsewhere at once.
func dropStale(info httptrace.GotConnInfo) bool {
	if !info.Reused || rawhttp.CheckIdle(info.Conn) == nil {
		return false
	}
	_ = info.Conn.Close()
	return true
}

// Do sends a request. Its error is a *verdict.Error: NotRun if no connection
// was got, else MayHaveRun.
//
// With once the request goes over a connection of its own. net/http sends a
// request a second time by itself when a kept connection turns out to be closed
// and the request is a GET, or carries an Idempotency-Key header and a body
// that can be read again. For a request that may run only once this would be a
// double run that no counter of ours shows. On a fresh connection net/http
// never does so. A target then sees one connection for each such request.
func (t *Transports) Do(req *http.Request, once bool) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if !dropStale(info) {
			connected.Store(true)
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
		// Nobody may find io.EOF under it and take it for the end of an answer.
		err = io.ErrUnexpectedEOF
	}
	if !connected.Load() {
		return nil, &verdict.Error{Code: ports.CodeUnreached, Message: "no connection to the target", Err: err}
	}
	return nil, &verdict.Error{
		Verdict: verdict.MayHaveRun,
		Code:    ports.CodeStreamCut,
		Message: "connection to the target broke before an answer",
		Err:     err,
	}
}
