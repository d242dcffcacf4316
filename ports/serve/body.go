package serve

import (
	"errors"
	"io"
	"time"

	"github.com/gullhaven/gullhaven/coord/memory"
)

// initialBodyBytes is the initial buffer size for a body. A longer one is made as the bytes come: what a caller
// announces takes up no memory.
const initialBodyBytes = 4 << 10

// ErrBodyTooLarge is returned for a body of more than the limit.
var ErrBodyTooLarge = errors.New("the body is too large")

// ReadBody reads a whole body of length bytes, or one of unknown length if it is negative, of at most limit bytes,
// and has the share hold it. The error is ErrBodyTooLarge, memory.ErrNoMemory or that of the reader. The request may
// run only if there is none.
func ReadBody(r io.Reader, share *memory.Share, length, limit int64) ([]byte, error) {
	if length > limit {
		return nil, ErrBodyTooLarge
	}
	share.Begin(memory.Reading, time.Now())
	body, err := readWhole(r, share, length, limit)
	if share.Yielding() || err == nil && !share.Run(time.Now()) {
		err = memory.ErrNoMemory
	}
	if err != nil {
		share.Give(int64(cap(body)))
		return nil, err
	}
	return body, nil
}

// readWhole returns what the share holds of the body, also with an error.
func readWhole(r io.Reader, share *memory.Share, length, limit int64) ([]byte, error) {
	most := limit + 1
	if length >= 0 {
		most = length
	}
	room := min(initialBodyBytes, most)
	if !share.Take(time.Now(), room) {
		return nil, memory.ErrNoMemory
	}
	body := make([]byte, 0, room)
	for int64(len(body)) != length {
		if len(body) == cap(body) {
			var ok bool
			if body, ok = share.Grow(time.Now(), body, min(2*int64(cap(body)), most)); !ok {
				return body, memory.ErrNoMemory
			}
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		share.Moved(n)
		switch {
		case int64(len(body)) > limit:
			return body, ErrBodyTooLarge
		case int64(len(body)) == length:
			return body, nil
		case err == io.EOF && length >= 0:
			return body, io.ErrUnexpectedEOF
		case err == io.EOF:
			return body, nil
		case err != nil:
			return body, err
		}
	}
	return body, nil
}
