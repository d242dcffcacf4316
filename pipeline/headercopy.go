package pipeline

import (
	"net/http"
	"strings"
)

// singleHop are headers that belong to one connection (RFC 9110, section 7.6.1).
var singleHop = [...]string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// ownPrefix starts the names of headers that are ours.
const ownPrefix = "Gullhaven-"

// endToEnd copies the headers that go further than one connection.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range singleHop {
		out.Del(name)
	}
	return out
}

// toTarget copies what a plain target may see: neither the workspace's key nor
// our own headers.
func toTarget(h http.Header, requestID string) http.Header {
	out := endToEnd(h)
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
	copied := endToEnd(src)
	dropOwn(copied)
	for name, values := range copied {
		dst[name] = values
	}
}
