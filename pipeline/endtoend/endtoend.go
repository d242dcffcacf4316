// Package endtoend tells the headers of a message that go further than one connection.
package endtoend

import (
	"net/http"
	"strings"
)

// singleHop are headers that belong to one connection (RFC 9110, section 7.6.1).
var singleHop = [...]string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Copy copies the headers that go further than one connection. The values are shared;
// each list is cut to its length, so that adding to the copy leaves h as it is.
func Copy(h http.Header) http.Header {
	// A few more are set by whoever sends the copy on.
	out := make(http.Header, len(h)+4)
	for name, values := range h {
		out[name] = values[:len(values):len(values)]
	}
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range singleHop {
		delete(out, name)
	}
	return out
}
