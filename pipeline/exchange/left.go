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

// callerLeft reports whether the caller has closed its connection. The context alone says so later:
// while the instance is overloaded or wakes from a pause, it reads requests whose callers have long
// left, and their ends only after them.
func (q *request) callerLeft() bool {
	ctx := q.r.Context()
	if ctx.Err() != nil {
		return true
	}
	c, ok := ctx.Value(callerConnKey{}).(net.Conn)
	return ok && rawhttp.HasEnded(c)
}
