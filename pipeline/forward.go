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

// maxRefusalBytes bounds another instance's refusal.
const maxRefusalBytes = 64 << 10

// Forward passes a request on to another region and relays the answer.
type Forward struct {
	deps *Deps
	at   hop.Station
}

// send passes the request on. The other instance checks the hops by itself;
// they are checked here as well, so that a wrong decision does not even leave.
func (f *Forward) send(x *Exchange, region string) error {
	if x.Once || x.Hops.Crossed(f.at.Region) || !mayTouch(x.Regions, region) || region == f.at.Region {
		return refuse(CodeLoop, "the request may not go to another region")
	}
	f.deps.Metrics.Spilled.Inc(1)
	x.region = region
	got, err := f.deps.Forwarder.Forward(x.Ctx, f.request(x, region, ""))
	if err != nil {
		e := *asError(err)
		e.Code = CodeRegionUnreached
		x.raise(e.Verdict)
		return &e
	}
	defer got.Body.Close()
	err = f.pass(x, got)
	x.raise(verdictOf(err))
	return err
}

// join passes a resend on to the instance of this region that runs the request,
// and relays the running attempt's answer. It reports false if that can't be
// had; the claim that the other instance finds keeps it from running again.
func (f *Forward) join(x *Exchange, owner string) (joined bool, err error) {
	if f.deps.Forwarder == nil || x.Hops.Stepped(f.at.Region) || owner == f.at.Instance {
		return false, nil
	}
	got, err := f.deps.Forwarder.Forward(x.Ctx, f.request(x, f.at.Region, owner))
	if err != nil {
		return false, nil
	}
	defer got.Body.Close()
	if got.Header.Get(HeaderReplayed) != "true" {
		return false, nil
	}
	x.replayed = true
	x.W.Header().Set(HeaderReplayed, "true")
	return true, f.pass(x, got)
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
	h.Set(HeaderHop, x.Hops.Add(f.at).String())
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

// pass relays the other instance's answer. A refusal becomes an error again, so
// that its verdict joins ours.
func (f *Forward) pass(x *Exchange, got *ports.PlainAnswer) error {
	refused := got.Status >= http.StatusBadRequest && got.Header.Get(HeaderVerdict) != verdict.Ran.String()
	if refused {
		return refusalFrom(got)
	}
	if strings.HasPrefix(got.Header.Get("Content-Type"), ports.ContentTypeEvents) && x.streamed() {
		return passEvents(x, got)
	}
	return passPlain(x, got)
}

func refusalFrom(got *ports.PlainAnswer) error {
	body, _ := io.ReadAll(io.LimitReader(got.Body, maxRefusalBytes))
	var r Refusal
	if json.Unmarshal(body, &r) != nil || r.Error.Code == "" {
		return verdict.New(verdict.MayHaveRun, CodeRegionUnreached, "the other region's answer is malformed")
	}
	e := verdict.New(r.Error.Verdict, r.Error.Code, r.Error.Message)
	e.RetryAfter = time.Duration(r.Error.RetryAfterMillis) * time.Millisecond
	return e
}

// passEvents relays a streamed answer, whose end mark must come.
func passEvents(x *Exchange, got *ports.PlainAnswer) error {
	closed := func() {} // whoever gave the answer closes its body
	s := answer.NewStream("", 0, io.NopCloser(got.Body), closed)
	defer s.Close()
	first, err := s.Next()
	if err == io.EOF {
		return verdict.New(verdict.Ran, ports.CodeTarget, "the other region gave an empty answer")
	}
	if err != nil {
		return err
	}
	r := newRelay(x, &attempt{})
	r.stream = s
	return r.pass(first)
}
