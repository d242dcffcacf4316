package rawhttp_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gullhaven/gullhaven/ports/rawhttp"
)

// Guards against many targets whose heads have no end, each of which is bounded: together they use up the memory.
func TestEndlessHeadsAreBoundedTogether(t *testing.T) {
	const heads = 40
	lines := strings.Repeat("A: b\r\n", 100)
	s := serve(t, func(c net.Conn, r *http.Request) bool {
		if r.URL.Path != "/x" || r.Header.Get("Endless") == "" {
			answer(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			return true
		}
		answer(c, "HTTP/1.1 200 OK\r\n")
		for {
			if _, err := io.WriteString(c, lines); err != nil {
				return false
			}
		}
	})
	c := rawhttp.NewClient(rawhttp.Options{DialTimeout: time.Minute})
	var wg sync.WaitGroup
	var together atomic.Int64
	for range heads {
		wg.Go(func() {
			q := get()
			q.Target = "/x"
			q.Header.Set("Endless", "1")
			_, err := c.Do(context.Background(), s.addr(), q)
			checkLost(t, err)
			if errors.Is(err, rawhttp.ErrHeadsTooLong) {
				together.Add(1)
			} else if !errors.Is(err, rawhttp.ErrHeadTooLong) {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	if together.Load() == 0 {
		t.Error("no head was ended for the sum of all")
	}
	if body, err := exchange(c, s.addr(), get()); body != "ok" || err != nil {
		t.Errorf("another answer: %q, %v", body, err)
	}
}
