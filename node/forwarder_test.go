package node

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/gullhaven/gullhaven/coord/broken"
	"github.com/gullhaven/gullhaven/coord/endless"
	"github.com/gullhaven/gullhaven/coord/httpconn"
	"github.com/gullhaven/gullhaven/coord/keys"
	"github.com/gullhaven/gullhaven/coord/roster"
	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/ports"
)

// newKeys returns the keys of the instances a and b.
func newKeys(t *testing.T) (a, b *keys.Key) {
	t.Helper()
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
	return issue("a"), issue("b")
}

// forward sends a request to an instance b that listens at an address, and returns why its answer cannot be read to its
// end. The request may have run, whatever the error.
func forward(t *testing.T, own *keys.Key, address string) error {
	t.Helper()
	contacts := []roster.Contact{{ID: "b", Region: "r", Address: address}}
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
	return err
}

// Guards against an answer of another instance that is not valid HTTP and is taken for one, or for a sign that the
// request has not run.
func TestBrokenAnswersOfInstancesAreErrors(t *testing.T) {
	own, other := newKeys(t)
	for name, text := range broken.Answers("", "body") {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			s := broken.Serve(t, tls.NewListener(l, other.ServerConfig()), text)
			var invalid *httpconn.Error
			if err := forward(t, own, s.Addr); !errors.As(err, &invalid) {
				t.Errorf("%v", err)
			}
			s.CheckClosed(t)
			if n := s.Requests(); n != 1 {
				t.Errorf("sent %d times", n)
			}
		})
	}
}

// Guards against an instance that uses up the memory of the one that forwards to it, or has the request sent
// again, with an answer that never ends.
func TestEndlessAnswersOfInstancesAreBounded(t *testing.T) {
	own, other := newKeys(t)
	for _, a := range slices.Concat(endless.Heads, endless.Framings) {
		t.Run(a.Name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			s := endless.Serve(t, tls.NewListener(l, other.ServerConfig()), a)
			_ = forward(t, own, s.Addr)
			s.CheckClosed(t, http.DefaultMaxHeaderBytes)
		})
	}
}
