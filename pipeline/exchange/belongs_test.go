package exchange_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
)

const mixedSeeds = 300

// mixedTarget answers requests over each connection with what is drawn: its own answer, after a second copy
// of an earlier one, before one, cut off, or with a rejection that may name no request.
type mixedTarget struct {
	mu   sync.Mutex
	draw func(n int) int
	// last is the last answer on each connection.
	last map[net.Conn]string
	// runs counts the runs by body.
	runs map[string]int
}

func (x *mixedTarget) answer(c net.Conn, r receivedRequest) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	id := r.header.Get("Id")
	rejection := fmt.Sprintf("HTTP/1.1 503 X\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
	unnamed := "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	moved := fmt.Sprintf("HTTP/1.1 421 X\r\nId: %s\r\nContent-Length: 0\r\n\r\n", id)
	own := fmt.Sprintf("HTTP/1.1 200 X\r\nId: %s\r\nSigned: yes\r\nContent-Length: %d\r\n\r\n%s", id, len(r.body), r.body)
	answer := []string{own, own, rejection, unnamed, moved}[x.draw(5)]
	if answer == own {
		x.runs[r.body]++
	}
	text, stays := answer, true
	switch x.draw(6) {
	case 0:
		text = x.last[c] + answer // a late copy, where this answer is expected
	case 1:
		text = answer + answer // an early copy
	case 2:
		text, stays = answer[:len(answer)-x.draw(len(answer))], false
	}
	x.last[c] = answer
	_, err := io.WriteString(c, text)
	return stays && err == nil
}

// Guards against an answer that is taken for that of another request: an unsafe request then runs twice, or
// any request that ran is told not to have run.
func TestNoAnswerCountsForAnotherRequest(t *testing.T) {
	for seed := range uint64(mixedSeeds) {
		rng := rand.New(rand.NewPCG(seed, 1))
		x := &mixedTarget{draw: rng.IntN, last: map[net.Conn]string{}, runs: map[string]int{}}
		r := newRig(t, "r", newTarget(t, "t1", x.answer), newTarget(t, "t2", x.answer))
		for n := range 12 {
			q := r.request([]string{"/unsafe/x", "/safe/x"}[n%2], fmt.Sprint("body ", n))
			q.Header.Set("Id", fmt.Sprint("id-", n))
			got := do(q)
			x.check(t, seed, n, got)
		}
		r.server.Close()
	}
}

// check checks the answer to the n-th request, which is unsafe if n is even.
func (x *mixedTarget) check(t *testing.T, seed uint64, n int, got reply) {
	x.mu.Lock()
	defer x.mu.Unlock()
	body := fmt.Sprint("body ", n)
	runs := x.runs[body]
	switch {
	case got.status == http.StatusOK && !got.truncated && got.body != body:
		t.Errorf("seed %d: %s was answered %q", seed, body, got.body)
	case got.status == http.StatusServiceUnavailable && runs > 0:
		t.Errorf("seed %d: %s was told not to have run, and ran", seed, body)
	case runs > 1 && n%2 == 0:
		t.Errorf("seed %d: %s ran %d times", seed, body, runs)
	}
}
