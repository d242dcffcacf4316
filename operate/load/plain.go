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
	// maxResends bounds how often a caller asks after a sending whose end it
	// does not know.
	maxResends = 4
	// resendPause is between them.
	resendPause = 500 * time.Millisecond
	// auditSenders ask the targets at once.
	auditSenders = 8
)

// sending is one sending of a plain request.
type sending struct {
	Request
	key    string
	resend bool
	// not is the instance that an earlier sending went to.
	not string
}

func (s *sender) plainPath(r Request) string { return fmt.Sprintf("/load/%d", r.Number) }

func (s *sender) plainBody(r Request) string {
	return fmt.Sprintf(`{"number":%d,"text":%q}`, r.Number, promptText(s.cfg, r.Number))
}

// once sends a request that runs at most once, resends it as the plan says and
// as long as its end is not known, and hands over each end. It returns what the
// key's sendings were told.
func (s *sender) once(ctx context.Context, r Request, take func(*outcome)) *history {
	h := newHistory(keyOf(s.cfg, s.run, r.Number))
	first := sending{Request: r, key: h.key}
	again := sending{Request: r, key: h.key, resend: true}
	if r.Resend == ResendDuring {
		s.both(ctx, h, first, again, take)
		return h
	}
	o := s.plain(ctx, first)
	h.add(o, false)
	take(o)
	wanted := r.Resend == ResendAfter
	for range maxResends {
		if !wanted && !unsettled(o) {
			break
		}
		wanted = false
		again.not = o.at
		if o.kind != Answered && s.sleep(ctx, resendPause) != nil {
			break
		}
		o = s.plain(ctx, again)
		h.add(o, true)
		take(o)
	}
	return h
}

// both sends twice at nearly the same time to different instances.
func (s *sender) both(ctx context.Context, h *history, first, again sending, take func(*outcome)) {
	var o [2]*outcome
	var wait sync.WaitGroup
	wait.Go(func() { o[0] = s.plain(ctx, first) })
	if s.sleep(ctx, resendDelay) == nil {
		again.not = s.instance(ctx, s.callers[first.Caller], first.Pick)
		o[1] = s.plain(ctx, again)
	}
	wait.Wait()
	for _, each := range o {
		if each != nil {
			h.add(each, false)
			take(each)
		}
	}
}

// unsettled reports whether a caller has to ask again to know whether it ran.
func unsettled(o *outcome) bool {
	switch o.kind {
	case Broken:
		return true
	case Refused:
		return o.verdict == verdict.MayHaveRun
	}
	return false
}

// plain sends once.
func (s *sender) plain(ctx context.Context, x sending) *outcome {
	o := &outcome{side: ToGateway, resend: x.resend}
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
	resp := s.reach(ctx, x.Request, o, open, x.not)
	if resp == nil {
		return o
	}
	defer resp.Body.Close()
	o.first = s.now().Sub(o.began)
	if resp.StatusCode != http.StatusOK {
		return o.refused(resp)
	}
	s.checkPlain(resp.Body, o, path, body)
	o.whole = s.now().Sub(o.began)
	o.late = o.kind == Answered && s.cfg.Deadline > 0 && o.whole > s.cfg.Deadline
	return o
}

// checkPlain checks that an answer is whole and belongs to its request.
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

// audit asks each target how often it ran each key, by sending the key to it
// once more: the stand-in counts that run too.
func (s *sender) audit(ctx context.Context, histories []*history) error {
	next := make(chan *history)
	errs := make(chan error, auditSenders)
	var wait sync.WaitGroup
	for range auditSenders {
		wait.Go(func() {
			for h := range next {
				runs, err := s.runsOf(ctx, h.key)
				if err != nil {
					select {
					case errs <- err:
					default:
					}
					continue
				}
				h.audit(runs)
			}
		})
	}
	for _, h := range histories {
		next <- h
	}
	close(next)
	wait.Wait()
	close(errs)
	var all []error
	for err := range errs {
		all = append(all, err)
	}
	return errors.Join(all...)
}

func (s *sender) runsOf(ctx context.Context, key string) (int, error) {
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
