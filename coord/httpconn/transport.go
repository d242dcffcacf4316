package httpconn

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// Transport is an http.RoundTripper over connections of this package. An answer that is not valid is an *Error, of
// RoundTrip or of its body.
type Transport struct{ base *http.Transport }

// NewTransport returns a Transport that sends requests by base, which it changes. It speaks HTTP/1.1 alone, and TLS by
// base.TLSClientConfig; base.TLSHandshakeTimeout then bounds the whole time to connect. TLS through a proxy is not
// supported.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	config, timeout := base.TLSClientConfig, base.TLSHandshakeTimeout
	base.ForceAttemptHTTP2 = false
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if c, ok := c.(*Conn); ok {
			return c, nil
		}
		return Dialed(c, nil)
	}
	base.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		if timeout > 0 {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, timeout)
			defer cancel()
		}
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return overTLS(ctx, c, config, address)
	}
	return &Transport{base}
}

// overTLS makes the handshake on a new connection. Its answers are checked above TLS, its errors are kept below.
func overTLS(ctx context.Context, raw net.Conn, config *tls.Config, address string) (*Conn, error) {
	socket, err := NewSocket(raw, nil)
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	config = config.Clone()
	if config == nil {
		config = new(tls.Config)
	}
	if host, _, err := net.SplitHostPort(address); err == nil && config.ServerName == "" {
		config.ServerName = host
	}
	c := tls.Client(socket, config)
	if err := c.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return New(c), nil
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	// net/http may use several connections in turn.
	var last atomic.Pointer[Conn]
	upgrade := req.Header.Get("Upgrade") != ""
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		c, ok := info.Conn.(*Conn)
		if !ok {
			return
		}
		last.Store(c)
		if !c.Begin(req.Method, upgrade) {
			// net/http then uses another one.
			_ = c.Close()
		}
	}})
	res, err := t.base.RoundTrip(req.WithContext(ctx))
	c := last.Load()
	switch {
	case err != nil && c != nil && c.Broken() != nil:
		return nil, c.Broken()
	case err != nil:
		return nil, err
	case c != nil && res.Body != http.NoBody && res.StatusCode != http.StatusSwitchingProtocols:
		res.Body = &body{res.Body, c, req.Context()}
	}
	res.Request = req
	return res, nil
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// body is the body of an answer, whose errors say what is wrong with the answer.
type body struct {
	io.ReadCloser
	c   *Conn
	ctx context.Context
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && b.ctx.Err() == nil {
		err = b.c.Cause(err)
	}
	return n, err
}
