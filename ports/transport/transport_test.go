package transport_test

import (
	"errors"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/ports/transport"
)

// Guards against the verdict "may have run" for a request that is sent after its target has
// ended: a target with idle connections ends, a request follows within a millisecond and is
// written to a closed connection.
func TestRequestsAfterATargetEndedHaveNotRun(t *testing.T) {
	transports := transport.NewTransports(transport.Options{})
	defer transports.Close()
	post := func(address string) error {
		req, err := http.NewRequest(http.MethodPost, "http://"+address+"/", strings.NewReader(strings.Repeat("x", 4000)))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := transports.Do(req, false)
		if err == nil {
			_ = resp.Body.Close()
		}
		return err
	}
	for round := range 200 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
		go func() { _ = server.Serve(l) }()
		address := l.Addr().String()
		if err := post(address); err != nil {
			t.Fatal(err)
		}
		if err := server.Close(); err != nil {
			t.Fatal(err)
		}
		var failed *verdict.Error
		if err := post(address); !errors.As(err, &failed) || failed.Verdict != verdict.NotRun {
			t.Fatalf("round %d: %v, %v; want one that has not run", round, err, failed)
		}
	}
}
