package exchange

import (
	"net/http"

	"github.com/gullhaven/gullhaven/pipeline/endtoend"
)

// framingHeaders are the headers that each hop sets or handles itself.
var framingHeaders = [...]string{"Content-Length", "Expect", "Host"}

// forwardable copies the end-to-end headers of h. The copy shares the values.
func forwardable(h http.Header) http.Header {
	out := endtoend.Copy(h)
	for _, name := range framingHeaders {
		delete(out, name)
	}
	return out
}
