package exchange

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/bundle/routes"
	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/ports/rawhttp"
	"github.com/gullhaven/gullhaven/route/place"
)

const (
	// smallBody is what is read at first of a body of unknown length, in bytes.
	smallBody = 4 << 10
	// defaultMaxBody bounds bodies before a configuration says so, in bytes.
	defaultMaxBody = 4 << 20
)

// request is one request on its way.
type request struct {
	g     *Gateway
	w     http.ResponseWriter
	r     *http.Request
	view  *View
	route *routes.Route
	call  Call
	from  *passed
	// workspace is the caller's; nil where it has shown no key.
	workspace *routes.Workspace
	// units are what it took of the workspace's limit, and limit the answer that allowed it.
	units float64
	limit LimitAnswer

	ctx      context.Context
	began    time.Time
	until    time.Time
	service  string
	raw      rawhttp.Request
	attempts int

	// state of the attempts
	verdict verdict.Verdict
	// runs counts the targets that may have run it.
	runs  int
	sends int
	tried []string
	// place is the last one tried.
	place, source, decidedBy string
	// sentAt is when it was sent there. wait is how long its answer was expected to take to
	// begin, and cost what the choice weighed, with what others pay and what failures cost;
	// both in milliseconds.
	sentAt     time.Time
	wait, cost float64
	// first is when the answer began.
	first time.Time
	// pause is the longest time between two events of the stream.
	pause time.Duration
	// turnedAway says that a target has refused it without running it.
	turnedAway bool
	// triedRegions were asked and turned it away.
	triedRegions map[string]bool
	// final is the refusal of another region that no attempt changes.
	final *refusal
	// held is a target's failure, kept while others are tried.
	held *wholeAnswer
	// stream state
	begun bool
	last  int64
	has   bool
}

// serve takes a request from its acceptance to its final answer.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request, from *passed) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	q := &request{g: g, w: w, r: r, from: from, began: time.Now(), view: g.firstView(r.Context())}
	if g.draining.Load() || len(r.TransferEncoding) > 0 {
		// A body in chunks may come with a length too, and what lies between the two
		// ends would be read as a request that no caller has sent. So nothing more is
		// read from such a connection.
		w.Header().Set("Connection", "close")
	}
	if refusal := q.accept(); refusal != nil {
		q.refuse(refusal)
		return
	}
	if g.o.Killers != nil && g.o.Killers.Refused(&q.raw) {
		q.refuse(&refusal{status: http.StatusServiceUnavailable, code: CodeKiller, retry: place.RetryAfter(place.PoisonRequest, 0)})
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.until)
	defer cancel()
	q.ctx = ctx
	if refusal := q.takeLimit(); refusal != nil {
		q.refuse(refusal)
		return
	}
	defer q.settleLimit()
	q.run()
}

// accept finds the route and reads the request whole. What it refuses has not run.
func (q *request) accept() *refusal {
	if q.view == nil || q.view.Index == nil {
		return &refusal{status: http.StatusServiceUnavailable, code: CodeNoView, retry: place.RetryAfter(place.Starting, 0)}
	}
	if q.from != nil && q.from.Version > q.view.Index.Table.Version {
		return &refusal{status: http.StatusServiceUnavailable, code: CodeBehind, retry: place.RetryAfter(place.Busy, 0)}
	}
	q.route = q.view.Index.Match(q.r.Host, q.r.URL.Path)
	if q.route == nil {
		return &refusal{status: http.StatusNotFound, code: CodeNoRoute}
	}
	if q.g.cutsOff(q) {
		return &refusal{status: http.StatusServiceUnavailable, code: CodeLeaving, retry: place.RetryAfter(place.Leaving, 0)}
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
	q.last, q.has = call.After, call.HasAfter
	q.service = q.route.Pick(xxhash.Sum64String(call.ID))
	q.attempts = max(1, q.route.Attempts)
	q.until = q.began.Add(q.route.Timeout)
	if call.Deadline > 0 && call.Deadline < q.route.Timeout {
		q.until = q.began.Add(call.Deadline)
	}
	if q.from != nil {
		q.until = q.began.Add(q.from.Left)
		q.attempts = q.from.Attempts
		if after, ok, err := takeAfter(q.r.Header); err != nil {
			return &refusal{status: http.StatusBadRequest, code: CodeMalformed, close: true}
		} else if ok {
			q.last, q.has = after, true
		}
	}
	return q.readBody()
}

// readBody reads the body whole, so that it can be sent to another target and its
// caller's leaving is noticed while a target works.
func (q *request) readBody() *refusal {
	q.raw = rawhttp.Request{
		Method: q.r.Method, Target: q.r.RequestURI, Host: q.r.Host,
		HasBody: q.r.ContentLength > 0 || len(q.r.TransferEncoding) > 0 || q.r.Header.Get("Content-Length") != "",
	}
	if q.r.ContentLength == 0 {
		return nil
	}
	most := q.view.Index.Table.Limits.MaxBodyBytes
	if most <= 0 {
		most = defaultMaxBody
	}
	if q.r.ContentLength > most {
		return &refusal{status: http.StatusRequestEntityTooLarge, code: CodeTooLarge, close: true}
	}
	body, err := readAll(q.r.Body, q.r.ContentLength, most)
	if err != nil {
		// The caller broke off: nobody is there to answer.
		panic(http.ErrAbortHandler)
	}
	if int64(len(body)) > most {
		return &refusal{status: http.StatusRequestEntityTooLarge, code: CodeTooLarge, close: true}
	}
	q.raw.Body = body
	return nil
}

// readAll reads a body of a known length, or of at most one byte more than most.
func readAll(r io.Reader, length, most int64) ([]byte, error) {
	if length > 0 {
		body := make([]byte, length)
		_, err := io.ReadFull(r, body)
		return body, err
	}
	buf := bytes.NewBuffer(make([]byte, 0, smallBody))
	_, err := buf.ReadFrom(io.LimitReader(r, most+1))
	return buf.Bytes(), err
}
