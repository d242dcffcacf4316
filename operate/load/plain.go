package load

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gullhaven/gullhaven/coord/verdict"
)

const (
	// maxResends bounds the resends of a request whose result the caller does not
	// know.
	maxResends = 4
	// resendInterval is the time between resends.
	resendInterval = 500 * time.Millisecond
	// auditSenders is the number of keys that are audited concurrently.
	auditSenders = 8
)

// attempt is one attempt of a plain request.
type attempt struct {
	Request
	key    string
	resend bool
	// exclude is the instance that an earlier attempt went to.
	exclude string
}

func (s *sender) plainPath(r Request) string { return fmt.Sprintf("/load/%d", r.Number) }

func (s *sender) plainBody(r Request) string {
	return fmt.Sprintf(`{"number":%d,"text":%q}`, r.Number, promptText(s.cfg, r.Number))
}

// sendAtMostOnce sends a request that runs at most once. It resends it as planned,
// and while its result is unknown, at most maxResends times. Each outcome goes to
// record. It returns the history of the key.
func (s *sender) sendAtMostOnce(ctx context.Context, r Request, record func(*outcome)) *history {
	h := newHistory(keyOf(s.cfg, s.run, r.Number))
	first := attempt{Request: r, key: h.key}
	again := attempt{Request: r, key: h.key, resend: true}
	if r.Resend == ResendDuring {
		s.sendTwice(ctx, h, first, again, record)
		return h
	}
	o := s.sendPlain(ctx, first)
	h.add(o, false)
	record(o)
	planned := r.Resend == ResendAfter
	for range maxResends {
		if !planned && !needsResend(o) {
			break
		}
		planned = false
		again.exclude = o.instance
		if o.kind != Answered && s.sleep(ctx, resendInterval) != nil {
			break
		}
		o = s.sendPlain(ctx, again)
		h.add(o, true)
		record(o)
	}
	return h
}

// sendTwice makes two attempts resendDelay apart at different instances.
func (s *sender) sendTwice(ctx context.Context, h *history, first, again attempt, record func(*outcome)) {
	var o [2]*outcome
	var wg sync.WaitGroup
	wg.Go(func() { o[0] = s.sendPlain(ctx, first) })
	if s.sleep(ctx, resendDelay) == nil {
		again.exclude = s.instance(ctx, s.callers[first.Caller], first.Pick)
		o[1] = s.sendPlain(ctx, again)
	}
	wg.Wait()
	for _, each := range o {
		if each != nil {
			h.add(each, false)
			record(each)
		}
	}
}

// needsResend reports whether a caller has to resend to know whether the request
// ran.
func needsResend(o *outcome) bool {
	switch o.kind {
	case Broken:
		return true
	case Refused:
		return o.verdict == verdict.MayHaveRun
	}
	return false
}

// sendPlain makes one attempt.
func (s *sender) sendPlain(ctx context.Context, x attempt) *outcome {
	o := &outcome{dest: ToGateway, resend: x.resend}
	body, path := s.plainBody(x.Request), s.plainPath(x.Request)
	open := func(address string) (*http.Request, error) {
		url := "http://" + address + "/services/" + s.cfg.Plain + path
		req, err := post(ctx, url, body, s.callers[x.Caller].key)
		if err != nil {
			return nil, err
		}
		req.Header.Set(headerKey, x.key)
		req.Header.Set(headerIdempotent, "false")
		req.Header.Set(headerResend, strconv.FormatBool(x.resend))
		if s.cfg.Deadline > 0 {
			req.Header.Set(headerDeadline, strconv.FormatInt(s.cfg.Deadline.Milliseconds(), 10))
		}
		return req, nil
	}
	resp := s.sendToInstance(ctx, x.Request, o, open, x.exclude)
	if resp == nil {
		return o
	}
	defer resp.Body.Close()
	o.firstToken = s.now().Sub(o.began)
	if resp.StatusCode != http.StatusOK {
		return o.addRefusal(resp)
	}
	s.checkPlain(resp.Body, o, path, body)
	o.total = s.now().Sub(o.began)
	o.late = o.kind == Answered && s.cfg.Deadline > 0 && o.total > s.cfg.Deadline
	return o
}

// checkPlain checks that an answer is complete and belongs to its request.
func (s *sender) checkPlain(body io.Reader, o *outcome, path, sent string) {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes))
	if err != nil {
		o.end(Broken, err.Error())
		return
	}
	var a plainAnswer
	if err := json.Unmarshal(data, &a); err != nil {
		o.end(Wrong, "not the stand-in's form: "+err.Error())
		return
	}
	sum := sha256.Sum256([]byte(sent))
	if a.Method != http.MethodPost || a.Path != path || a.Body != hex.EncodeToString(sum[:]) {
		o.end(Wrong, fmt.Sprintf("answer to %s %s, not to %s", a.Method, a.Path, path))
		return
	}
	o.plain = &a
	o.end(Answered, "")
}

// audit asks the targets how often each key ran, by sending the key once more to
// each of them. The stand-in counts that run too.
func (s *sender) audit(ctx context.Context, histories []*history) error {
	next := make(chan *history)
	errs := make(chan error, auditSenders)
	var wg sync.WaitGroup
	for range auditSenders {
		wg.Go(func() {
			for h := range next {
				runs, err := s.countRuns(ctx, h.key)
				if err != nil {
					select {
					case errs <- err:
					default:
					}
					continue
				}
				h.addAudit(runs)
			}
		})
	}
	for _, h := range histories {
		next <- h
	}
	close(next)
	wg.Wait()
	close(errs)
	var all []error
	for err := range errs {
		all = append(all, err)
	}
	return errors.Join(all...)
}

func (s *sender) countRuns(ctx context.Context, key string) (int, error) {
	runs := 0
	for _, address := range s.cfg.Audit {
		req, err := post(ctx, "http://"+address+"/audit", "{}", "")
		if err != nil {
			return 0, err
		}
		req.Header.Set(headerKey, key)
		resp, err := s.client.Do(req)
		if err != nil {
			return 0, err
		}
		var a plainAnswer
		err = json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&a)
		resp.Body.Close()
		if err != nil {
			return 0, fmt.Errorf("audit at %s: %w", address, err)
		}
		if a.Execution < 1 {
			return 0, fmt.Errorf("audit at %s: no stand-in, it counts no runs", address)
		}
		runs += a.Execution - 1
	}
	return runs, nil
}
