package promise_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gullhaven/gullhaven/route/place"
	"github.com/gullhaven/gullhaven/route/promise"
)

const targets = 20

// kind is a kind of request: work at a target, aim and time to the deadline are in milliseconds.
type kind struct{ rank, work, aim, deadline int }

// kinds are short urgent and long less urgent requests.
var kinds = []kind{{rank: 0, work: 25, aim: 800, deadline: 15000}, {rank: 2, work: 110, aim: 2000, deadline: 5000}}

// arrival is a request at a time in milliseconds, the second time if refused before.
type arrival struct {
	kind
	key, start int
	again      bool
}

// outcome counts requests. inTime are those admitted whose first event is within their deadline.
type outcome struct{ all, refused, refusedTwice, inTime int }

// replay runs a group of targets in steps of a millisecond. Without a book refused callers return
// after the fixed delay.
func replay(arrivals map[int][]arrival, millis int, b *promise.Book) (out outcome) {
	var queues [targets][3]float64
	begin := time.Unix(0, 0)
	for ms := range millis {
		now := begin.Add(time.Duration(ms) * time.Millisecond)
		for _, a := range arrivals[ms] {
			best, queue := 0, 1e9
			for t := range queues {
				ahead := 0.0
				for _, work := range queues[t][:a.rank+1] {
					ahead += work
				}
				if ahead < queue {
					best, queue = t, ahead
				}
			}
			left := time.Duration(a.start+a.deadline-ms) * time.Millisecond
			r := promise.Request{
				Key: uint64(a.key), Rank: a.rank, QueueMillis: queue, WaitMillis: queue + float64(a.work), WorkMillis: float64(a.work),
				Aim: time.Duration(a.aim) * time.Millisecond, Left: left, Targets: targets,
			}
			admitted, after := false, place.RetryAfter(place.Busy, left)
			if b == nil {
				admitted = !place.Overloaded(queue, r.Aim)
			} else if b.Redeem(now, r) == promise.Kept {
				admitted = true
			} else if admitted = !place.Overloaded(queue+b.AheadMillis(now, r), r.Aim); admitted {
				b.Admitted(r.Key)
			} else {
				after = b.Refuse(now, r).RetryAfter
			}
			switch {
			case admitted:
				queues[best][a.rank] += float64(a.work)
				if r.WaitMillis < float64(left.Milliseconds()) {
					out.inTime++
				}
			case a.again:
				out.refusedTwice++
			default:
				out.refused++
				a.again = true
				at := ms + max(1, int(after.Milliseconds()))
				arrivals[at] = append(arrivals[at], a)
			}
			if !a.again {
				out.all++
			}
		}
		for t := range queues {
			for rank := range queues[t] {
				if queues[t][rank] > 0 {
					queues[t][rank] = max(0, queues[t][rank]-1)
					break
				}
			}
		}
	}
	out.all += out.refused
	return out
}

// powerLoss returns the requests of callers that all return within 300 ms, and of others that arrive
// meanwhile at 70% of what the targets can do.
func powerLoss(seed uint64, returning int) map[int][]arrival {
	const load, arrivingMillis = 0.7, 6000
	rng, out, key := rand.New(rand.NewPCG(seed, 1)), map[int][]arrival{}, 0
	add := func(ms int) {
		key++
		k := kinds[0]
		if rng.IntN(3) == 0 {
			k = kinds[1]
		}
		out[ms] = append(out[ms], arrival{kind: k, key: key, start: ms})
	}
	for range returning {
		add(rng.IntN(300))
	}
	meanWork := float64(2*kinds[0].work+kinds[1].work) / 3
	for ms := range arrivingMillis {
		for n := load * targets / meanWork; n > rng.Float64(); n-- {
			add(ms)
		}
	}
	return out
}

// Guards against callers that are refused again because all return before there is room: after a
// power loss, fewer must be refused twice than with a fixed delay, and no fewer be served in time.
func TestReplayOfReturnsAfterAPowerLoss(t *testing.T) {
	for seed := range uint64(5) {
		for _, returning := range []int{1500, 2000, 3000} {
			const millis = 20000
			fixed := replay(powerLoss(seed, returning), millis, nil)
			book := promise.New()
			promised := replay(powerLoss(seed, returning), millis, book)
			t.Logf("%d return: fixed %+v, promised %+v, %+v", returning, fixed, promised, book.TakeCounts())
			if promised.refusedTwice >= fixed.refusedTwice || promised.inTime < fixed.inTime {
				t.Errorf("seed %d, %d return: %+v with a fixed delay, %+v with promises", seed, returning, fixed, promised)
			}
		}
	}
}
