package pipeline

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/pipeline/endtoend"
	"github.com/gullhaven/gullhaven/pipeline/hop"
	"github.com/gullhaven/gullhaven/ports"
	"github.com/gullhaven/gullhaven/ports/answer"
)

// maxRefusalBytes bounds the body of another instance's refusal.
const maxRefusalBytes = 64 << 10

// Forward forwards a request to another instance and relays the answer.
type Forward struct {
	deps *Deps
	self hop.Hop
}

// send forwards the request to another region. The other instance checks the
// hops; they are checked here as well, so that a wrong decision sends nothing.
func (f *Forward) send(x *Exchange, region string) error {
	if x.Once || x.Hops.FromOtherRegion(f.self.Region) || !regionAllowed(x.Regions, region) || region == f.self.Region {
		return refuse(CodeLoop, "the request may not go to another region")
	}
	f.deps.Metrics.Spilled.Inc(1)
	x.spillRegion = region
	got, err := f.deps.Forwarder.Forward(x.Ctx, f.request(x, region, ""))
	if err != nil {
		f.deps.recordBroken(x, region, err)
		e := *asError(err)
		e.Code = CodeRegionUnreached
		x.joinVerdict(e.Verdict)
		return &e
	}
	defer got.Body.Close()
	err = f.relayAnswer(x, got)
	f.deps.recordBroken(x, region, err)
	x.joinVerdict(verdictOf(err))
	return err
}

// join forwards a resend to the instance of this region that runs the request,
// and relays the running attempt's answer. It reports false if there is no such
// answer; the other instance finds the claim and does not run the request again.
func (f *Forward) join(x *Exchange, owner string) (joined bool, err error) {
	if f.deps.Forwarder == nil || x.Hops.WithinRegion(f.self.Region) || owner == f.self.Instance {
		return false, nil
	}
	got, err := f.deps.Forwarder.Forward(x.Ctx, f.request(x, f.self.Region, owner))
	if err != nil {
		return false, nil
	}
	defer got.Body.Close()
	if got.Header.Get(HeaderReplayed) != "true" {
		return false, nil
	}
	x.replayed = true
	x.W.Header().Set(HeaderReplayed, "true")
	return true, f.relayAnswer(x, got)
}

func (f *Forward) request(x *Exchange, region, instance string) ports.ForwardRequest {
	body, length := x.plainBody()
	return ports.ForwardRequest{
		Region:   region,
		Instance: instance,
		Method:   x.R.Method,
		Target:   x.R.URL.RequestURI(),
		Header:   f.header(x),
		Body:     body,
		Length:   length,
		Once:     x.Once,
	}
}

func (f *Forward) header(x *Exchange) http.Header {
	h := endtoend.Copy(x.R.Header)
	h.Set(HeaderHop, x.Hops.Add(f.self).String())
	h.Set(HeaderRequestID, x.ID)
	left := max(1, x.Deadline.Sub(f.deps.Now()).Milliseconds())
	h.Set(HeaderDeadline, strconv.FormatInt(left, 10))
	if !x.FirstTokenBy.IsZero() {
		first := max(1, x.FirstTokenBy.Sub(f.deps.Now()).Milliseconds())
		h.Set(HeaderFirstToken, strconv.FormatInt(first, 10))
	}
	if x.Kind != KindPlain {
		h.Set(HeaderService, x.Service.ID)
	}
	return h
}

// relayAnswer relays the other instance's answer. It returns a refusal as an
// error, so that its verdict is joined with this instance's.
func (f *Forward) relayAnswer(x *Exchange, got *ports.PlainAnswer) error {
	refused := got.Status >= http.StatusBadRequest && got.Header.Get(HeaderVerdict) != verdict.Ran.String()
	if refused {
		return refusalFrom(got)
	}
	if strings.HasPrefix(got.Header.Get("Content-Type"), ports.ContentTypeEvents) && x.streamed() {
		return relayEvents(x, got)
	}
	return relayPlain(x, got)
}

func refusalFrom(got *ports.PlainAnswer) error {
	body, err := io.ReadAll(io.LimitReader(got.Body, maxRefusalBytes))
	var r Refusal
	if err != nil || json.Unmarshal(body, &r) != nil || r.Error.Code == "" {
		return &verdict.Error{Verdict: verdict.MayHaveRun, Code: CodeRegionUnreached, Message: "the other region's answer is malformed", Err: err}
	}
	e := verdict.New(r.Error.Verdict, r.Error.Code, r.Error.Message)
	e.RetryAfter = time.Duration(r.Error.RetryAfterMillis) * time.Millisecond
	return e
}

// relayEvents relays a streamed answer. It returns an error if the stream ends
// without its end mark.
func relayEvents(x *Exchange, got *ports.PlainAnswer) error {
	closed := func() {} // the caller of relayEvents closes the body
	s := answer.NewStream("", 0, io.NopCloser(got.Body), closed)
	defer s.Close()
	first, err := s.Next()
	if err == io.EOF {
		return verdict.New(verdict.Ran, ports.CodeTargetError, "the other region gave an empty answer")
	}
	if err != nil {
		return err
	}
	r := newRelay(x, &attempt{})
	r.stream = s
	return r.relayStream(first)
}
