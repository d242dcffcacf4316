package enginehttp

import (
	"io"
	"net/http"
	"sync/atomic"
)

// sentBody is the body of a request, which can be let go of once the answer has
// begun.
//
// net/http keeps a request for as long as its answer is read, and with it all
// bytes of the body: the prompt of a long stream would be held to its end. The
// body is dropped when the answer has begun and the body was sent whole. An
// engine may answer before it has read all; to cut the body off then would cut
// the answer off.
type sentBody struct {
	data            atomic.Pointer[[]byte]
	answered, whole atomic.Bool
}

// setBody gives a request its body.
func setBody(req *http.Request, data []byte) *sentBody {
	b := &sentBody{}
	if len(data) == 0 {
		return b
	}
	b.data.Store(&data)
	req.ContentLength = int64(len(data))
	req.Body, _ = b.open()
	// Without GetBody net/http gives up where a kept connection was closed
	// before anything was written.
	req.GetBody = b.open
	return b
}

// open returns the body from its start.
func (b *sentBody) open() (io.ReadCloser, error) {
	data := b.data.Load()
	if data == nil {
		return nil, http.ErrBodyReadAfterClose
	}
	b.whole.Store(false)
	return &sentReader{body: b, left: int64(len(*data))}, nil
}

// letGo says that the answer has begun.
func (b *sentBody) letGo() {
	b.answered.Store(true)
	b.drop()
}

func (b *sentBody) drop() {
	if b.answered.Load() && b.whole.Load() {
		b.data.Store(nil)
	}
}

// sentReader reads a sentBody.
type sentReader struct {
	body *sentBody
	left int64
}

// Read reads on; at the end the body may be let go of.
func (r *sentReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		r.body.whole.Store(true)
		r.body.drop()
		return 0, io.EOF
	}
	data := r.body.data.Load()
	if data == nil {
		return 0, http.ErrBodyReadAfterClose
	}
	n := copy(p, (*data)[int64(len(*data))-r.left:])
	r.left -= int64(n)
	return n, nil
}

// Close does nothing.
func (r *sentReader) Close() error { return nil }
