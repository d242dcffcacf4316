package exchange

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"syscall"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/ports/rawhttp"
	"github.com/gullhaven/gullhaven/route/pick"
	"github.com/gullhaven/gullhaven/route/place"
)

// content returns what identifies the request when its caller sends it again.
func (q *request) content() Content {
	return Content{Method: q.raw.Method, Host: q.raw.Host, Target: q.raw.Target, Body: q.raw.Body, Parts: q.call.Parts, Caller: q.credential().Digest}
}

// checkPoison refuses a request that crashes its targets.
func (q *request) checkPoison() *refusal {
	if q.g.o.PoisonRequests == nil {
		return nil
	}
	admission := q.g.o.PoisonRequests.Admit(q.r.Context(), q.content(), q.sender())
	q.trial = admission.Trial
	if admission.Admitted {
		return nil
	}
	after := max(admission.RefusedFor, place.RetryAfter(place.PoisonRequest, 0))
	return &refusal{status: http.StatusServiceUnavailable, code: CodePoison, retryAfter: after}
}

func (q *request) sender() Sender {
	switch {
	case q.forwarded == nil:
		return FromCaller
	case q.forwarded.Trial:
		return FromPeerAsTrial
	}
	return FromPeer
}

// errCallerLeft ends the relaying of a stream whose caller does not read any more.
var errCallerLeft = errors.New("the caller has left")

// brokeOff reports whether an error says that the other end has closed or reset the connection before
// or within its answer. A target that is silent, or sends what is no answer, has not crashed.
func brokeOff(err error) bool {
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, errTruncated) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// reportAnswerEnd reports an answer of a target that was read to its end. A failure proves nothing, as the
// target may not have begun; the end of an unframed answer may be a crash.
func (q *request) reportAnswerEnd(a *rawhttp.Answer, p *destination) {
	if p.choice == nil || a.StatusCode >= http.StatusBadRequest {
		return
	}
	q.finished = a.Framed()
	if !q.finished && q.g.o.PoisonRequests != nil {
		q.g.o.PoisonRequests.ReportUnsettled(q.content(), q.sending(p), true)
	}
}

// reportFinished reports a request that has run to its end.
func (q *request) reportFinished() {
	if q.finished && q.g.o.PoisonRequests != nil {
		q.g.o.PoisonRequests.ReportFinished(q.content())
	}
}

// reportNotRun reports a request that has ended and that no target can have run.
func (q *request) reportNotRun() {
	if q.verdict == verdict.NotRun && q.g.o.PoisonRequests != nil {
		q.g.o.PoisonRequests.ReportNotRun(q.content())
	}
}

// reportCrash reports the target of the last attempt if err says that it broke off. How much of an
// answer it had sent by then does not matter. An instance of another region reports its own targets.
func (q *request) reportCrash(p *destination, err error) {
	if p.choice == nil || q.g.o.PoisonRequests == nil {
		return
	}
	var f *rawhttp.Failure
	switch {
	case errors.As(err, &f) && f.DialFailed:
		if q.ctx.Err() == nil {
			q.g.o.PoisonRequests.ReportUnreachable(p.choice.ID)
		}
	case q.ctx.Err() != nil || errors.Is(err, errCallerLeft):
		// The target may crash under it all the same, or has just done so.
		q.g.o.PoisonRequests.ReportUnsettled(q.content(), q.sending(p), false)
	case err == errNoEvent || err == errNoBody:
		// The answer may be whole, as that of reportAnswerEnd.
		q.g.o.PoisonRequests.ReportUnsettled(q.content(), q.sending(p), true)
	case brokeOff(err):
		q.g.o.PoisonRequests.ReportCrash(q.content(), q.sending(p))
	}
}

// reportAlive reports that a target has begun to answer the request.
func (q *request) reportAlive(p *destination) {
	if p.choice != nil && q.g.o.PoisonRequests != nil {
		q.g.o.PoisonRequests.ReportAlive(p.choice.ID)
	}
}

// sending returns the last attempt, at a target.
func (q *request) sending(p *destination) Sending {
	return Sending{Target: p.choice.ID, StartMillis: p.choice.StartMillis, SentAt: q.sentAt}
}

// partsField is a log field with the parts of the request's prompt, as its caller names them.
func (q *request) partsField() zap.Field {
	if len(q.call.Parts) == 0 {
		return zap.Skip()
	}
	return zap.Array("parts", partIDs(q.call.Parts[:min(len(q.call.Parts), maxLoggedParts)]))
}

// maxLoggedParts bounds the parts in a log line.
const maxLoggedParts = 16

type partIDs []pick.Part

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (p partIDs) MarshalLogArray(e zapcore.ArrayEncoder) error {
	for _, part := range p {
		e.AppendString(strconv.FormatUint(part.ID, 16))
	}
	return nil
}
