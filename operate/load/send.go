package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/pipeline/openai"
	"github.com/gullhaven/gullhaven/ports"
	"github.com/gullhaven/gullhaven/standin"
)

const (
	dialTimeout = time.Second
	// maxMoves bounds the instances that one sending tries because the earlier
	// ones took no connection.
	maxMoves = 3
	// maxAnswerBytes bounds a whole answer of a plain service or a refusal.
	maxAnswerBytes = 1 << 20
	// enginePriority is what the gateway gives requests that name none. Without
	// it, those that go straight to the engine would wait behind the others.
	enginePriority = "5"
)

// Headers, see docs/API.md.
const (
	headerDeadline   = "Gullhaven-Deadline-Ms"
	headerIdempotent = "Gullhaven-Idempotent"
	headerKey        = "Idempotency-Key"
	headerResend     = "Gullhaven-Resend"
	headerRetryAfter = "Retry-After"
	headerVerdict    = "Gullhaven-Verdict"
)

// sender sends requests as callers do.
type sender struct {
	cfg     *Config
	client  *http.Client
	callers []*caller
	now     func() time.Time
	sleep   func(context.Context, time.Duration) error
	run     string
	// directoryFaults counts readings that failed; lastDirectory is the last error.
	directoryFaults atomic.Int64
	lastDirectory   atomic.Pointer[error]
}

// newClient makes a client that connects to loopback only, follows no redirect
// and never sends a request a second time by itself (see post).
func newClient(c *Config) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout, Control: func(_, address string, _ syscall.RawConn) error {
		return CheckLoopback(address)
	}}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: c.Concurrency,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func (s *sender) noteDirectory(err error) {
	s.directoryFaults.Add(1)
	s.lastDirectory.Store(&err)
}

// post makes a POST. Its body can't be read again: net/http would otherwise
// send a request with an Idempotency-Key a second time by itself when a kept
// connection breaks, and would call it the first sending once more.
func post(ctx context.Context, url, body, key string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	return req, nil
}

// chatBody is the body of a completion.
type chatBody struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
	Messages  []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// completion returns the body of a request and the stand-in's answer to it.
func (s *sender) completion(r Request) (body, want string, err error) {
	text := promptText(s.cfg, r.Number)
	data, err := json.Marshal(chatBody{
		Model: s.cfg.Model, Stream: true, MaxTokens: s.cfg.Tokens,
		Messages: []chatMessage{{Role: "user", Content: text}},
	})
	if err != nil || s.cfg.SkipTextCheck {
		return string(data), "", err
	}
	parsed, err := openai.Parse(openai.Chat, data)
	if err != nil {
		return "", "", err
	}
	return string(data), standin.Answer(parsed.Prompt, s.cfg.Tokens), nil
}

// model sends a completion.
func (s *sender) model(ctx context.Context, r Request) *outcome {
	o := &outcome{side: r.Dest}
	body, want, err := s.completion(r)
	if err != nil {
		return o.end(Wrong, err.Error())
	}
	open := func(address string) (*http.Request, error) {
		return s.completionRequest(ctx, r, address, body)
	}
	resp := s.reach(ctx, r, o, open)
	if resp == nil {
		return o
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return o.refused(resp)
	}
	s.followModel(resp.Body, o, want)
	return o
}

// completionRequest addresses a completion to an instance or to the engine.
func (s *sender) completionRequest(ctx context.Context, r Request, address, body string) (*http.Request, error) {
	key := s.callers[r.Caller].key
	if r.Dest == ToEngine {
		key = ""
	}
	req, err := post(ctx, "http://"+address+"/v1/chat/completions", body, key)
	if err != nil {
		return nil, err
	}
	if r.Dest == ToEngine {
		req.Header.Set(ports.HeaderPriority, enginePriority)
	}
	if s.cfg.Deadline > 0 {
		req.Header.Set(headerDeadline, strconv.FormatInt(s.cfg.Deadline.Milliseconds(), 10))
	}
	return req, nil
}

// followModel reads a streamed answer into its outcome.
func (s *sender) followModel(body io.Reader, o *outcome, want string) {
	var st stream
	last := o.began
	err := st.follow(body, s.now, func(at time.Time) {
		if o.first == 0 {
			o.first = at.Sub(o.began)
		} else {
			o.between = append(o.between, at.Sub(last))
		}
		last = at
	})
	o.whole = s.now().Sub(o.began)
	o.tokens = st.tokens
	kind, note := st.end(err, want)
	if st.failed != nil {
		o.code, o.verdict = st.failed.Error.Code, st.verdict
	}
	o.late = kind == Answered && s.cfg.Deadline > 0 && o.whole > s.cfg.Deadline
	o.end(kind, note)
}

// reach sends to the caller's instances until one takes the connection, and
// follows one refusal that names another place. It returns nil with the outcome
// closed if there is no answer.
func (s *sender) reach(ctx context.Context, r Request, o *outcome, open func(string) (*http.Request, error), not ...string) *http.Response {
	o.began = s.now()
	caller := s.callers[r.Caller]
	for range maxMoves {
		address := s.cfg.Baseline
		if r.Dest == ToGateway {
			address = s.instance(ctx, caller, r.Pick, not...)
		}
		if address == "" && r.Dest == ToGateway {
			// There is no other instance than the one before.
			address = s.instance(ctx, caller, r.Pick)
		}
		if address == "" {
			break
		}
		resp, err := s.try(o, address, open)
		if err == nil {
			return s.redirected(o, resp, open)
		}
		if !unreached(err) {
			o.end(brokenOr(ctx, Broken), err.Error())
			return nil
		}
		o.note = err.Error()
		caller.left(address)
		o.moved++
	}
	o.end(brokenOr(ctx, Unreached), o.note)
	return nil
}

func (s *sender) try(o *outcome, address string, open func(string) (*http.Request, error)) (*http.Response, error) {
	req, err := open(address)
	if err != nil {
		return nil, err
	}
	o.at = address
	return s.client.Do(req)
}

// redirected follows a 421 to the place that it names.
func (s *sender) redirected(o *outcome, resp *http.Response, open func(string) (*http.Request, error)) *http.Response {
	if resp.StatusCode != http.StatusMisdirectedRequest {
		return resp
	}
	next, err := resp.Location()
	if err != nil || CheckLoopback(next.Host) != nil {
		return resp
	}
	resp.Body.Close()
	o.redirected++
	followed, err := s.try(o, next.Host, open)
	if err != nil {
		o.end(Broken, err.Error())
		return nil
	}
	return followed
}

// unreached reports whether no connection was made, so that nothing was sent.
func unreached(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// brokenOr tells the end of the run from a fault.
func brokenOr(ctx context.Context, k Kind) Kind {
	if ctx.Err() != nil {
		return Unfinished
	}
	return k
}

// refused checks a refusal and closes the outcome.
func (o *outcome) refused(resp *http.Response) *outcome {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return o.end(Broken, err.Error())
	}
	body, v, err := parseRefusal(data)
	if err == nil {
		o.code, o.verdict = body.Error.Code, v
		err = checkRefusal(resp, body, v)
	}
	if err != nil {
		return o.end(BadRefusal, fmt.Sprintf("%d %s: %v", resp.StatusCode, o.code, err))
	}
	return o.end(Refused, "")
}

// checkRefusal checks what stands beside a refusal's body. Whoever is refused
// with 429 or 503 is told when to come back.
func checkRefusal(resp *http.Response, body *refusalBody, v verdict.Verdict) error {
	if got := resp.Header.Get(headerVerdict); got != v.String() {
		return fmt.Errorf("header says verdict %q, the body %q", got, v)
	}
	if resp.StatusCode != http.StatusTooManyRequests && resp.StatusCode != http.StatusServiceUnavailable {
		return nil
	}
	if seconds, err := strconv.Atoi(resp.Header.Get(headerRetryAfter)); err != nil || seconds < 1 {
		return fmt.Errorf("%s is %q", headerRetryAfter, resp.Header.Get(headerRetryAfter))
	}
	if body.Error.RetryAfterMillis < 1 {
		return errors.New("retry_after_ms is missing")
	}
	return nil
}
