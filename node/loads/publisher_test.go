package loads

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gullhaven/gullhaven/ports"
	"github.com/gullhaven/gullhaven/route"
)

// sizes of regions: the smallest, an example's, the planned largest, twice that
// and uneven ones. Each Book has its own view, so a step takes their square.
var sizes = []struct{ members, targets int }{{2, 1}, {2, 400}, {3, 6}, {9, 30}, {60, 115}, {120, 5}, {120, 400}}

// measuredFrame are the bytes of a link around a payload (BenchmarkPaced).
const measuredFrame = 37

// region is the Books of all members, whose messages arrive at once.
type region struct {
	t       rapid.TB
	now     time.Time
	names   []string
	books   []*Table
	targets []Target
	// report is what an engine says now.
	report func(target string) (ports.LoadReport, error)
	// received are bytes at the first member, and sent by each; messages those
	// that the first received.
	received, messages int
	sent               []int
	lost               func() bool
}

func newRegion(t rapid.TB, members, engines int) *region {
	r := &region{t: t, now: start, targets: targets(engines), sent: make([]int, members)}
	for i := range members {
		r.names = append(r.names, fmt.Sprint("m", i))
	}
	for _, name := range r.names {
		b := NewTable(name)
		b.SetTargets(r.targets)
		b.SetMembers(r.names)
		r.books = append(r.books, b)
	}
	return r
}

// step is one turn of every loop.
func (r *region) step() {
	r.now = r.now.Add(tick)
	for i, b := range r.books {
		for _, due := range b.Due(r.now) {
			report, err := r.report(due.ID)
			report.At = r.now
			b.HandlePoll(r.now, due.ID, report, err)
		}
		data, err := b.Share(r.now)
		if err != nil {
			r.t.Fatal(err)
		}
		if data != nil {
			r.tell(i, data)
		}
	}
}

func (r *region) tell(from int, data []byte) {
	for i, b := range r.books {
		if i == from || r.lost != nil && r.lost() {
			continue
		}
		r.sent[from] += len(data) + measuredFrame
		if i == 0 {
			r.received += len(data) + measuredFrame
			r.messages++
		}
		if _, _, err := b.HandleMessage(r.now, data); err != nil {
			r.t.Fatal(err)
		}
	}
}

// Symptom: load observations take nine times the budget of control.
// Events: any size of a region; loads of all engines change with every poll,
// versions and adapters now and then, each poll finds cache events.
// Cause: messages that grow with the square of the region.
func TestBytesStayInTheBudgetAtAnySize(t *testing.T) {
	for _, size := range sizes {
		r := newRegion(t, size.members, size.targets)
		n := 0
		r.report = func(string) (ports.LoadReport, error) {
			n++
			return ports.LoadReport{
				Running: n % 60_000, Waiting: n * 7 % 50_000, WaitingTokens: 1<<31 + n, KVUsed: float64(n%1000) / 1000,
				Version: fmt.Sprint("2026-", n/500), Adapters: []string{"summaries", "synopses"}, Started: start,
			}, nil
		}
		for range 100 {
			r.step()
		}
		from, messages, sentFrom := r.received, r.messages, slices.Clone(r.sent)
		const steps = 300
		for range steps {
			r.step()
			for i, target := range r.targets {
				r.books[i%size.members].QueueEvent(target.ID, ports.CacheEvent{Seq: uint64(n), Stored: []uint64{1 << 60, 1 << 61}})
			}
		}
		window := (steps * tick).Seconds()
		saved := burstTime.Seconds() + float64(leastBurst*size.members)/(SteadyBytesPerSecond+ExtraBytesPerSecond)
		share := r.books[0].pace.ShareInterval.Seconds()
		most := (SteadyBytesPerSecond + ExtraBytesPerSecond) * (window + saved + share)
		got := r.received - from
		if float64(got) > most {
			t.Errorf("%v: received %d B in %v s, at most %.0f", size, got, window, most)
		}
		busiest := 0.0
		for i, sent := range r.sent {
			busiest = max(busiest, float64(sent-sentFrom[i]))
		}
		if busiest > 2*most {
			t.Errorf("%v: sent %.0f B in %v s, at most %.0f", size, busiest, window, 2*most)
		}
		t.Logf("%v: share %v, received %.0f B/s, in %.1f messages/s, the busiest sent %.0f B/s",
			size, r.books[0].pace.ShareInterval, float64(got)/window, float64(r.messages-messages)/window, busiest/window)
	}
}

// firstOf loses the first message that tells of a state.
func (r *region) firstOf(id string, state route.State) func() bool {
	var at time.Time
	return func() bool {
		for _, b := range r.books {
			e := b.teller.told[id]
			if e != nil && e.last.State == state && e.lastAt.Equal(r.now) && (at.IsZero() || at.Equal(r.now)) {
				at = r.now
				return true
			}
		}
		return false
	}
}

// Symptom: a leaving target gets work for seconds, since the next round of its
// owner is that far; or the interval is long and nobody hears of an engine.
// Events: any size; engines leave, load, go down, come back, crash between two
// polls; the first message of it is lost.
// Cause: changes of state that wait for the round, are told once only, or deputies that step in for
// owners that are not silent.
func TestChangesOfStateSpreadAtOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.SampledFrom([]int{2, 3, 9, 20, 60}).Draw(t, "members")
		r := newRegion(t, members, rapid.IntRange(1, 40).Draw(t, "targets"))
		reports := map[string]ports.LoadReport{}
		down := map[string]bool{}
		polls := 0
		r.report = func(id string) (ports.LoadReport, error) {
			polls++
			if down[id] {
				return ports.LoadReport{}, errPoll
			}
			return reports[id], nil
		}
		settle := func() {
			for range int(2*r.books[0].pace.BackupDelay/tick) + 1 {
				r.step()
			}
		}
		settle()
		for range rapid.IntRange(1, 3).Draw(t, "changes") {
			id := rapid.SampledFrom(r.targets).Draw(t, "target").ID
			want, within := route.Down, (downAfter+1)*slowestPoll
			switch rapid.IntRange(0, 3).Draw(t, "change") {
			case 0:
				want, reports[id] = route.Leaving, ports.LoadReport{Draining: true}
			case 1:
				want, reports[id] = route.Loading, ports.LoadReport{Loading: true}
			case 2:
				want, reports[id] = route.Warm, ports.LoadReport{Started: r.now}
			case 3:
				down[id] = true
			}
			if !down[id] {
				within = slowestPoll + tick
			}
			if want != route.Warm && rapid.Bool().Draw(t, "first message lost") {
				r.lost = r.firstOf(id, want)
				within += r.books[0].pace.ShareInterval + 2*tick
			}
			for range within / tick {
				r.step()
			}
			for _, b := range r.books {
				seen, _ := b.LastObservation(id)
				if state, _ := b.State(r.now, id); state != want || seen.Incarnation != r.books[0].entries[id].seen.Incarnation {
					t.Fatalf("%s holds %s for %v of life %d, want %v", b.self, id, state, seen.Incarnation, want)
				}
			}
			r.lost, reports[id], down[id] = nil, ports.LoadReport{}, false
			settle()
			for _, b := range r.books {
				if state, known := b.State(r.now, id); state != route.Warm || !known {
					t.Fatalf("%s holds %s for %v for good", b.self, id, state)
				}
			}
		}
		polls = 0
		for range 40 {
			r.step()
		}
		if most := len(r.targets) * (int(40*tick/r.books[0].pace.PollInterval) + 1); polls > most {
			t.Fatalf("%d polls, at most %d: deputies poll although owners speak", polls, most)
		}
	})
}

// Symptom: what is known of an engine differs between instances for good, or
// one bundle's names are taken for another's.
// Events: messages are lost; bundles of sender and receiver differ; bytes are
// changed on the way.
// Cause: details told once, rows by place in a list, values that nobody checks.
func TestLossAndOtherBundlesHeal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRegion(t, rapid.IntRange(2, 12).Draw(t, "members"), rapid.IntRange(2, 40).Draw(t, "targets"))
		r.report = func(id string) (ports.LoadReport, error) {
			return ports.LoadReport{Version: "v" + id, Running: len(id), Started: start}, nil
		}
		r.books[0].SetTargets(r.targets[1:])
		r.lost = func() bool { return rapid.IntRange(0, 3).Draw(t, "lost") == 0 }
		for range 30 {
			r.step()
		}
		r.lost = nil
		r.books[0].SetTargets(r.targets)
		for range int((refresh+2*r.books[0].pace.BackupDelay)/tick) + 1 {
			r.step()
		}
		for _, b := range r.books {
			for _, target := range r.targets {
				seen, at := b.LastObservation(target.ID)
				if seen.Version != "v"+target.ID || seen.Incarnation != uint64(start.UnixMilli()) || r.now.Sub(at) > b.pace.BackupDelay {
					t.Fatalf("%s knows %+v of %s since %v", b.self, seen, target.ID, r.now.Sub(at))
				}
			}
		}
		data := rapid.SliceOfN(rapid.Byte(), 0, 60).Draw(t, "bytes")
		if o, _, err := r.books[0].HandleMessage(r.now, data); err != nil && len(o) > 0 {
			t.Fatal("malformed bytes are believed")
		}
	})
}

// Symptom: a row is larger than the budget was worked out with.
// Cause: a field added, a bound raised.
func TestRowsAreWithinTheirBounds(t *testing.T) {
	k := newKeys([]Target{{ID: "a"}})
	teller := newTeller()
	teller.set(TimingOf(2, 1, 1), 1, 1, map[string]*entry{"a": {}}, true)
	huge := Observation{
		Target: "a", AgeMillis: 1 << 50, Running: 1 << 50, Waiting: 1 << 50, WaitingTokens: 1 << 50, KVUsed: 7, State: route.Down,
	}
	size := func(m message) int {
		data, err := encode(m)
		if err != nil {
			t.Fatal(err)
		}
		return len(data)
	}
	none := size(message{})
	if none+measuredFrame > MessageBytes {
		t.Errorf("an empty message takes %d B", none+measuredFrame)
	}
	if got := size(message{Loads: []loadRow{rowOf(k.of["a"], huge)}}) - none; got > LoadBytes {
		t.Errorf("a row takes %d B", got)
	}
	detail := detailRow{Target: k.of["a"], Life: 1 << 50, Version: "2026-11", Adapters: []string{"x", "yy"}}
	if got := size(message{Details: []detailRow{detail}}) - none; got > detailSize(Observation{Version: "2026-11", Adapters: []string{"x", "yy"}}) {
		t.Errorf("a detail takes %d B", got)
	}
	event := eventRow{Target: k.of["a"], Seq: 1 << 50, Stored: []uint64{1 << 63}, Evicted: []uint64{1 << 62}}
	if got := size(message{Events: []eventRow{event}}) - none; got > eventRowBytes+2*hashBytes {
		t.Errorf("an event takes %d B", got)
	}
}

// Symptom: two engines are taken for one. Cause: hashes that share their bits.
func TestKeysThatCollideAreLong(t *testing.T) {
	seen := map[uint64]string{}
	var a, b string
	for i := 0; a == ""; i++ {
		id := fmt.Sprint("runner-", i)
		if other, twice := seen[shortKey(id)]; twice {
			a, b = other, id
		}
		seen[shortKey(id)] = id
	}
	k := newKeys([]Target{{ID: a}, {ID: b}, {ID: "c"}})
	if k.of[a] == k.of[b] || k.id[k.of[a]] != a || k.id[k.of[b]] != b || k.id[shortKey(a)] != "" || k.of["c"] != shortKey("c") {
		t.Fatalf("%+v", k)
	}
}
