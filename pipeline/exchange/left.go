package exchange

import (
	"context"
	"net"

	"github.com/gullhaven/gullhaven/ports/rawhttp"
)

type callerConnKey struct{}

// WithCallerConn adds the connection of a caller to the contexts of its requests. Set it as
// http.Server.ConnContext, so that requests of callers that have left are not sent.
func WithCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// callerLeft reports whether the caller has closed its connection.
func (q *request) callerLeft() bool { return CallerLeft(q.r.Context()) }

// CallerLeft reports whether the sender of a request with this context has closed its connection. The
// context alone says so later: while the instance is overloaded or wakes from a pause, it reads requests
// whose senders have long left, and their ends only after them.
func CallerLeft(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	c, ok := ctx.Value(callerConnKey{}).(net.Conn)
	return ok && rawhttp.HasEnded(c)
}
