package link

import (
	"bytes"
	"crypto/sha1"
	"crypto/tls"
	"encoding/base64"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/gullhaven/gullhaven/coord/endless"
)

// accept returns the answer that opens a WebSocket (RFC 6455, section 4.2.2).
func accept(r *http.Request) string {
	sum := sha1.Sum([]byte(r.Header.Get("Sec-WebSocket-Key") + "258EAFA5-E914-47DA-95CA-C5AB0DC85B11"))
	return "HTTP/1.1 101 X\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Accept: " + base64.StdEncoding.EncodeToString(sum[:]) + "\r\n\r\n"
}

// batch returns a message of a WebSocket with one frame.
func batch(f frame) string {
	var b bytes.Buffer
	if err := appendFrame(&b, &f); err != nil {
		panic(err)
	}
	return "\x82\x7e" + string([]byte{byte(b.Len() >> 8), byte(b.Len())}) + b.String()
}

// Guards against a peer that uses up the memory, or keeps a connection open that brings nothing, with an
// answer, a message or a frame that never ends.
func TestEndlessPeersAreCutOff(t *testing.T) {
	chunk := make([]byte, chunkBytes)
	answers := []endless.Answer{
		{Name: "message", Begin: "\x82\x7f\x00\x00\x01\x00\x00\x00\x00\x00", Part: "x"},
		{Name: "fragments", Begin: "\x02\x01x", Part: "\x00\x01x"},
		{Name: "empty fragments", Begin: "\x02\x00", Part: "\x00\x00"},
		{Name: "pings", Part: "\x89\x00"},
		{Name: "pongs", Part: "\x8a\x00"},
		{Name: "messages that are no batches", Part: "\x82\x01\xff"},
		{Name: "chunks", Begin: batch(frame{Channel: "bulk", More: true}), Part: batch(frame{Kind: frameChunk, More: true, Payload: chunk})},
	}
	for i := range answers {
		answers[i].Accept = accept
	}
	bounds := map[bool]int{true: DefaultMaxMessage, false: maxAnswerHeadBytes}
	refusals := slices.Concat(endless.Framings, endless.Bodies(strings.Repeat("x", 1000)))
	for _, a := range slices.Concat(answers, endless.Heads, refusals) {
		t.Run(a.Name, func(t *testing.T) {
			c := newCluster(t)
			h, _, _ := c.hub("a", func(o *Options) { o.PingAfter, o.PingTimeout = 10*time.Millisecond, 50*time.Millisecond })
			_, key, _ := c.hub("b", nil)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			s := endless.Serve(t, tls.NewListener(l, key.ServerConfig()), a)
			c.setAddress("b", s.Addr)
			if !h.Send("b", "bulk", []byte("x")) {
				t.Fatal("not sent")
			}
			s.CheckClosed(t, bounds[a.Accept != nil])
		})
	}
}
