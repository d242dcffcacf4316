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

	"pgregory.net/rapid"

	"github.com/gullhaven/gullhaven/ports/rawhttp"
)

// Guards against bytes of answers that are counted twice, never given back, or let through over the bound.
func TestSharesOfABudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit, free = 100, 10
		b := rawhttp.NewBudget(limit)
		shares, taken := make([]*rawhttp.Share, 8), make([]int64, 8)
		for k := range shares {
			shares[k] = b.NewShare(free)
		}
		closed := map[int]bool{}
		t.Repeat(map[string]func(*rapid.T){
			"take": func(t *rapid.T) {
				k, n := rapid.IntRange(0, len(shares)-1).Draw(t, "share"), rapid.Int64Range(0, 40).Draw(t, "bytes")
				if shares[k].Take(n) {
					taken[k] += n
				} else if !closed[k] && taken[k]+n <= free {
					t.Fatal("free bytes are refused")
				}
			},
			"close": func(t *rapid.T) {
				k := rapid.IntRange(0, len(shares)-1).Draw(t, "share")
				shares[k].Close()
				taken[k], closed[k] = 0, true
			},
			"": func(t *rapid.T) {
				sum := int64(0)
				for _, n := range taken {
					sum += max(0, n-free)
				}
				if b.Used() != sum || sum > limit {
					t.Fatalf("%d bytes are used, %d are held", b.Used(), sum)
				}
			},
		})
	})
}

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
