package enginehttp_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/gullhaven/gullhaven/coord/endless"
	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/ports"
	"github.com/gullhaven/gullhaven/ports/enginehttp"
	"github.com/gullhaven/gullhaven/ports/plainhttp"
	"github.com/gullhaven/gullhaven/ports/transport"
)

// exchange is a request to an engine or a plain target, up to the end of its answer.
type exchange func(ctx context.Context, address string, t *transport.Transports) error

// readAll reads a stream to its end or its error.
func readAll(s ports.Stream, err error) error {
	if err != nil {
		return err
	}
	defer s.Close()
	for err == nil {
		_, err = s.Next()
	}
	if err == io.EOF {
		return nil
	}
	return err
}

func discard(r io.ReadCloser, err error) error {
	if err != nil {
		return err
	}
	defer r.Close()
	_, err = io.Copy(io.Discard, r)
	return err
}

// completion returns the exchange of a completion.
func completion(m ports.Completion) exchange {
	m.Attempt, m.Body = "own", []byte("{}")
	return func(ctx context.Context, address string, t *transport.Transports) error {
		return readAll(enginehttp.New(address, t).Complete(ctx, m))
	}
}

// exportKV is the exchange of an export.
func exportKV(ctx context.Context, address string, t *transport.Transports) error {
	return discard(enginehttp.New(address, t).ExportKV(ctx, "own"))
}

// plain returns the exchange of a request to a plain target.
func plain(r ports.PlainRequest) exchange {
	return func(ctx context.Context, address string, t *transport.Transports) error {
		r := r
		r.Attempt, r.Path, r.Header = "own", "/", http.Header{}
		answer, err := plainhttp.New(address, t).Do(ctx, r)
		if err != nil {
			return err
		}
		return discard(answer.Body, nil)
	}
}

// exchanges are all exchanges, with how many bytes of an endless body they read; 0 for those that pass it on.
var exchanges = map[string]struct {
	run   exchange
	bound int
}{
	"stream":      {completion(ports.Completion{Stream: true}), ports.MaxEventBytes},
	"once":        {completion(ports.Completion{Stream: true, Once: true}), ports.MaxEventBytes},
	"whole":       {completion(ports.Completion{}), 16 << 20},
	"plain":       {plain(ports.PlainRequest{Method: http.MethodGet}), 0},
	"plain, once": {plain(ports.PlainRequest{Method: http.MethodPost, Once: true}), 0},
	"resume": {func(ctx context.Context, address string, t *transport.Transports) error {
		return readAll(enginehttp.New(address, t).Resume(ctx, ports.Completion{Attempt: "own", Stream: true}, 3))
	}, ports.MaxEventBytes},
	"cancel": {func(ctx context.Context, address string, t *transport.Transports) error {
		return enginehttp.New(address, t).Cancel(ctx, "own")
	}, 4 << 20},
	"load": {func(ctx context.Context, address string, t *transport.Transports) error {
		_, err := enginehttp.New(address, t).Load(ctx)
		return err
	}, 4 << 20},
	"cache events": {func(ctx context.Context, address string, t *transport.Transports) error {
		_, err := enginehttp.New(address, t).CacheEvents(ctx, 1)
		return err
	}, 4 << 20},
	"order": {func(ctx context.Context, address string, t *transport.Transports) error {
		_, err := enginehttp.New(address, t).Order(ctx, ports.Order{})
		return err
	}, 4 << 20},
	"export": {exportKV, 0},
	"import": {func(ctx context.Context, address string, t *transport.Transports) error {
		return enginehttp.New(address, t).ImportKV(ctx, "own", strings.NewReader("kv"))
	}, 4 << 20},
}

// run runs an exchange with an endless answer and returns its error.
func run(t *testing.T, ctx context.Context, e exchange, a endless.Answer, bound int) error {
	t.Helper()
	transports := transport.NewTransports(transport.Options{})
	defer transports.Close()
	s := endless.Serve(t, nil, a)
	err := e(ctx, s.Addr, transports)
	s.CheckClosed(t, bound)
	return err
}

// Guards against an engine or a plain target that uses up the memory with an answer that never ends.
func TestEndlessAnswersAreBounded(t *testing.T) {
	for name, e := range exchanges {
		for _, a := range endless.Heads {
			t.Run(name+", "+a.Name, func(t *testing.T) {
				err := run(t, t.Context(), e.run, a, http.DefaultMaxHeaderBytes)
				var failed *verdict.Error
				if !errors.As(err, &failed) || failed.Verdict != verdict.MayHaveRun || len(err.Error()) > 1<<10 {
					t.Errorf("%.200v", err)
				}
			})
		}
		for _, a := range slices.Concat(endless.Framings, endless.Bodies(strings.Repeat(" ", 1000))) {
			if e.bound == 0 && strings.HasPrefix(a.Name, "body") {
				continue
			}
			t.Run(name+", "+a.Name, func(t *testing.T) {
				// An answer without contents is not checked, and its body not waited for.
				if err := run(t, t.Context(), e.run, a, max(e.bound, 1<<20)); err == nil && name != "cancel" && name != "import" {
					t.Error("no error")
				}
			})
		}
	}
}

// Guards against a rejection that keeps a request from going on elsewhere, as its body never ends.
func TestEndlessRejectionsAreNotReadOn(t *testing.T) {
	for _, a := range slices.Concat(endless.Framings, endless.Bodies("x")) {
		for _, every := range []time.Duration{0, 20 * time.Millisecond} {
			t.Run(a.Name, func(t *testing.T) {
				a.Every = every
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				err := run(t, ctx, exchanges["stream"].run, a.With(http.StatusTooManyRequests, ""), 1<<20)
				var failed *verdict.Error
				if !errors.As(err, &failed) || failed.Verdict != verdict.NotRun || ctx.Err() != nil {
					t.Errorf("%v, %v", err, ctx.Err())
				}
			})
		}
	}
}

// Guards against an answer that comes bit by bit and so keeps a request beyond its deadline.
func TestSlowEndlessAnswersEndWithTheirContext(t *testing.T) {
	for _, a := range slices.Concat(endless.Heads, endless.Framings, endless.Bodies(" ")) {
		t.Run(a.Name, func(t *testing.T) {
			a.Every = time.Millisecond
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			if err := run(t, ctx, exchanges["whole"].run, a, 1<<20); err == nil {
				t.Error("no error")
			}
		})
	}
}
