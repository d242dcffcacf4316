package link

import (
	"crypto/tls"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/gullhaven/gullhaven/coord/endless"
)

// Guards against a link over a connection whose first answer is not valid HTTP.
func TestBrokenAnswerOpensNoLink(t *testing.T) {
	c := newCluster(t)
	h, _, _ := c.hub("a", nil)
	_, key, _ := c.hub("b", nil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	pings := endless.Answer{Part: "\x89\x00", Accept: func(r *http.Request) string {
		return strings.Replace(accept(r), "\r\n", "\r\nX Y: 1\r\n", 1)
	}}
	s := endless.Serve(t, tls.NewListener(l, key.ServerConfig()), pings)
	c.setAddress("b", s.Addr)
	if !h.Send("b", "bulk", []byte("x")) {
		t.Fatal("not sent")
	}
	s.CheckClosed(t, maxAnswerHeadBytes)
	if n := h.Stats().Channels["bulk"].Sent; n != 0 {
		t.Errorf("%d messages sent", n)
	}
}
