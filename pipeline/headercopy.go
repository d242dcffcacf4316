package pipeline

import (
	"net/http"
	"strings"

	"github.com/gullhaven/gullhaven/pipeline/endtoend"
)

// ownPrefix starts the names of headers that are ours.
const ownPrefix = "Gullhaven-"

// toTarget copies what a plain target may see: neither the workspace's key nor
// our own headers.
func toTarget(h http.Header, requestID string) http.Header {
	out := endtoend.Copy(h)
	dropOwn(out)
	out.Del(HeaderAuthorization)
	out.Set(HeaderRequestID, requestID)
	return out
}

func dropOwn(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, ownPrefix) {
			delete(h, name)
		}
	}
}

// toCaller copies what a target answered. Our own headers are ours to set: a
// target must not be able to tell a verdict of its own.
func toCaller(dst, src http.Header) {
	copied := endtoend.Copy(src)
	dropOwn(copied)
	for name, values := range copied {
		dst[name] = values
	}
}
