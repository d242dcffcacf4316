// Package endtoend separates the end-to-end headers of a message from those of one
// connection.
package endtoend

import (
	"net/http"
	"strings"
)

// hopByHop lists the headers that belong to one connection (RFC 9110, section 7.6.1).
var hopByHop = [...]string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Copy returns a copy of h without the headers of one connection: those of hopByHop and
// those that Connection names. The values are shared; the capacity of each list is its
// length, so that adding to the copy doesn't change h.
func Copy(h http.Header) http.Header {
	// Leaves room for headers that the caller adds.
	out := make(http.Header, len(h)+4)
	for name, values := range h {
		out[name] = values[:len(values):len(values)]
	}
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		delete(out, name)
	}
	return out
}
