package transport

import (
	"net"
	"testing"
	"time"

	"github.com/gullhaven/gullhaven/coord/httpconn"
)

// readTimeout is how long a test waits for a read before it fails.
const readTimeout = 10 * time.Second

// Guards against an answer that is not heard while the target does not read the rest of the request:
// a read that waits for the end of a write.
func TestReadDoesNotWaitForAWrite(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	raw, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	c, err := httpconn.NewSocket(raw, new(evidence))
	if err != nil {
		t.Fatal(err)
	}
	target, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer target.Close()
	// More than the buffers of both ends hold.
	go func() { _, _ = c.Write(make([]byte, 64<<20)) }()
	if _, err := target.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	if _, err := target.Write([]byte("answer")); err != nil {
		t.Fatal(err)
	}
	read := make(chan error, 1)
	go func() {
		_, err := c.Read(make([]byte, 6))
		read <- err
	}()
	select {
	case err := <-read:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(readTimeout):
		t.Error("no byte of the answer was read")
	}
}
