package exchange

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/bundle/routes"
	"github.com/gullhaven/gullhaven/coord/drain"
	"github.com/gullhaven/gullhaven/coord/memory"
	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/ports/rawhttp"
	"github.com/gullhaven/gullhaven/ports/serve"
	"github.com/gullhaven/gullhaven/route/place"
)

const (
	// defaultMaxBodyBytes bounds request bodies if the configuration sets no limit.
	defaultMaxBodyBytes = 4 << 20
)

// request is one request in progress.
type request struct {
	g         *Gateway
	w         http.ResponseWriter
	r         *http.Request
	view      *View
	route     *routes.Route
	call      Call
	forwarded *forwardedRequest
	// workspace is the caller's; nil for a caller without a key.
	workspace *routes.Workspace
	// limitUnits are the units consumed from the workspace's limit, and limitDecision is what
	// allowed them.
	limitUnits    float64
	limitDecision LimitDecision

	ctx        context.Context
	acceptedAt time.Time
	deadline   time.Time
	service    string
	raw        rawhttp.Request
	// maxRuns bounds the number of targets that may run the request.
	maxRuns int
	// trial says that it was admitted as a trial of a request that has crashed targets.
	trial bool

	// contentHash is the hash of contentKey, if hasContentKey is set.
	contentHash   uint64
	hasContentKey bool

	// The fields below change with each attempt.
	verdict verdict.Verdict
	// runs counts the targets that may have run the request.
	runs         int
	attemptCount int
	tried        triedPlaces
	// lastTried is the last target id or peer address; source and decidedBy belong to it.
	lastTried, source, decidedBy string
	// sentAt is when the request was sent to lastTried. expectedWaitMs is the expected time
	// to the first byte. costMs is the cost that the choice weighed, which includes the
	// delay to other requests and the cost of failures.
	sentAt                 time.Time
	expectedWaitMs, costMs float64
	// answerErr is why the answer of the last attempt is not whole; nil if it is or this instance ended it.
	answerErr error
	// firstByteAt is when the answer began.
	firstByteAt time.Time
	// longestGap is the longest time between two events of the stream.
	longestGap time.Duration
	// rejected says that a target has rejected the request without running it.
	rejected bool
	// rest is what the last target asked for when it turned the request away.
	rest time.Duration
	// refusedElsewhere says that another region has refused the request though it has targets that
	// don't rest.
	refusedElsewhere bool
	// finalRefusal is a refusal by another region that no further attempt can change.
	finalRefusal *refusal
	// hadPlace says that an attempt has taken a promised place.
	hadPlace bool
	// refusedAdmission is the decision that refused the last attempt before it was sent; nil for none.
	refusedAdmission *refusedAdmission
	// watch is that of the run in progress; nil if there is none. hedge goes on with the request after
	// that run. hedging is set in the copy of the request with which a hedge is sent.
	watch   *runWatch
	hedge   *hedge
	hedging *sentHedge
	// returnTo are the targets whose runs were ended by this instance, for a hedge or as a hedge, until the
	// request returns to them.
	returnTo []string
	// held is what the request holds: its head, its body and the answers of targets.
	held *memory.Share
	// failedAnswer is a target's failure, kept while other targets are tried.
	failedAnswer *bufferedAnswer
	// begun says that the caller has events of a stream that goes on, and origin what began it, with an
	// empty Software if that is not known.
	begun  bool
	origin Origin
	// bodyCut says that the instance has ended the reading of the body, for which the server cancels the
	// context of the request.
	bodyCut bool
	// finished says that the answer proves that a target has run the request to its end.
	finished bool
	// headWritten says that the head of the answer was written to the caller. lastEventID is
	// the last event that the caller has, if hasLastEventID is set.
	headWritten    bool
	lastEventID    int64
	hasLastEventID bool
}

// serve handles a request from acceptance to the final answer. forwarded is nil for a request
// that came from a caller.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request, forwarded *forwardedRequest) {
	g.gate.Enter()
	defer g.gate.Leave()
	q := &request{g: g, w: w, r: r, forwarded: forwarded, acceptedAt: time.Now(), view: g.firstView(r.Context())}
	if q.held = memory.FromContext(r.Context()); q.held == nil {
		q.held = g.o.Memory.Open(nil)
		defer q.held.Close()
	}
	if g.gate.Phase(q.acceptedAt) != drain.Serving || len(r.TransferEncoding) > 0 {
		// A chunked body may also have a Content-Length. The bytes between the two ends
		// would be read as a request that no caller has sent, so nothing more is read from
		// such a connection.
		w.Header().Set("Connection", "close")
	}
	if refusal := q.accept(); refusal != nil {
		q.end(refusal)
		return
	}
	if refusal := q.checkPoison(); refusal != nil {
		q.end(refusal)
		return
	}
	defer q.reportNotRun()
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	defer context.AfterFunc(g.ended, cancel)()
	q.ctx = ctx
	if refusal := q.findOrigin(); refusal != nil {
		q.end(refusal)
		return
	}
	if refusal := q.consumeLimit(); refusal != nil {
		q.end(refusal)
		return
	}
	defer q.refundLimit()
	q.run()
}

// accept finds the route and reads the whole request. A request that it refuses has not run.
func (q *request) accept() *refusal {
	if q.view == nil || q.view.Index == nil {
		return &refusal{status: http.StatusServiceUnavailable, code: CodeNoConfiguration, retryAfter: place.RetryAfter(place.Starting, 0)}
	}
	if q.forwarded != nil && q.forwarded.Version > q.view.Index.Table.Version {
		return refuseBehind()
	}
	q.route = q.view.Index.Match(q.r.Host, q.r.URL.Path)
	if q.route == nil {
		return q.refuseAsWrong(&refusal{status: http.StatusNotFound, code: CodeNoRoute})
	}
	call, err := q.g.o.Dialect.Call(q.r.Header)
	if err != nil {
		q.g.o.Log.Info("malformed request", zap.Error(err))
		return &refusal{status: http.StatusBadRequest, code: CodeMalformed, close: true}
	}
	q.call = call
	if refusal := q.identify(); refusal != nil {
		return refusal
	}
	q.lastEventID, q.hasLastEventID = call.LastEventID, call.HasLastEventID
	q.service = q.route.Pick(xxhash.Sum64String(call.ID))
	q.maxRuns = max(1, q.route.Attempts)
	q.deadline = q.acceptedAt.Add(q.route.Timeout)
	if call.Deadline > 0 && call.Deadline < q.route.Timeout {
		q.deadline = q.acceptedAt.Add(call.Deadline)
	}
	if q.forwarded != nil {
		q.deadline = q.acceptedAt.Add(q.forwarded.Timeout)
		q.maxRuns = q.forwarded.MaxRuns
		if id, ok, err := readLastEventID(q.r.Header); err != nil {
			return &refusal{status: http.StatusBadRequest, code: CodeMalformed, close: true}
		} else if ok {
			q.lastEventID, q.hasLastEventID = id, true
		}
	}
	if refusal := q.refuseEnding(); refusal != nil {
		return refusal
	}
	return q.readBody()
}

// refuseAsWrong refuses a request that the configuration does not allow: with f, after which its caller does
// not return, or, while a newer configuration may allow it, for now.
func (q *request) refuseAsWrong(f *refusal) *refusal {
	if !q.view.outdated(q.acceptedAt) {
		return f
	}
	behind := refuseBehind()
	behind.close = f.close
	return behind
}

// refuseBehind refuses a request that a configuration may allow which this instance does not have yet.
func refuseBehind() *refusal {
	return &refusal{status: http.StatusServiceUnavailable, code: CodeBehind, retryAfter: place.RetryAfter(place.Busy, 0)}
}

// pastDeadline is a deadline that ends a read in progress.
var pastDeadline = time.Unix(1, 0)

// readBody reads the whole body until the deadline, so that it can be sent to another target, and so that a
// caller's disconnect is noticed while a target works.
func (q *request) readBody() *refusal {
	q.raw = rawhttp.Request{
		Method: q.r.Method, Target: q.r.RequestURI, Host: q.r.Host,
		HasBody: q.r.ContentLength > 0 || len(q.r.TransferEncoding) > 0 || q.r.Header.Get("Content-Length") != "",
	}
	if q.r.ContentLength == 0 {
		return nil
	}
	maxBytes := q.view.Index.Table.Limits.MaxBodyBytes
	if maxBytes <= 0 {
		maxBytes = defaultMaxBodyBytes
	}
	tooLarge := &refusal{status: http.StatusRequestEntityTooLarge, code: CodeTooLarge, close: true}
	if q.r.ContentLength > maxBytes {
		return q.refuseAsWrong(tooLarge)
	}
	c := http.NewResponseController(q.w)
	// It fails only if there is no connection.
	_ = c.SetReadDeadline(q.deadline)
	stop := context.AfterFunc(q.g.ended, func() { _ = c.SetReadDeadline(pastDeadline) })
	body, err := serve.ReadBody(q.r.Body, q.held, q.r.ContentLength, maxBytes)
	stop()
	switch {
	case errors.Is(err, serve.ErrBodyTooLarge):
		return q.refuseAsWrong(tooLarge)
	case errors.Is(err, memory.ErrNoMemory):
		q.bodyCut = true
		return &refusal{status: http.StatusServiceUnavailable, code: CodeNoMemory, retryAfter: place.RetryAfter(place.Busy, time.Until(q.deadline)), close: true}
	case err != nil && q.g.ended.Err() != nil:
		q.bodyCut = true
		return refuseLeaving()
	case err != nil:
		// The caller disconnected, or its deadline has passed: there is nobody to answer. The server reads on
		// when it closes the connection, so the read deadline stays.
		panic(http.ErrAbortHandler)
	}
	// Only the body is sent to targets.
	q.r.Trailer = nil
	_ = c.SetReadDeadline(time.Time{})
	q.raw.Body = body
	return nil
}
