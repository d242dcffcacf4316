package promise_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gullhaven/gullhaven/route/place"
	"github.com/gullhaven/gullhaven/route/promise"
)

// arrival is a request, the second time if again is set.
type arrival struct {
	promise.Request
	deadline time.Duration
	again    bool
}

// replay runs a group of targets in steps of a millisecond and returns how many requests were refused
// twice, and how many are served in time. Without a book, refused callers return after the fixed delay.
func replay(arrivals map[time.Duration][]arrival, b *promise.Book) (twice, inTime int) {
	var queues [targets][2]float64
	for at := time.Duration(0); at < 20*time.Second; at += time.Millisecond {
		now := time.Unix(0, 0).Add(at)
		for _, a := range arrivals[at] {
			best := 0
			ahead := func(t int) float64 { return queues[t][0] + float64(a.Rank)*queues[t][1] }
			for t := range queues {
				if ahead(t) < ahead(best) {
					best = t
				}
			}
			a.QueueMillis, a.WaitMillis, a.Left = ahead(best), ahead(best)+a.WorkMillis, a.deadline-at
			after, refused := place.RetryAfter(place.Busy, a.Left), place.Overloaded(a.QueueMillis, a.Aim)
			if b != nil {
				if refused = !b.Redeem(now, a.Request) && place.Overloaded(a.QueueMillis+b.AheadMillis(now, a.Request), a.Aim); refused {
					after = b.Refuse(now, a.Request).RetryAfter
				} else {
					b.Admitted(a.Key)
				}
			}
			switch {
			case refused && a.again:
				twice++
			case refused:
				a.again = true
				back := (at + after).Truncate(time.Millisecond)
				arrivals[back] = append(arrivals[back], a)
			default:
				queues[best][a.Rank] += a.WorkMillis
				if a.WaitMillis < a.Left.Seconds()*1000 {
					inTime++
				}
			}
		}
		for t := range queues {
			if q := &queues[t]; q[0] > 0 {
				q[0]--
			} else if q[1] > 0 {
				q[1]--
			}
		}
	}
	return twice, inTime
}

const targets = 20

// powerLoss returns the requests of callers that all return within 300 ms, and of others that arrive
// meanwhile at 70% of what the targets can do: short urgent ones and half as many long ones.
func powerLoss(seed uint64, returning int) map[time.Duration][]arrival {
	const load, meanWork = 0.7, (2*25 + 110) / 3.0
	rng, out := rand.New(rand.NewPCG(seed, 1)), map[time.Duration][]arrival{}
	for key := range returning + int(6000*load*targets/meanWork) {
		at := time.Duration(rng.IntN(6000)) * time.Millisecond
		if key < returning {
			at = at.Truncate(20*time.Millisecond) / 20
		}
		a := arrival{promise.Request{Key: uint64(key), WorkMillis: 25, Aim: 800 * time.Millisecond, Targets: targets}, at + 15*time.Second, false}
		if rng.IntN(3) == 0 {
			a.Rank, a.WorkMillis, a.Aim, a.deadline = 1, 110, 2*time.Second, at+5*time.Second
		}
		out[at] = append(out[at], a)
	}
	return out
}

// Guards against callers that are refused again because all return before there is room: after a
// power loss, fewer must be refused twice than with a fixed delay, and no fewer be served in time.
func TestReplayOfReturnsAfterAPowerLoss(t *testing.T) {
	for seed := range uint64(5) {
		for _, returning := range []int{1500, 2000, 3000} {
			fixedTwice, fixedInTime := replay(powerLoss(seed, returning), nil)
			twice, inTime := replay(powerLoss(seed, returning), promise.New())
			t.Logf("%d return: refused twice %d, %d with promises; in time %d, %d with promises", returning, fixedTwice, twice, fixedInTime, inTime)
			if twice >= fixedTwice || inTime < fixedInTime {
				t.Errorf("seed %d, %d return: the promises are no gain", seed, returning)
			}
		}
	}
}
