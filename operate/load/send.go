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

	"github.com/gullhaven/gullhaven/coord/httpconn"
	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/pipeline/openai"
	"github.com/gullhaven/gullhaven/ports"
	"github.com/gullhaven/gullhaven/ports/rawhttp"
	"github.com/gullhaven/gullhaven/standin"
)

const (
	dialTimeout = time.Second
	// maxFailovers bounds the instances that one attempt tries until one accepts a
	// connection.
	maxFailovers = 3
	// maxAnswerBytes bounds an answer of a plain service and a refusal.
	maxAnswerBytes = 1 << 20
	// enginePriority is the gateway's priority for requests that name none. Without
	// it, requests sent directly to the engine would wait behind the others.
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

// sender sends requests as callers do and checks the answers.
type sender struct {
	cfg     *Config
	client  *http.Client
	callers []*caller
	now     func() time.Time
	sleep   func(context.Context, time.Duration) error
	run     string
	// directoryFaults counts failed reads of the directory; lastDirectoryError is
	// the error of the last one.
	directoryFaults    atomic.Int64
	lastDirectoryError atomic.Pointer[error]
}

// newClient makes a client that connects to loopback only, follows no redirect
// and never repeats a request by itself (see post).
func newClient(c *Config) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout, Control: func(_, address string, _ syscall.RawConn) error {
		return CheckLoopback(address)
	}}
	return &http.Client{
		Transport: httpconn.NewTransport(&http.Transport{
			DialContext:            dialer.DialContext,
			MaxIdleConnsPerHost:    c.Concurrency,
			DisableCompression:     true,
			MaxResponseHeaderBytes: rawhttp.MaxHeadBytes,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func (s *sender) recordDirectoryError(err error) {
	s.directoryFaults.Add(1)
	s.lastDirectoryError.Store(&err)
}

// post makes a POST request whose body can't be read again. Otherwise net/http
// would repeat a request with an Idempotency-Key by itself when an idle connection
// breaks, and mark it as the first attempt again.
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

// chatBody is the body of a completion request.
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

// completion returns the body of a request and the text that the stand-in answers,
// or "" if texts are not checked.
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

// sendModel sends a completion request.
func (s *sender) sendModel(ctx context.Context, r Request) *outcome {
	o := &outcome{dest: r.Dest}
	body, want, err := s.completion(r)
	if err != nil {
		return o.end(Wrong, err.Error())
	}
	open := func(address string) (*http.Request, error) {
		return s.completionRequest(ctx, r, address, body)
	}
	resp := s.sendToInstance(ctx, r, o, open)
	if resp == nil {
		return o
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return o.addRefusal(resp)
	}
	s.readModelAnswer(resp.Body, o, want)
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

// readModelAnswer reads a streamed answer into its outcome.
func (s *sender) readModelAnswer(body io.Reader, o *outcome, want string) {
	var st stream
	last := o.began
	err := st.read(body, s.now, func(at time.Time) {
		if o.firstToken == 0 {
			o.firstToken = at.Sub(o.began)
		} else {
			o.betweenTokens = append(o.betweenTokens, at.Sub(last))
		}
		last = at
	})
	o.total = s.now().Sub(o.began)
	o.tokens = st.tokens
	kind, note := st.end(err, want)
	if st.errorEvent != nil {
		o.code, o.verdict = st.errorEvent.Error.Code, st.verdict
	}
	o.late = kind == Answered && s.cfg.Deadline > 0 && o.total > s.cfg.Deadline
	o.end(kind, note)
}

// sendToInstance sends to the caller's instances until one accepts the connection,
// and follows one refusal that names another address. Without an answer it sets the
// outcome and returns nil.
func (s *sender) sendToInstance(ctx context.Context, r Request, o *outcome, open func(string) (*http.Request, error), exclude ...string) *http.Response {
	o.began = s.now()
	caller := s.callers[r.Caller]
	for range maxFailovers {
		address := s.cfg.Baseline
		if r.Dest == ToGateway {
			address = s.instance(ctx, caller, r.Pick, exclude...)
		}
		if address == "" && r.Dest == ToGateway {
			// Only the excluded instance is left.
			address = s.instance(ctx, caller, r.Pick)
		}
		if address == "" {
			break
		}
		resp, err := s.try(o, address, open)
		if err == nil {
			return s.followRedirect(o, resp, open)
		}
		if !dialFailed(err) {
			o.end(unfinishedOr(ctx, Broken), err.Error())
			return nil
		}
		o.note = err.Error()
		caller.markUnreachable(address)
		o.failovers++
	}
	o.end(unfinishedOr(ctx, Unreached), o.note)
	return nil
}

func (s *sender) try(o *outcome, address string, open func(string) (*http.Request, error)) (*http.Response, error) {
	req, err := open(address)
	if err != nil {
		return nil, err
	}
	o.instance = address
	return s.client.Do(req)
}

// followRedirect follows a 421 to the address in its Location header, if that is on
// loopback.
func (s *sender) followRedirect(o *outcome, resp *http.Response, open func(string) (*http.Request, error)) *http.Response {
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

// dialFailed reports whether no connection was made, so that nothing was sent.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// unfinishedOr returns Unfinished if the run has ended, else k.
func unfinishedOr(ctx context.Context, k Kind) Kind {
	if ctx.Err() != nil {
		return Unfinished
	}
	return k
}

// addRefusal reads and checks a refusal and sets the outcome.
func (o *outcome) addRefusal(resp *http.Response) *outcome {
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

// checkRefusal checks the headers of a refusal against its body. Refusals with 429
// or 503 must say when to retry.
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
