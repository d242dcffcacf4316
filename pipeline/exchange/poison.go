package exchange

import (
	"errors"
	"io"
	"net/http"
	"syscall"

	"github.com/gullhaven/gullhaven/route/place"
)

// content returns what identifies the request when its caller sends it again.
func (q *request) content() Content {
	return Content{Method: q.raw.Method, Host: q.raw.Host, Target: q.raw.Target, Body: q.raw.Body, Caller: q.call.Credential.Digest}
}

// checkPoison refuses a request that crashes its targets.
func (q *request) checkPoison() *refusal {
	if q.g.o.PoisonRequests == nil {
		return nil
	}
	refusedFor, ok := q.g.o.PoisonRequests.Admit(q.r.Context(), q.content(), q.forwarded != nil)
	if ok {
		return nil
	}
	after := max(refusedFor, place.RetryAfter(place.PoisonRequest, 0))
	return &refusal{status: http.StatusServiceUnavailable, code: CodePoison, retryAfter: after}
}

// reportCrash reports a target that closed the connection instead of answering.
func (q *request) reportCrash(target string, err error) {
	ended := errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
	if ended && q.g.o.PoisonRequests != nil && q.ctx.Err() == nil {
		q.g.o.PoisonRequests.ReportCrash(q.content(), target, q.sentAt)
	}
}
