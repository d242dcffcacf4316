package pipeline

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/ports"
)

// copyBufferBytes is the size of the buffer that relays a plain answer.
const copyBufferBytes = 16 << 10

// trackedBody records whether a caller's body has been read from. What was read
// is gone, so the request can't be sent again.
type trackedBody struct {
	r    io.Reader
	used atomic.Bool
}

// Read marks the body as used.
func (b *trackedBody) Read(p []byte) (int, error) {
	b.used.Store(true)
	return b.r.Read(p)
}

// bodyUsed reports whether a streamed body has been read from.
func (x *Exchange) bodyUsed() bool { return x.bodyStream != nil && x.bodyStream.used.Load() }

// plainBody returns the body to send and its length in bytes (-1 if unknown):
// the body that was read whole, the caller's stream, or none.
func (x *Exchange) plainBody() (io.Reader, int64) {
	if x.Body != nil {
		return bytes.NewReader(x.Body), int64(len(x.Body))
	}
	if x.R.Body == nil || x.R.Body == http.NoBody || x.R.ContentLength == 0 {
		return nil, 0
	}
	if x.bodyStream == nil {
		x.bodyStream = &trackedBody{r: x.R.Body}
	}
	return x.bodyStream, x.R.ContentLength
}

// sendPlain sends a plain request and relays the answer.
func (f *Attempts) sendPlain(x *Exchange, a *attempt) error {
	x.target = a.decision.Target
	err := f.doPlain(x, a)
	f.end(x, a, err)
	return err
}

func (f *Attempts) doPlain(x *Exchange, a *attempt) error {
	body, length := x.plainBody()
	_, path, _ := strings.Cut(strings.TrimPrefix(x.R.URL.EscapedPath(), servicePath), "/")
	answer, err := f.deps.Plains.Plain(a.target.Address).Do(x.Ctx, ports.PlainRequest{
		Attempt:  a.id,
		Method:   x.R.Method,
		Path:     "/" + path,
		RawQuery: x.R.URL.RawQuery,
		Header:   headerForTarget(x.R.Header, x.ID),
		Body:     body,
		Length:   length,
		Once:     x.Once,
	})
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.Status == http.StatusServiceUnavailable {
		a.rest = ports.RetryAfter(answer.Header)
	}
	if !x.Once && isGatewayError(answer.Status) && !x.bodyUsed() && a.query.Attempt+1 < x.View.Bundle.Rules.MaxAttempts {
		return verdict.New(verdict.MayHaveRun, ports.CodeTargetError, "the target answered "+http.StatusText(answer.Status))
	}
	f.routing.FirstToken(a.route)
	return relayPlain(x, answer)
}

// isGatewayError reports whether another target may succeed after this status.
func isGatewayError(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// relayPlain relays an answer as it comes.
func relayPlain(x *Exchange, answer *ports.PlainAnswer) error {
	copyToCaller(x.W.Header(), answer.Header)
	r := newRelay(x, nil)
	r.head(answer.Status)
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := answer.Body.Read(buf)
		if n > 0 {
			if werr := r.write(buf[:n]); werr != nil {
				return werr
			}
			x.chunks++
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return &verdict.Error{Verdict: verdict.Ran, Code: ports.CodeStreamCut, Message: "the answer ended early", Err: err}
		}
		if werr := r.callerGone(r.flush()); werr != nil {
			return werr
		}
	}
}
