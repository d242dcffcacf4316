package exchange

import (
	"net/http"

	"github.com/gullhaven/gullhaven/pipeline/endtoend"
)

// framing are headers that whoever sends a message on sets anew or settles by itself.
var framing = [...]string{"Content-Length", "Expect", "Host"}

// forwardable copies the headers that are passed on as they came. Values are shared.
func forwardable(h http.Header) http.Header {
	out := endtoend.Copy(h)
	for _, name := range framing {
		delete(out, name)
	}
	return out
}
