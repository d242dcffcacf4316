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

// regionSizes are the smallest, an example's, the planned largest, twice that, and
// uneven sizes of a region. Each Table has its own view, so the time of a step grows
// with the square of the members.
var regionSizes = []struct{ members, targets int }{{2, 1}, {2, 400}, {3, 6}, {9, 30}, {60, 115}, {120, 5}, {120, 400}}

// frameBytes is the overhead of a link around a payload; see BenchmarkPaced in coord/link.
const frameBytes = 37

// region simulates the Tables of all members, whose messages arrive at once.
type region struct {
	t       rapid.TB
	now     time.Time
	names   []string
	tables  []*Table
	targets []Target
	// report returns the current load report of an engine.
	report func(target string) (ports.LoadReport, error)
	// received and messages are the bytes and messages that the first member
	// received, sent the bytes that each member sent.
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
		r.tables = append(r.tables, b)
	}
	return r
}

// step runs one iteration of every member's loop.
func (r *region) step() {
	r.now = r.now.Add(tickInterval)
	for i, b := range r.tables {
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
			r.deliver(i, data)
		}
	}
}

func (r *region) deliver(from int, data []byte) {
	for i, b := range r.tables {
		if i == from || r.lost != nil && r.lost() {
			continue
		}
		r.sent[from] += len(data) + frameBytes
		if i == 0 {
			r.received += len(data) + frameBytes
			r.messages++
		}
		if _, _, err := b.HandleMessage(r.now, data); err != nil {
			r.t.Fatal(err)
		}
	}
}

// Guards against load observations that exceed their traffic budget (nine times), if
// messages grow with the square of the region: at any size, the loads of all engines
// change with every poll, versions sometimes, and there are always cache events.
func TestTrafficStaysInBudgetAtAnyRegionSize(t *testing.T) {
	for _, size := range regionSizes {
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
				r.tables[i%size.members].QueueEvent(target.ID, ports.CacheEvent{Seq: uint64(n), Stored: []uint64{1 << 60, 1 << 61}})
			}
		}
		window := (steps * tickInterval).Seconds()
		saved := budgetBurst.Seconds() + float64(minBurstBytes*size.members)/(SteadyBytesPerSecond+ExtraBytesPerSecond)
		share := r.tables[0].timing.ShareInterval.Seconds()
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
			size, r.tables[0].timing.ShareInterval, float64(got)/window, float64(r.messages-messages)/window, busiest/window)
	}
}

// loseFirst returns a loss function that drops the first message with a state.
func (r *region) loseFirst(id string, state route.State) func() bool {
	var at time.Time
	return func() bool {
		for _, b := range r.tables {
			e := b.publisher.publications[id]
			if e != nil && e.last.State == state && e.lastAt.Equal(r.now) && (at.IsZero() || at.Equal(r.now)) {
				at = r.now
				return true
			}
		}
		return false
	}
}

// Guards against state changes that reach others seconds late, if they wait for the
// owner's next round or are sent only once, and against backups that poll although the
// owner sends: engines leave, load, go down, come back, crash between two polls, and
// the first message may be lost.
func TestStateChangesAreSentAtOnce(t *testing.T) {
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
		runPastBackupDelay := func() {
			for range int(2*r.tables[0].timing.BackupDelay/tickInterval) + 1 {
				r.step()
			}
		}
		runPastBackupDelay()
		for range rapid.IntRange(1, 3).Draw(t, "changes") {
			id := rapid.SampledFrom(r.targets).Draw(t, "target").ID
			want, within := route.Down, (downAfterFailures+1)*maxPollInterval
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
				within = maxPollInterval + tickInterval
			}
			if want != route.Warm && rapid.Bool().Draw(t, "first message lost") {
				r.lost = r.loseFirst(id, want)
				within += r.tables[0].timing.ShareInterval + 2*tickInterval
			}
			for range within / tickInterval {
				r.step()
			}
			for _, b := range r.tables {
				seen, _ := b.LastObservation(id)
				if state, _ := b.State(r.now, id); state != want || seen.Incarnation != r.tables[0].engines[id].observed.Incarnation {
					t.Fatalf("%s has %s as %v of incarnation %d, want %v", b.self, id, state, seen.Incarnation, want)
				}
			}
			r.lost, reports[id], down[id] = nil, ports.LoadReport{}, false
			runPastBackupDelay()
			for _, b := range r.tables {
				if state, known := b.State(r.now, id); state != route.Warm || !known {
					t.Fatalf("%s still has %s as %v", b.self, id, state)
				}
			}
		}
		polls = 0
		for range 40 {
			r.step()
		}
		if most := len(r.targets) * (int(40*tickInterval/r.tables[0].timing.PollInterval) + 1); polls > most {
			t.Fatalf("%d polls, at most %d: backups poll although owners send", polls, most)
		}
	})
}

// Guards against instances that keep different knowledge of an engine, or mix up engines
// of different bundles: messages are lost, bundles of sender and receiver differ, and
// bytes are malformed.
func TestTablesConvergeAfterLossAndDifferentBundles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRegion(t, rapid.IntRange(2, 12).Draw(t, "members"), rapid.IntRange(2, 40).Draw(t, "targets"))
		r.report = func(id string) (ports.LoadReport, error) {
			return ports.LoadReport{Version: "v" + id, Running: len(id), Started: start}, nil
		}
		r.tables[0].SetTargets(r.targets[1:])
		r.lost = func() bool { return rapid.IntRange(0, 3).Draw(t, "lost") == 0 }
		for range 30 {
			r.step()
		}
		r.lost = nil
		r.tables[0].SetTargets(r.targets)
		for range int((detailRefresh+2*r.tables[0].timing.BackupDelay)/tickInterval) + 1 {
			r.step()
		}
		for _, b := range r.tables {
			for _, target := range r.targets {
				seen, at := b.LastObservation(target.ID)
				if seen.Version != "v"+target.ID || seen.Incarnation != uint64(start.UnixMilli()) || r.now.Sub(at) > b.timing.BackupDelay {
					t.Fatalf("%s knows %+v of %s since %v", b.self, seen, target.ID, r.now.Sub(at))
				}
			}
		}
		data := rapid.SliceOfN(rapid.Byte(), 0, 60).Draw(t, "bytes")
		if o, _, err := r.tables[0].HandleMessage(r.now, data); err != nil && len(o) > 0 {
			t.Fatal("malformed bytes are accepted")
		}
	})
}

// Guards against rows that are larger than the sizes that the budget is computed with,
// after a field is added or a bound raised.
func TestRowsAreWithinTheirSizes(t *testing.T) {
	k := newKeys([]Target{{ID: "a"}})
	pub := newPublisher()
	pub.configure(TimingOf(2, 1, 1), 1, 1, map[string]*engineState{"a": {}}, true)
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
	if none+frameBytes > MessageBytes {
		t.Errorf("an empty message takes %d B", none+frameBytes)
	}
	if got := size(message{Loads: []loadRow{rowOf(k.of["a"], huge)}}) - none; got > LoadBytes {
		t.Errorf("a row takes %d B", got)
	}
	detail := detailRow{Target: k.of["a"], Incarnation: 1 << 50, Version: "2026-11", Adapters: []string{"x", "yy"}}
	if got := size(message{Details: []detailRow{detail}}) - none; got > detailSize(Observation{Version: "2026-11", Adapters: []string{"x", "yy"}}) {
		t.Errorf("a detail takes %d B", got)
	}
	event := eventRow{Target: k.of["a"], Seq: 1 << 50, Stored: []uint64{1 << 63}, Evicted: []uint64{1 << 62}}
	if got := size(message{Events: []eventRow{event}}) - none; got > eventRowBytes+2*hashBytes {
		t.Errorf("an event takes %d B", got)
	}
}

// Guards against two engines with the same key, if their hashes share the low bits.
func TestCollidingKeysAreLong(t *testing.T) {
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
