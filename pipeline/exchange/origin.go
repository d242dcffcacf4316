package exchange

import (
	"encoding/hex"
	"net/http"
	"net/url"
	"slices"

	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/bundle/routes"
	"github.com/gullhaven/gullhaven/ports/rawhttp"
	"github.com/gullhaven/gullhaven/route/place"
)

// streamKey identifies a stream by the ID of the attempt that brought its first event. Callers do not
// take up the streams of others.
func (q *request) streamKey(id string) string {
	digest := q.credential().Digest
	if digest == (routes.KeyDigest{}) {
		return id
	}
	return id + " " + hex.EncodeToString(digest[:])
}

// credential returns the caller's key.
func (q *request) credential() Credential {
	if q.forwarded != nil && q.forwarded.Credential.Present {
		return q.forwarded.Credential
	}
	return q.call.Credential
}

// findOrigin finds what began the stream that the request goes on with, and refuses the request if
// that is not known: any target might be the wrong one.
func (q *request) findOrigin() *refusal {
	if !q.route.Resumable || !q.hasLastEventID || q.lastEventID <= 0 && q.call.Resumes == "" {
		return nil
	}
	q.begun = true
	switch {
	case q.forwarded != nil:
		q.origin = q.forwarded.Origin
	case q.call.Resumes != "" && q.g.o.Streams != nil:
		key := q.streamKey(q.call.Resumes)
		origin, known := q.g.o.Streams.Origin(q.ctx, key)
		if known {
			// It may be taken up again.
			q.g.o.Streams.Began(key, origin)
		}
		q.origin = origin
	case q.call.Resumes == "":
		q.origin = q.onlyOrigin()
	}
	q.g.o.Log.Info("stream taken up", zap.String("id", q.call.ID), zap.String("resumes", q.call.Resumes), zap.Int64("last", q.lastEventID),
		zap.String("service", q.origin.Service), zap.String("software", q.origin.Software), zap.Bool("passed", q.forwarded != nil))
	if q.origin.Software == "" {
		return &refusal{status: http.StatusServiceUnavailable, code: CodeUnknownStream, retryAfter: place.RetryAfter(place.Busy, 0)}
	}
	if q.route.SplitsTo(q.origin.Service) {
		q.service = q.origin.Service
	}
	return nil
}

// onlyOrigin returns what began the stream of a caller that does not name it, if its service has had
// targets of one software version only for as long as a stream may last.
func (q *request) onlyOrigin() Origin {
	if since := q.view.VersionsSince; since.IsZero() || q.acceptedAt.Sub(since) < q.route.Timeout {
		return Origin{}
	}
	if versions := q.view.Versions[q.service]; len(versions) == 1 {
		return Origin{Service: q.service, Software: versions[0]}
	}
	return Origin{}
}

// recordOrigin records what begins the stream, before its first event is passed on.
func (q *request) recordOrigin(a *rawhttp.Answer, p *destination) {
	if q.begun {
		return
	}
	q.begun, q.origin = true, Origin{Service: q.service}
	if p.choice != nil {
		q.origin.Software = p.choice.Software
	} else if software, err := url.QueryUnescape(a.Header.Get(headerSoftware)); err == nil {
		q.origin.Software = software
	}
	if q.forwarded == nil && q.route.Resumable && q.g.o.Streams != nil && q.origin.Software != "" {
		q.g.o.Streams.Began(q.streamKey(q.call.ID), q.origin)
	}
}

// writeOrigin sets the headers of a forwarded request that say what its stream must go on with, or ask
// what it begins with.
func (q *request) writeOrigin(h http.Header) {
	for _, name := range []string{headerService, headerSoftware, headerBegins} {
		h.Del(name)
	}
	if !q.begun {
		h.Set(headerBegins, "1")
		return
	}
	h.Set(headerService, url.QueryEscape(q.origin.Service))
	h.Set(headerSoftware, url.QueryEscape(q.origin.Software))
}

// readOrigin parses the headers of writeOrigin and removes them from h.
func readOrigin(h http.Header) (o Origin, begins bool, err error) {
	if o.Service, err = url.QueryUnescape(h.Get(headerService)); err != nil {
		return o, false, err
	}
	if o.Software, err = url.QueryUnescape(h.Get(headerSoftware)); err != nil {
		return o, false, err
	}
	begins = slices.Contains(h[headerBegins], "1")
	for _, name := range []string{headerService, headerSoftware, headerBegins} {
		h.Del(name)
	}
	return o, begins, nil
}
