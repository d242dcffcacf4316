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

// copyBytes is the buffer of one plain answer under way.
const copyBytes = 16 << 10

// countedBody tells whether a caller's body has been read from. What was read
// is gone, so the request can't be sent again.
type countedBody struct {
	r    io.Reader
	used atomic.Bool
}

// Read marks the body as used.
func (b *countedBody) Read(p []byte) (int, error) {
	b.used.Store(true)
	return b.r.Read(p)
}

// bodyUsed reports whether a streamed body was read from.
func (x *Exchange) bodyUsed() bool { return x.stream != nil && x.stream.used.Load() }

// plainBody returns the body to send: the one that was read whole, the caller's
// stream, or none.
func (x *Exchange) plainBody() (io.Reader, int64) {
	if x.Body != nil {
		return bytes.NewReader(x.Body), int64(len(x.Body))
	}
	if x.R.Body == nil || x.R.Body == http.NoBody || x.R.ContentLength == 0 {
		return nil, 0
	}
	if x.stream == nil {
		x.stream = &countedBody{r: x.R.Body}
	}
	return x.stream, x.R.ContentLength
}

// sendPlain sends a plain request and passes the answer on.
func (f *Attempts) sendPlain(x *Exchange, a *attempt) error {
	x.target = a.decision.Target
	err := f.plainOnce(x, a)
	f.end(x, a, err)
	return err
}

func (f *Attempts) plainOnce(x *Exchange, a *attempt) error {
	body, length := x.plainBody()
	_, path, _ := strings.Cut(strings.TrimPrefix(x.R.URL.EscapedPath(), servicePath), "/")
	answer, err := f.deps.Plains.Plain(a.target.Address).Do(x.Ctx, ports.PlainRequest{
		Attempt:  a.id,
		Method:   x.R.Method,
		Path:     "/" + path,
		RawQuery: x.R.URL.RawQuery,
		Header:   toTarget(x.R.Header, x.ID),
		Body:     body,
		Length:   length,
		Once:     x.Once,
	})
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if !x.Once && gatewayFault(answer.Status) && !x.bodyUsed() && a.query.Attempt+1 < x.View.Bundle.Rules.MaxAttempts {
		return verdict.New(verdict.MayHaveRun, ports.CodeTarget, "the target answered "+http.StatusText(answer.Status))
	}
	f.routing.FirstToken(a.route)
	return passPlain(x, answer)
}

// gatewayFault reports statuses that another target may not give.
func gatewayFault(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// passPlain passes an answer on as it comes.
func passPlain(x *Exchange, answer *ports.PlainAnswer) error {
	toCaller(x.W.Header(), answer.Header)
	r := newRelay(x, nil)
	r.head(answer.Status)
	buf := make([]byte, copyBytes)
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
			return &verdict.Error{Verdict: verdict.Ran, Code: ports.CodeCut, Message: "the answer ended early", Err: err}
		}
		if werr := r.gone(r.flush()); werr != nil {
			return werr
		}
	}
}
