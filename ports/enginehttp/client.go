// Package enginehttp is the HTTP client of a model engine: completions in the
// OpenAI form, and the engine's own paths for cancel, resume, load, cache
// events, orders and KV cache.
package enginehttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/ports"
	"github.com/gullhaven/gullhaven/ports/answer"
	"github.com/gullhaven/gullhaven/ports/rawhttp"
	"github.com/gullhaven/gullhaven/ports/transport"
)

// Paths of an engine.
const (
	PathChat       = "/v1/chat/completions"
	PathCompletion = "/v1/completions"
	PathLoad       = "/load"
	PathCache      = "/cache/events"
	PathOrders     = "/orders"
	PathKV         = "/kv/"
)

const (
	// maxReportBytes bounds JSON answers of the engine's own paths.
	maxReportBytes = 4 << 20
	// maxErrorBytes bounds the part of an error's body that is kept as the cause.
	maxErrorBytes = 512
	// errorTimeout bounds the wait for that part: after a rejection the request goes on elsewhere.
	errorTimeout = 50 * time.Millisecond
)

// Client is the client of one engine. It is safe for concurrent use.
type Client struct {
	base       string
	transports *transport.Transports
	now        func() time.Time
}

// New returns a client for the engine at address (IP:port).
func New(address string, t *transport.Transports) *Client {
	return &Client{base: "http://" + address, transports: t, now: time.Now}
}

// Set has one client for each address.
type Set struct{ clients *transport.Clients[*Client] }

// NewSet returns an empty set that uses the transports.
func NewSet(t *transport.Transports) *Set { return &Set{clients: transport.NewClients(t, New)} }

// Engine returns the client for an address.
func (s *Set) Engine(address string) ports.Engine { return s.clients.At(address) }

// Complete sends a completion.
func (c *Client) Complete(ctx context.Context, m ports.Completion) (ports.Stream, error) {
	path := PathCompletion
	if m.Chat {
		path = PathChat
	}
	return c.openStream(ctx, m, path, fromStart)
}

// Resume continues an answer after chunk after.
func (c *Client) Resume(ctx context.Context, m ports.Completion, after uint64) (ports.Stream, error) {
	return c.openStream(ctx, m, attemptPath(m.Attempt, "resume"), int64(after))
}

// fromStart as the last chunk means an answer that is not resumed.
const fromStart = -1

func attemptPath(a ports.AttemptID, verb string) string {
	return PathCompletion + "/" + url.PathEscape(string(a)) + "/" + verb
}

func (c *Client) openStream(ctx context.Context, m ports.Completion, path string, after int64) (ports.Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	req, sent, err := c.completionRequest(ctx, m, path, after)
	if err != nil {
		cancel()
		return nil, &verdict.Error{Code: ports.CodeUnreached, Message: "request not made", Err: err}
	}
	resp, err := c.transports.Do(req, m.Once)
	if err != nil {
		cancel()
		return nil, err
	}
	sent.release()
	if err := ports.CheckAttempt(m.Attempt, resp.Header); err != nil {
		cancel()
		resp.Body.Close()
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		defer cancel()
		return nil, statusError(resp)
	}
	if m.Stream {
		return answer.NewStream(m.Attempt, uint64(max(0, after)), resp.Body, cancel), nil
	}
	return answer.NewWhole(resp.Body, rawhttp.Framed(resp), cancel), nil
}

func (c *Client) completionRequest(ctx context.Context, m ports.Completion, path string, after int64) (*http.Request, *sentBody, error) {
	body := m.Body
	if after != fromStart {
		body = nil
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, http.NoBody)
	if err != nil {
		return nil, nil, err
	}
	sent := newSentBody(req, body)
	h := req.Header
	h.Set("Content-Type", ports.ContentTypeJSON)
	h.Set(ports.HeaderAttempt, string(m.Attempt))
	h.Set(ports.HeaderPriority, strconv.Itoa(m.Priority))
	if !m.Deadline.IsZero() {
		left := max(1, m.Deadline.Sub(c.now()).Milliseconds())
		h.Set(ports.HeaderDeadline, strconv.FormatInt(left, 10))
	}
	if after != fromStart {
		h.Set(ports.HeaderLastEvent, string(m.Attempt)+":"+strconv.FormatInt(after, 10))
	}
	return req, sent, nil
}

// statusError converts an answer with a status other than 200 to an error. Only 429
// and other 4xx mean that the engine did not start; a 5xx can come from a failed run.
func statusError(resp *http.Response) error {
	defer resp.Body.Close()
	t := time.AfterFunc(errorTimeout, func() { resp.Body.Close() })
	defer t.Stop()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	e := &verdict.Error{
		Verdict: verdict.MayHaveRun,
		Code:    ports.CodeTargetError,
		Message: fmt.Sprintf("target answered %d", resp.StatusCode),
		Err:     errors.New(string(text)),
	}
	switch {
	case resp.StatusCode == http.StatusTooManyRequests:
		e.Verdict, e.Code = verdict.NotRun, ports.CodeRejected
		e.RetryAfter = ports.RetryAfter(resp.Header)
	case resp.StatusCode == http.StatusNotFound:
		e.Verdict, e.Code = verdict.NotRun, ports.CodeUnknownAttempt
	case resp.StatusCode >= 400 && resp.StatusCode < 500:
		e.Verdict, e.Code = verdict.NotRun, ports.CodeInvalid
	case resp.Header.Get(ports.HeaderVerdict) == verdict.NotRun.String():
		e.Verdict, e.Code = verdict.NotRun, ports.CodeRejected
	}
	if rest := ports.RetryAfter(resp.Header); rest > 0 && resp.StatusCode == http.StatusServiceUnavailable {
		e.Code, e.RetryAfter = ports.CodeResting, rest
	}
	return e
}

// Cancel ends an attempt; an unknown one is no error.
func (c *Client) Cancel(ctx context.Context, a ports.AttemptID) error {
	err := c.call(ctx, http.MethodPost, attemptPath(a, "cancel"), nil, nil)
	var e *verdict.Error
	if errors.As(err, &e) && e.Code == ports.CodeUnknownAttempt {
		return nil
	}
	return err
}

// Load returns the load report.
func (c *Client) Load(ctx context.Context) (ports.LoadReport, error) {
	var r ports.LoadReport
	return r, c.call(ctx, http.MethodGet, PathLoad, nil, &r)
}

// CacheEvents returns the events after a sequence number.
func (c *Client) CacheEvents(ctx context.Context, after uint64) ([]ports.CacheEvent, error) {
	var events []ports.CacheEvent
	path := PathCache + "?after=" + strconv.FormatUint(after, 10)
	return events, c.call(ctx, http.MethodGet, path, nil, &events)
}

// Order sends an order, unless it has expired.
func (c *Client) Order(ctx context.Context, o ports.Order) (ports.OrderResult, error) {
	var r ports.OrderResult
	if !o.Expires.IsZero() {
		if !c.now().Before(o.Expires) {
			return r, verdict.New(verdict.NotRun, ports.CodeOrderExpired, "order expired before it was sent")
		}
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, o.Expires)
		defer cancel()
	}
	body, err := json.Marshal(o)
	if err != nil {
		return r, err
	}
	return r, c.call(ctx, http.MethodPost, PathOrders, bytes.NewReader(body), &r)
}

// ExportKV returns the KV cache of an attempt. The caller must close it. An answer without a length or chunks is an
// error, as a part of a cache would be taken for the whole.
func (c *Client) ExportKV(ctx context.Context, a ports.AttemptID) (io.ReadCloser, error) {
	resp, err := c.send(ctx, http.MethodGet, PathKV+url.PathEscape(string(a)), nil)
	if err != nil {
		return nil, err
	}
	if !rawhttp.Framed(resp) {
		resp.Body.Close()
		return nil, verdict.New(verdict.Ran, ports.CodeTargetError, "the end of the KV cache cannot be told")
	}
	return resp.Body, nil
}

// ImportKV loads a KV cache.
func (c *Client) ImportKV(ctx context.Context, a ports.AttemptID, kv io.Reader) error {
	return c.call(ctx, http.MethodPut, PathKV+url.PathEscape(string(a)), kv, nil)
}

// call sends a request and decodes the JSON answer into out, if out is not nil.
func (c *Client) call(ctx context.Context, method, path string, body io.Reader, out any) error {
	resp, err := c.send(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	limited := io.LimitReader(resp.Body, maxReportBytes)
	if out == nil {
		_, err = io.Copy(io.Discard, limited)
		return err
	}
	data, err := io.ReadAll(limited)
	if err == nil {
		err = json.Unmarshal(data, out)
	}
	if err != nil {
		return &verdict.Error{Verdict: verdict.Ran, Code: ports.CodeTargetError, Message: "malformed answer of " + path, Err: err}
	}
	return nil
}

func (c *Client) send(ctx context.Context, method, path string, body io.Reader) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return nil, err
	}
	resp, err := c.transports.Do(req, method != http.MethodGet)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusPreconditionFailed {
		resp.Body.Close()
		return nil, verdict.New(verdict.NotRun, ports.CodeOldFence, "order with an old fencing number")
	}
	if resp.StatusCode >= 300 {
		return nil, statusError(resp)
	}
	return resp, nil
}
