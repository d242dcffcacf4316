package enginehttp

import (
	"io"
	"net/http"
	"sync/atomic"
)

// sentBody is the body of a request, which is dropped once it is sent whole and the
// answer has begun.
//
// net/http keeps a request, and with it the whole body, for as long as its answer is
// read: the prompt of a long stream would be held in memory to its end. An engine may
// answer before it has read the whole body; truncating the body then would end the
// answer.
type sentBody struct {
	data           atomic.Pointer[[]byte]
	answered, sent atomic.Bool
}

// newSentBody sets the body of a request.
func newSentBody(req *http.Request, data []byte) *sentBody {
	b := &sentBody{}
	if len(data) == 0 {
		return b
	}
	b.data.Store(&data)
	req.ContentLength = int64(len(data))
	req.Body, _ = b.open()
	// Without GetBody net/http fails if a reused connection was closed before
	// anything was written.
	req.GetBody = b.open
	return b
}

// open returns the body from its start.
func (b *sentBody) open() (io.ReadCloser, error) {
	data := b.data.Load()
	if data == nil {
		return nil, http.ErrBodyReadAfterClose
	}
	b.sent.Store(false)
	return &sentReader{body: b, left: int64(len(*data))}, nil
}

// release is called when the answer has begun.
func (b *sentBody) release() {
	b.answered.Store(true)
	b.dropIfDone()
}

func (b *sentBody) dropIfDone() {
	if b.answered.Load() && b.sent.Load() {
		b.data.Store(nil)
	}
}

// sentReader reads a sentBody.
type sentReader struct {
	body *sentBody
	left int64
}

// Read reads the body; at its end the body may be dropped.
func (r *sentReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		r.body.sent.Store(true)
		r.body.dropIfDone()
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
