// Package plainhttp is the HTTP client of a plain service's target.
package plainhttp

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"net/url"

	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/ports"
	"github.com/gullhaven/gullhaven/ports/rawhttp"
	"github.com/gullhaven/gullhaven/ports/transport"
)

// Client is the client of one target. It is safe for concurrent use.
type Client struct {
	address    string
	transports *transport.Transports
}

// New returns a client for the target at address (IP:port).
func New(address string, t *transport.Transports) *Client {
	return &Client{address: address, transports: t}
}

// Do sends a request. It takes over r.Header. An answer of any status is no error, unless it names another
// attempt.
func (c *Client) Do(ctx context.Context, r ports.PlainRequest) (*ports.PlainAnswer, error) {
	u, err := url.Parse("http://" + c.address + r.Path)
	if err != nil {
		return nil, &verdict.Error{Code: ports.CodeInvalid, Message: "malformed path", Err: err}
	}
	u.RawQuery = r.RawQuery
	req, err := http.NewRequestWithContext(ctx, r.Method, u.String(), r.Body)
	if err != nil {
		return nil, &verdict.Error{Code: ports.CodeInvalid, Message: "malformed request", Err: err}
	}
	if r.Header != nil {
		req.Header = r.Header
	}
	req.Header.Set(ports.HeaderAttempt, string(r.Attempt))
	if r.Body != nil {
		req.ContentLength = r.Length
	}
	resp, err := c.transports.Do(req, r.Once)
	if err != nil {
		return nil, err
	}
	if err := ports.CheckAttempt(r.Attempt, resp.Header); err != nil {
		resp.Body.Close()
		return nil, err
	}
	body, err := begunBody(resp)
	if err != nil {
		resp.Body.Close()
		return nil, &verdict.Error{
			Verdict: verdict.MayHaveRun,
			Code:    ports.CodeStreamCut,
			Message: "connection to the target broke before the body of the answer",
			Err:     err,
		}
	}
	return &ports.PlainAnswer{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// begunBody returns the body of an answer. If the answer may lack it, begunBody waits for its first byte, and the
// error says why there is none.
func begunBody(resp *http.Response) (io.ReadCloser, error) {
	if !rawhttp.MayLackBody(resp) {
		return resp.Body, nil
	}
	r := bufio.NewReader(resp.Body)
	_, err := r.Peek(1)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return struct {
		io.Reader
		io.Closer
	}{r, resp.Body}, err
}

// Set has one client for each address.
type Set struct{ clients *transport.Clients[*Client] }

// NewSet returns an empty set that uses the transports.
func NewSet(t *transport.Transports) *Set { return &Set{clients: transport.NewClients(t, New)} }

// Plain returns the client for an address.
func (s *Set) Plain(address string) ports.Plain { return s.clients.At(address) }
