package exchange

import (
	"net/http"
	"strings"
)

// connectionHeaders concern one connection only and are not passed on.
var connectionHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
	"Expect", "Host", "Proxy-Authenticate", "Proxy-Authorization",
}

// forwardable copies the headers without those of one connection. Values are shared.
func forwardable(h http.Header) http.Header {
	out := make(http.Header, len(h)+4)
	for name, values := range h {
		out[name] = values
	}
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			delete(out, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range connectionHeaders {
		delete(out, name)
	}
	return out
}
