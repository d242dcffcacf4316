package serve

import (
	"errors"
	"io"
	"net"
	"time"

	"github.com/gullhaven/gullhaven/coord/memory"
)

const (
	// headSlackBytes may be read beyond the bound of a head: net/http reads as much at once, of which a part may be
	// the body's.
	headSlackBytes = 4 << 10
	// refusedLinger bounds how long a connection stays open after a refusal, and refusedLingerBytes what is read
	// meanwhile: a client that still sends would lose the refusal to a reset.
	refusedLinger      = 200 * time.Millisecond
	refusedLingerBytes = 256 << 10
)

const (
	refuseHeadTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	refuseNoRoom       = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: " + retryAfterSeconds + "\r\nContent-Length: 0\r\n\r\n"
)

// errRefused ends the reading of a head that was refused. net/http does not answer it.
var errRefused = &net.OpError{Op: "read", Err: errors.New("the request was refused")}

// readHead counts bytes that were read of a head, and refuses it if it is too long or there is no memory for it.
func (c *conn) readHead(text []byte) error {
	c.headBytes += len(text)
	if c.server.mostConns <= 0 {
		return nil
	}
	if most := c.maxHead(); most > 0 && c.headBytes > most+headSlackBytes {
		return c.refuse(refuseHeadTooLarge)
	}
	c.share.Moved(len(text))
	if !c.share.Take(time.Now(), memory.HeadBytes(text)) {
		return c.refuse(refuseNoRoom)
	}
	return nil
}

func (c *conn) maxHead() int {
	if c.server.maxHead == nil {
		return 0
	}
	return c.server.maxHead()
}

// refuse answers a request whose head is being read, in place of net/http. Nothing else is being written then.
func (c *conn) refuse(answer string) error {
	c.refused.Store(true)
	c.server.counters.refused.Add(1)
	// The client may have left.
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusedLinger))
	_, _ = io.WriteString(c.Conn, answer)
	return errRefused
}

// linger lets the client of a refused request read the refusal.
func (c *conn) linger() {
	if c.CloseWrite() != nil {
		return
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(refusedLinger))
	_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, refusedLingerBytes))
}
