package memory_test

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gullhaven/gullhaven/coord/memory"
)

// start is the virtual time at which the tests begin.
var start = time.Unix(1_000_000, 0)

// drawClaim draws a claim, mostly one that may yield.
func drawClaim(t *rapid.T, label string) memory.Claim {
	return memory.Claim{
		Held:     rapid.Int64Range(0, 3*memory.Small).Draw(t, label+" held"),
		Lag:      time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, label+" lag")),
		MayYield: rapid.IntRange(0, 3).Draw(t, label+" may yield") > 0,
	}
}

// Guards against requests that end for others though they run, hold less and progress faster, or in vain.
func TestThoseWhoHoldMuchAndLagYieldFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		newcomer := drawClaim(t, "newcomer")
		var others []memory.Claim
		for range rapid.IntRange(0, 8).Draw(t, "others") {
			others = append(others, drawClaim(t, "other"))
		}
		need := rapid.Int64Range(1, 8*memory.Small).Draw(t, "need")
		chosen, ok := memory.Choose(newcomer, others, need)
		if !ok && len(chosen) > 0 {
			t.Fatal("some yield in vain")
		}
		yields, sum := map[int]bool{}, int64(0)
		for _, k := range chosen {
			if yields[k] || !others[k].MayYield || others[k].Held == 0 {
				t.Fatalf("%+v yields", others[k])
			}
			yields[k] = true
			sum += others[k].Held
		}
		if ok && sum < need {
			t.Fatalf("%d bytes yield, %d are needed", sum, need)
		}
		if ok && sum-others[chosen[len(chosen)-1]].Held >= need {
			t.Fatal("more yield than needed")
		}
		better := func(a, b memory.Claim) bool {
			return a.Held <= b.Held && a.Lag <= b.Lag && a != b
		}
		for _, k := range chosen {
			if newcomer.MayYield && better(others[k], newcomer) {
				t.Fatalf("%+v yields to %+v", others[k], newcomer)
			}
			for j, other := range others {
				if !yields[j] && other.MayYield && other.Held > 0 && better(others[k], other) {
					t.Fatalf("%+v yields before %+v", others[k], other)
				}
				if !yields[j] && other.MayYield && other.Held > memory.Small && others[k].Held <= memory.Small {
					t.Fatalf("the small %+v yields before %+v", others[k], other)
				}
			}
		}
	})
}

// Guards against a connection that is ended though its peer has kept up better than others.
func TestSlowestIsFarthestBehind(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var claims []memory.Claim
		for range rapid.IntRange(0, 8).Draw(t, "claims") {
			claims = append(claims, drawClaim(t, "claim"))
		}
		k := memory.Slowest(claims)
		for _, c := range claims {
			if c.MayYield && (k < 0 || c.Lag > claims[k].Lag || c.Lag == claims[k].Lag && c.Held > claims[k].Held) {
				t.Fatalf("%+v is slower than the one chosen of %+v", c, claims)
			}
		}
		if k >= 0 && !claims[k].MayYield {
			t.Fatalf("%+v may not yield", claims[k])
		}
	})
}

// world is a budget with the shares of some connections, each of which ends late after it was told to yield.
type world struct {
	b      *memory.Budget
	now    time.Time
	shares []*memory.Share
	held   []int64
	phases []memory.Phase
	// moves are the bytes that were moved in the phase, which began at since.
	moves []int64
	since []time.Time
	told  []bool
}

func (w *world) open(k int) {
	w.shares[k], w.held[k], w.told[k] = w.b.Open(func() { w.told[k] = true }), 0, false
	w.begin(k, memory.Reading)
}

func (w *world) begin(k int, p memory.Phase) {
	w.phases[k], w.moves[k], w.since[k] = p, 0, w.now
	w.shares[k].Begin(p, w.now)
}

// mayYield reports whether the request of a share waits for its peer, in writing for a second and the time that what was
// moved takes.
func (w *world) mayYield(k int) bool {
	stalled := w.now.Sub(w.since[k]) - time.Duration(float64(w.moves[k])/(64<<10)*float64(time.Second))
	return w.phases[k] == memory.Reading || w.phases[k] == memory.Writing && stalled >= time.Second
}

// Guards against a sum of all bytes over the bound, bytes that are counted twice or never given back, requests that
// are ended while they run, and small requests that are refused while larger ones wait for their peers.
func TestSharesOfABudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit, most = 4 * memory.Small, 5 * memory.Small
		w := &world{b: memory.New(limit), now: start}
		const n, rounds = 6, 10
		w.shares, w.held, w.phases, w.told = make([]*memory.Share, n), make([]int64, n), make([]memory.Phase, n), make([]bool, n)
		w.moves, w.since = make([]int64, n), make([]time.Time, n)
		for k := range n {
			w.open(k)
		}
		draw := func(t *rapid.T) int { return rapid.IntRange(0, n-1).Draw(t, "share") }
		take := func(t *rapid.T) {
			k, bytes := draw(t), rapid.Int64Range(0, 3*memory.Small).Draw(t, "bytes")
			before := append([]bool{}, w.told...)
			room := w.yieldable(k)
			ok := w.shares[k].Take(w.now, bytes)
			if ok {
				w.held[k] += bytes
			}
			if used := w.used(); ok && w.held[k] > memory.Small && used > limit*3/4 {
				t.Fatalf("a large share takes up the part of small ones: %d bytes are used", used)
			}
			for j := range n {
				if w.told[j] && !before[j] && !w.mayYield(j) {
					t.Fatalf("share %d is ended in phase %d", j, w.phases[j])
				}
			}
			if !ok && !before[k] && w.held[k]+bytes <= memory.Small && room >= bytes && w.yieldingBytes() == 0 {
				t.Fatalf("%d bytes of a small share are refused while larger ones hold %d", bytes, room)
			}
		}
		actions := map[string]func(*rapid.T){
			"take": take, "take more": take, "take again": take,
			"phase": func(t *rapid.T) {
				w.begin(draw(t), rapid.SampledFrom([]memory.Phase{memory.Busy, memory.Reading, memory.Writing, memory.Idle}).Draw(t, "phase"))
			},
			"run": func(t *rapid.T) {
				k := draw(t)
				if ok := w.shares[k].Run(w.now); ok == w.told[k] {
					t.Fatalf("a share that was told to yield: %v, runs: %v", w.told[k], ok)
				} else if ok {
					w.phases[k], w.moves[k], w.since[k] = memory.Busy, 0, w.now
				}
			},
			"moved": func(t *rapid.T) {
				k, bytes := draw(t), rapid.IntRange(0, 1<<20).Draw(t, "bytes")
				w.shares[k].Moved(bytes)
				w.moves[k] += int64(bytes)
			},
			"give": func(t *rapid.T) {
				k, bytes := draw(t), rapid.Int64Range(0, memory.Small).Draw(t, "bytes")
				w.shares[k].Give(bytes)
				w.held[k] = max(0, w.held[k]-bytes)
			},
			"wait": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "time")))
			},
			"end": func(t *rapid.T) {
				k := draw(t)
				w.shares[k].Close()
				if w.shares[k].Take(w.now, 1) {
					t.Fatal("a closed share takes bytes")
				}
				w.open(k)
			},
			"": func(t *rapid.T) {
				sum := int64(0)
				for _, held := range w.held {
					sum += held
				}
				if got := w.b.Stats().Held; got != sum || sum > most {
					t.Fatalf("%d bytes are counted, %d are held", got, sum)
				}
			},
		}
		for range rounds {
			t.Repeat(actions)
		}
	})
}

// yieldable returns what large shares other than k hold that may be ended.
func (w *world) yieldable(k int) (sum int64) {
	for j := range w.shares {
		if j != k && !w.told[j] && w.held[j] > memory.Small && w.mayYield(j) {
			sum += w.held[j]
		}
	}
	return sum
}

// used returns what shares hold that were not told to yield.
func (w *world) used() (sum int64) {
	for j := range w.shares {
		if !w.told[j] {
			sum += w.held[j]
		}
	}
	return sum
}

func (w *world) yieldingBytes() (sum int64) {
	for j := range w.shares {
		if w.told[j] {
			sum += w.held[j]
		}
	}
	return sum
}

// Guards against connections that are taken for slow although they keep up.
func TestPeersThatKeepUpDoNotLag(t *testing.T) {
	b := memory.New(memory.DefaultLimit)
	s := b.Open(func() {})
	s.Begin(memory.Reading, start)
	s.Moved(1 << 20)
	if c := s.Claim(start.Add(10 * time.Second)); c.Lag != 0 || !c.MayYield {
		t.Errorf("%+v after 1 MiB in 10 s", c)
	}
	if c := s.Claim(start.Add(20 * time.Second)); c.Lag != 4*time.Second {
		t.Errorf("%+v after 1 MiB in 20 s", c)
	}
}

// Guards against heads of many short lines that count for little and take up much.
func TestHeadsCountByLines(t *testing.T) {
	short, long := memory.HeadBytes([]byte(strings.Repeat("a:\r\n", 1000))), memory.HeadBytes([]byte(strings.Repeat("a", 3998)+"\r\n"))
	if short < 100*1000 || long > 3*4000 {
		t.Errorf("%d bytes for short lines, %d for a long one", short, long)
	}
}

// Guards against a process whose limit does not follow from its memory.
func TestLimitFollowsFromTheMemory(t *testing.T) {
	if got := memory.Limit(0); got != memory.DefaultLimit {
		t.Errorf("%d bytes if the memory is unknown", got)
	}
	if got := memory.Limit(284); got > 284<<20/4 || got < 284<<20/8 {
		t.Errorf("%d bytes of 284 MiB", got)
	}
}
