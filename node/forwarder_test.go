package node

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/gullhaven/gullhaven/coord/endless"
	"github.com/gullhaven/gullhaven/coord/keys"
	"github.com/gullhaven/gullhaven/coord/roster"
	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/ports"
)

// Guards against an instance that uses up the memory of the one that forwards to it, or has the request sent
// again, with an answer that never ends.
func TestEndlessAnswersOfInstancesAreBounded(t *testing.T) {
	authority, err := keys.NewAuthority("test", time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	issue := func(id string) *keys.Key {
		key, err := authority.Issue(keys.Identity{Instance: id, Region: "r"}, nil, time.Now(), time.Hour)
		if err != nil {
			t.Fatal(err)
		}
		return key
	}
	own, other := issue("a"), issue("b")
	for _, a := range slices.Concat(endless.Heads, endless.Framings) {
		t.Run(a.Name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			s := endless.Serve(t, tls.NewListener(l, other.ServerConfig()), a)
			contacts := []roster.Contact{{ID: "b", Region: "r", Address: s.Addr}}
			f := newForwarder(own, func(string) []roster.Contact { return slices.Clone(contacts) })
			defer f.Close()
			answer, err := f.Forward(context.Background(), ports.ForwardRequest{Region: "r", Method: http.MethodPost, Target: "/", Header: http.Header{}})
			if err == nil {
				_, err = io.Copy(io.Discard, answer.Body)
				_ = answer.Body.Close()
			} else if e, ok := err.(*verdict.Error); !ok || e.Verdict != verdict.MayHaveRun {
				t.Errorf("%.200v", err)
			}
			if err == nil {
				t.Error("no error")
			}
			s.CheckClosed(t, http.DefaultMaxHeaderBytes)
		})
	}
}
