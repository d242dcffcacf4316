package memory

import (
	"math"
	"time"
)

const (
	// pace is how many bytes a second a peer must send or read not to fall behind.
	pace = 64 << 10
	// minLag keeps what a share holds in the balance where nobody has fallen behind.
	minLag = time.Second
	// stallTime is how far a peer must have fallen behind in reading its answer for the request, which has run, to be
	// ended.
	stallTime = time.Second
)

// Claim is what decides whether a share yields.
type Claim struct {
	// Held is what it holds, in bytes.
	Held int64
	// Lag is how far its peer has fallen behind the pace; never negative.
	Lag time.Duration
	// MayYield says that its request waits for its peer: for the rest of what it sends, or, for some time already,
	// until it reads.
	MayYield bool
}

// lag returns how far a peer has fallen behind that has moved bytes in a time.
func lag(elapsed time.Duration, moved int64) time.Duration {
	return max(0, elapsed-time.Duration(float64(moved)/pace*float64(time.Second)))
}

// before reports whether a yields before b: large ones before small ones, then those that hold much for long.
func before(a, b Claim) bool {
	if aLarge, bLarge := a.Held > Small, b.Held > Small; aLarge != bLarge {
		return aLarge
	}
	return a.cost() > b.cost()
}

func (c Claim) cost() float64 { return float64(c.Held) * (c.Lag + minLag).Seconds() }

// Choose chooses among the claims of others those that yield so that a newcomer gets need bytes, and returns their
// indices. It reports false, and chooses none, if those that yield before the newcomer don't hold as much. A newcomer
// that may not yield goes before all.
func Choose(newcomer Claim, others []Claim, need int64) (chosen []int, ok bool) {
	taken := make([]bool, len(others))
	for need > 0 {
		worst := -1
		for k, c := range others {
			if !taken[k] && c.MayYield && c.Held > 0 && (worst < 0 || before(c, others[worst])) {
				worst = k
			}
		}
		if worst < 0 || newcomer.MayYield && !before(others[worst], newcomer) {
			return nil, false
		}
		taken[worst] = true
		chosen = append(chosen, worst)
		need -= others[worst].Held
	}
	return chosen, true
}

// Slowest returns the index of the claim whose peer has fallen behind farthest, and which holds more among equals; -1
// if none may yield.
func Slowest(claims []Claim) int {
	slowest, most := -1, Claim{Lag: math.MinInt64}
	for k, c := range claims {
		if c.MayYield && (c.Lag > most.Lag || c.Lag == most.Lag && c.Held > most.Held) {
			slowest, most = k, c
		}
	}
	return slowest
}

// headLineBytes is what a parsed header line takes up beside its text: an entry of a map, a list and two strings.
const headLineBytes = 144

// HeadBytes returns what a head takes up when parsed, of which text was read.
func HeadBytes(text []byte) int64 {
	lines := 0
	for _, x := range text {
		if x == '\n' {
			lines++
		}
	}
	return int64(2*len(text) + headLineBytes*lines)
}
