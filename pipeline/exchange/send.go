package exchange

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/bundle/routes"
	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/ports/rawhttp"
	"github.com/gullhaven/gullhaven/route/pick"
)

// run sends the request until an attempt ends in a final answer or none may follow.
func (q *request) run() {
	if q.from == nil {
		// One that was passed on counts where it came in: the budget is of all instances
		// together, and each first sending allows repeats once.
		q.g.repeats.first(q.began, q.service, q.view.Entries)
	}
	q.g.countRoute(q.route.Name)
	for {
		now := time.Now()
		to, code := q.choose(now)
		q.g.o.Metrics.ChooseTime.Update(time.Since(now))
		if to == nil {
			q.giveUp(code)
			return
		}
		if q.attempt(to, now) {
			q.served()
			return
		}
		if q.final == nil && q.verdict == verdict.NotRun && q.revoked() {
			q.final = refuseKey()
		}
		if q.final != nil {
			q.refuse(q.final)
			return
		}
		if code, ok := q.mayGoOn(); !ok {
			q.giveUp(code)
			return
		}
	}
}

// served counts and tells of an answer.
func (q *request) served() {
	m, now := q.g.o.Metrics, time.Now()
	m.Answered.Inc(1)
	m.FirstByteTime.Update(q.first.Sub(q.began))
	m.WholeTime.Update(now.Sub(q.began))
	if q.g.o.Killers != nil {
		q.g.o.Killers.Answered(&q.raw, q.place)
	}
	// The fields are made only if the budget of lines lets the line through.
	line := q.g.o.Ordinary.Check(zap.InfoLevel, "served")
	if line == nil {
		return
	}
	line.Write(zap.String("id", q.call.ID), zap.String("place", q.place), zap.String("service", q.service),
		zap.Int("sends", q.sends), zap.Float64("wait_ms", q.wait), zap.Float64("cost_ms", q.cost), zap.String("decided_by", q.decidedBy),
		zap.Duration("left", q.until.Sub(q.began)),
		zap.Uint64("version", q.view.Index.Table.Version), zap.Duration("list_age", now.Sub(q.view.ListAt)),
		zap.Duration("first", q.first.Sub(q.began)), zap.Duration("after", now.Sub(q.began)), zap.Duration("pause", q.pause),
		zap.Int("prompt_tokens", q.call.PromptTokens), zap.String("source", q.source), zap.Bool("passed", q.from != nil))
}

// mayGoOn reports whether one more attempt may follow a failed one.
func (q *request) mayGoOn() (verdict.Code, bool) {
	now := time.Now()
	switch {
	case q.ctx.Err() != nil || !now.Before(q.until):
		return CodeTimeout, false
	case q.verdict != verdict.NotRun && (!q.route.Repeatable() || q.runs >= q.attempts):
		return CodeTargetLost, false
	case q.sends >= mostSends:
		return CodeNoTarget, false
	case q.arrived() && !q.mayRepeat(now):
		return CodeNoTarget, false
	}
	q.g.o.Metrics.Retries.Inc(1)
	return "", true
}

// mayRepeat reports whether the budget of the service allows one more sending, and counts it.
func (q *request) mayRepeat(now time.Time) bool {
	d := q.g.repeats.try(now, q.service, q.view.Entries)
	if d.tell {
		q.g.o.Log.Info("repeats", zap.String("service", q.service), zap.Bool("allowed", d.allowed), zap.Int("firsts", d.use.Firsts),
			zap.Int("extras", d.use.Extras), zap.Float64("left", d.use.Left), zap.Int("entries", q.view.Entries), zap.Duration("age", d.age))
	}
	if !d.allowed {
		q.g.o.Metrics.RetriesDenied.Inc(1)
	}
	return d.allowed
}

// arrived reports whether an attempt has reached a target, be it turned away.
func (q *request) arrived() bool { return q.turnedAway || q.runs > 0 }

// errUnreachable ends an attempt at a target that others cannot reach any more.
var errUnreachable = errors.New("the target is out of reach")

// attempt sends the request to one place and reports whether the caller has its final
// answer.
func (q *request) attempt(p *destination, now time.Time) bool {
	q.sends++
	q.g.o.Metrics.Attempts.Inc(1)
	if p.choice == nil {
		return q.attemptPeer(p, now)
	}
	q.tried = append(q.tried, p.choice.ID)
	q.place, q.source, q.decidedBy = p.choice.ID, p.choice.Source, p.decided.By
	q.sentAt, q.wait, q.cost = now, p.choice.Wait, p.choice.Cost
	ctx, cancel := context.WithCancelCause(q.ctx)
	defer cancel(nil)
	if q.route.Repeatable() {
		p.choice.OnUnreachable(func() { cancel(errUnreachable) })
	}
	a, err := q.g.o.Targets.Do(ctx, p.choice.Address, q.toTarget(p.choice, now))
	q.g.o.Metrics.SendTime.Update(time.Since(now))
	if err != nil {
		q.noteCrash(p.choice.ID, err)
		p.done(time.Now(), q.lost(p.choice.ID, err))
		return false
	}
	done, result := q.take(a, p)
	p.done(time.Now(), result)
	if !done {
		q.logAttempt(p.choice.ID, a, result)
	}
	return done
}

func (q *request) logAttempt(target string, a *rawhttp.Answer, result pick.Result) {
	q.g.o.Log.Info("attempt failed", zap.String("id", q.call.ID), zap.String("target", target), zap.Int("status", a.StatusCode),
		zap.Uint8("result", uint8(result)), zap.Stringer("verdict", q.verdict), zap.Duration("after", time.Since(q.began)))
}

// attemptPeer passes the request on to another region.
func (q *request) attemptPeer(p *destination, now time.Time) bool {
	peer := p.peer
	if q.triedRegions == nil {
		q.triedRegions = map[string]bool{}
	}
	q.triedRegions[peer.Region] = true
	q.place, q.source, q.decidedBy = peer.Address, "", ""
	q.sentAt, q.wait, q.cost = now, p.wait, p.wait
	q.g.o.Metrics.Spilled.Inc(1)
	q.g.reach.Begin(now, peer.Region)
	a, err := q.g.o.Peers.Do(q.ctx, peer.Address, q.toPeer(now))
	if err != nil {
		// A kept connection that ends tells nothing, but one that has fallen silent does.
		silent := q.ctx.Err() == nil && errors.Is(err, syscall.ETIMEDOUT)
		if q.lost(peer.Address, err) != pick.Neutral || silent {
			// Another instance of the region may be there.
			q.g.unreachable(time.Now(), peer.Address)
			if q.g.reach.Failed(time.Now(), peer.Region) {
				q.g.o.Metrics.RegionsOut.Inc(1)
				q.g.o.Log.Warn("region out of reach", zap.String("region", peer.Region), zap.Error(err))
			}
			delete(q.triedRegions, peer.Region)
		}
		return false
	}
	if q.g.reach.Answered(peer.Region) {
		q.g.o.Log.Info("region answers again", zap.String("region", peer.Region))
	}
	if a.Header.Get(headerRefused) != "" {
		q.turnedAway = q.turnedAway || a.Header.Get(headerArrived) != ""
		q.refusedBy(peer, a.StatusCode, verdict.Code(a.Header.Get(headerRefused)))
		discard(a)
		return false
	}
	q.learnTrip(peer.Region, a)
	done, _ := q.take(a, nil)
	return done
}

// learnTrip takes in how long the way to another region and back was. An instance that does
// not say how long its answer took to begin tells nothing, nor does a new connection: at the
// beginning of a peak most are new, and the region would look farther than it is from then on.
func (q *request) learnTrip(region string, a *rawhttp.Answer) {
	there, err := strconv.ParseInt(a.Header.Get(headerTook), 10, 64)
	a.Header.Del(headerTook)
	if err == nil && a.Reused() {
		q.g.trips.Learn(region, float64(time.Since(q.sentAt).Milliseconds()), float64(there))
	}
}

// refusedBy notes that an instance of another region has turned the request away. One that
// leaves says nothing of its region, and one that knows a newer configuration by which the
// request is not allowed decides for all.
func (q *request) refusedBy(peer Peer, status int, code verdict.Code) {
	now := time.Now()
	if status != http.StatusServiceUnavailable {
		if q.verdict == verdict.NotRun {
			q.final = &refusal{status: status, code: code}
		}
		return
	}
	if code == CodeLeaving {
		q.g.unreachable(now, peer.Address)
		delete(q.triedRegions, peer.Region)
		return
	}
	q.g.refused(now, RegionService{Region: peer.Region, Service: q.service})
}

// lost takes in an attempt without an answer and says what it tells of the target.
func (q *request) lost(target string, err error) pick.Result {
	var f *rawhttp.Failure
	if !errors.As(err, &f) {
		f = &rawhttp.Failure{Verdict: verdict.MayHaveRun, Err: err}
	}
	if f.Verdict != verdict.NotRun {
		q.ran(f.Verdict)
	}
	q.g.o.Log.Info("attempt lost", zap.String("id", q.call.ID), zap.String("target", target), zap.Bool("dial", f.Dial),
		zap.Bool("reused", f.Reused), zap.Error(f.Err), zap.Duration("after", time.Since(q.began)))
	switch {
	case q.ctx.Err() != nil:
		return pick.Neutral
	case f.Dial:
		return pick.Unreachable
	case f.Reused:
		return pick.Neutral
	}
	return pick.Lost
}

// noteCrash tells of a target that ended the connection in place of an answer.
func (q *request) noteCrash(target string, err error) {
	ended := errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
	if ended && q.g.o.Killers != nil && q.ctx.Err() == nil {
		q.g.o.Killers.Crashed(&q.raw, target)
	}
}

// take reads an answer and relays it, or finds that another attempt is needed. p is nil
// for an answer of another instance.
func (q *request) take(a *rawhttp.Answer, p *destination) (done bool, result pick.Result) {
	reply := q.g.o.Dialect.Reply(a.StatusCode, a.Header)
	if p != nil && (reply.ID == q.call.ID || reply.NotRun) && !reply.Gone {
		q.noteLimit(p, reply.Named)
	}
	switch {
	case reply.Gone:
		q.turnedAway = true
		discard(a)
		return false, pick.Replaced
	case reply.NotRun:
		q.turnedAway = true
		discard(a)
		return false, pick.Rejected
	case !reply.Signed || reply.ID != q.call.ID || a.Header.Get("Content-Encoding") != "":
		// Bytes that belong to another request or to none.
		a.Close(false)
		q.ran(verdict.MayHaveRun)
		return false, pick.Failed
	case q.route.Kind == routes.Stream && a.StatusCode == http.StatusOK:
		return q.takeStream(a, p)
	}
	return q.takeWhole(a)
}

// noteLimit takes in the limit that a target names in an answer of its own.
func (q *request) noteLimit(p *destination, n pick.TargetLimit) {
	news := p.choice.LearnLimit(time.Now(), n)
	if p.by != nil && p.decided.Limit != n {
		p.by.Named(p.decided, n)
	}
	if !news {
		return
	}
	q.g.o.Log.Info("target names a limit", zap.String("target", p.choice.ID), zap.Bool("limited", n.Limited), zap.Float64("per_second", n.PerSecond),
		zap.String("service", q.service), zap.String("id", q.call.ID), zap.String("decided_by", q.decidedBy))
}

// ran counts a target that ran the request or may have.
func (q *request) ran(v verdict.Verdict) {
	q.runs++
	q.verdict = q.verdict.Join(v)
}

// wholeAnswer is an answer that was read to its end.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// maxWhole bounds an answer that is read whole, in bytes.
const maxWhole = 16 << 20

// readWhole reads a body to its end and reports whether that was its true end.
func readWhole(a *rawhttp.Answer) ([]byte, bool) {
	if a.ContentLength == 0 {
		return nil, true
	}
	if n := a.ContentLength; n > 0 && n <= maxWhole && a.Request == nil {
		body := make([]byte, n)
		_, err := io.ReadFull(a.Body, body)
		return body, err == nil
	}
	body, err := io.ReadAll(io.LimitReader(a.Body, maxWhole+1))
	return body, err == nil && len(body) <= maxWhole
}

// discard reads an answer that nobody gets, so that its connection can be kept.
func discard(a *rawhttp.Answer) {
	_, complete := readWhole(a)
	a.Close(complete)
}

// takeWhole relays an answer that is no stream of events. It is read whole first: one
// that breaks off can be asked for again, and never looks complete.
func (q *request) takeWhole(a *rawhttp.Answer) (bool, pick.Result) {
	body, complete := readWhole(a)
	a.Close(complete)
	if !complete {
		q.ran(verdict.MayHaveRun)
		if q.ctx.Err() != nil {
			return false, pick.Neutral
		}
		return false, pick.Failed
	}
	q.ran(verdict.Ran)
	answer := &wholeAnswer{status: a.StatusCode, header: a.Header, body: body}
	if a.StatusCode < http.StatusInternalServerError {
		q.deliver(answer)
		return true, pick.Good
	}
	if q.begun {
		return false, pick.Failed
	}
	if q.route.Repeatable() && q.runs < q.attempts {
		q.held = answer
		return false, pick.Failed
	}
	q.deliver(answer)
	return true, pick.Failed
}

// deliver writes a target's answer as it came.
func (q *request) deliver(answer *wholeAnswer) {
	q.first = time.Now()
	h := q.w.Header()
	copyAnswerHeaders(h, answer.header)
	q.tellTook(h)
	if q.r.Method == http.MethodHead {
		if v := answer.header.Get("Content-Length"); v != "" {
			h.Set("Content-Length", v)
		}
	} else {
		setLength(h, len(answer.body))
	}
	q.w.WriteHeader(answer.status)
	// The caller may have left; its context tells.
	_, _ = q.w.Write(answer.body)
}
