package pipeline

import (
	"net/http"
	"strings"

	"github.com/gullhaven/gullhaven/pipeline/endtoend"
)

// gatewayPrefix starts the names of the gateway's own headers.
const gatewayPrefix = "Gullhaven-"

// headerForTarget returns the headers that a plain target may see: neither the
// workspace's key nor the gateway's own, apart from the request id.
func headerForTarget(h http.Header, requestID string) http.Header {
	out := endtoend.Copy(h)
	dropGatewayHeaders(out)
	out.Del(HeaderAuthorization)
	out.Set(HeaderRequestID, requestID)
	return out
}

func dropGatewayHeaders(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, gatewayPrefix) {
			delete(h, name)
		}
	}
}

// copyToCaller copies a target's response headers, without those that only the
// gateway may set: a target must not be able to state a verdict.
func copyToCaller(dst, src http.Header) {
	copied := endtoend.Copy(src)
	dropGatewayHeaders(copied)
	for name, values := range copied {
		dst[name] = values
	}
}
