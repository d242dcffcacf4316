package exchange

import (
	"net/http"
	"strings"

	"github.com/gullhaven/gullhaven/pipeline/endtoend"
)

// framingHeaders are the headers that each hop sets or handles itself.
var framingHeaders = [...]string{"Content-Length", "Expect", "Host"}

// headerPrefix begins the names of the headers between instances.
const headerPrefix = "Gullhaven-"

// forwardable copies the end-to-end headers of h, without those between instances: callers and targets
// must not speak for one. The copy shares the values.
func forwardable(h http.Header) http.Header {
	out := endtoend.Copy(h)
	for name := range out {
		if strings.HasPrefix(name, headerPrefix) {
			delete(out, name)
		}
	}
	for _, name := range framingHeaders {
		delete(out, name)
	}
	return out
}
