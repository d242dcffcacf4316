package burn

import (
	"fmt"
	"math"
	"reflect"
	"testing"
	"time"

	"github.com/juju/errors"
	"pgregory.net/rapid"

	_ "github.com/gullhaven/gullhaven/coord/fixedseed"
)

var start = time.Unix(1_800_000_000, 0)

// request is one request observed in the test.
type request struct {
	at     time.Time
	region string
	event  Event
}

// Guards against a report with a wrong burn, or one that counts requests twice after a restart:
// slots are not cleared, or an incarnation is counted in two parts. Requests at several
// instances, restarts, and snapshots that arrive late, twice and in any order.
func TestReportCountsEachRequestOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		regions := []string{"jatim", "jatim", "bali"}
		histories := make([]*History, len(regions))
		for i, r := range regions {
			histories[i] = NewHistory(fmt.Sprint("i", i), r, 1)
		}
		var all []request
		var sent []Snapshot
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "seconds")) * time.Second)
			i := rapid.IntRange(0, len(histories)-1).Draw(t, "instance")
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				sent = append(sent, histories[i].Snapshot(now))
			case 1: // a restart, with the own snapshot restored once or twice
				saved := roundTrip(t, histories[i].Snapshot(now))
				if histories[i].incarnation > maxEarlierIncarnations {
					continue
				}
				histories[i] = NewHistory(histories[i].instance, histories[i].region, histories[i].incarnation+1)
				for range rapid.IntRange(1, 2).Draw(t, "times") {
					histories[i].Restore(saved)
				}
			default:
				e := Event{"s", rapid.SampledFrom([]string{"w1", "w2"}).Draw(t, "workspace"), Cause(rapid.IntRange(0, causeCount).Draw(t, "cause"))}
				histories[i].Observe(now, e)
				all = append(all, request{now, regions[i], e})
			}
		}
		var joined Snapshot
		for _, h := range histories {
			sent = append(sent, h.Snapshot(now))
		}
		for _, s := range rapid.Permutation(sent).Draw(t, "order") {
			joined = Merge(Merge(joined, roundTrip(t, s)), s)
		}
		report := NewReport(joined.Since(now), []Objective{{Service: "s", Share: 0.9}}, now)
		for _, row := range report.Rows {
			if row.Workspace == "" {
				checkRow(t, row, all, now)
			}
		}
	})
}

func roundTrip(t *rapid.T, s Snapshot) Snapshot {
	data, err := s.Encode(1 << 20)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	return got
}

// checkRow compares a row with a plain list of all requests.
func checkRow(t *rapid.T, row Row, all []request, now time.Time) {
	for i, w := range Windows {
		length := fineSlotDuration
		if w == LongestWindow {
			length = coarseSlotDuration
		}
		var want Count
		for _, q := range all {
			age := now.UnixNano()/int64(length) - q.at.UnixNano()/int64(length)
			if age < int64(w/length) && (row.Region == "" || row.Region == q.region) {
				want.Requests++
				if q.event.Cause != Met {
					want.Missed[q.event.Cause-1]++
				}
			}
		}
		got := row.Windows[i]
		rate := 0.0
		if want.Requests > 0 {
			rate = float64(want.Misses()) / float64(want.Requests) / 0.1
		}
		if got.Requests != int64(want.Requests) || got.Missed != want.Misses() || math.Abs(got.Rate-rate) > 1e-6 {
			t.Fatalf("%s %v: %+v, want %+v", row.Region, w, got, want)
		}
		if w == LongestWindow && !reflect.DeepEqual(row.Causes, missesByCause(want)) {
			t.Fatalf("causes %v, want %+v", row.Causes, want)
		}
	}
}

// Guards against memory that grows with the number of workspaces, and against a report without
// the workspace that burns: 10,000 workspaces have occasional misses and one has many. Each has
// a history, or new ones push that one out of the table.
func TestWorkspacesAreBoundedAndTheWorstIsListed(t *testing.T) {
	h := NewHistory("i", "r", 1)
	now := start
	for i := range 30_000 {
		now = now.Add(100 * time.Millisecond)
		e := Event{"s", fmt.Sprint("w", i%10_000), Late}
		if i > 1000 && i%8 == 0 {
			e.Workspace = "bad"
		}
		h.Observe(now, e)
	}
	if n := len(h.services["s"].workspaces); n != MaxWorkspaces {
		t.Fatalf("%d workspaces", n)
	}
	s := h.Snapshot(now)
	rows := NewReport(s, []Objective{{Service: "s", Share: 0.99}}, now).Rows
	if rows[2].Workspace != "bad" || rows[2].Windows[sixHours].Missed < 3500 {
		t.Fatalf("%+v", rows[2])
	}
	var total int64
	for _, r := range rows[2:] {
		total += r.Windows[sixHours].Missed
	}
	if total != rows[1].Windows[sixHours].Missed {
		t.Fatalf("workspaces and the rest miss %d, the region %d", total, rows[1].Windows[sixHours].Missed)
	}
	for i := range maxServices + 5 {
		h.Observe(now, Event{Service: fmt.Sprint("x", i)})
	}
	if len(h.services) > maxServices+1 {
		t.Fatalf("%d services", len(h.services))
	}
}

func TestVerdict(t *testing.T) {
	for _, c := range []struct {
		name string
		// missed of 100 requests each minute, by minutes ago
		missed func(ago int) int
		want   Verdict
	}{
		{"none missed", func(int) int { return 0 }, Fine},
		{"outage now", func(ago int) int { return 100 * one(ago < 20) }, Fast},
		{"outage over", func(ago int) int { return 100 * one(ago >= 10 && ago < 35) }, Slow},
		{"long over", func(ago int) int { return 100 * one(ago >= 60 && ago < 120) }, Fine},
		{"a tenth for hours", func(int) int { return 10 }, Slow},
		{"five in a hundred", func(int) int { return 5 }, Fine},
	} {
		h := NewHistory("i", "r", 1)
		for ago := 359; ago >= 0; ago-- {
			for i := range 100 {
				cause := Met
				if i < c.missed(ago) {
					cause = Refused
				}
				h.Observe(start.Add(-time.Duration(ago)*time.Minute), Event{"s", "", cause})
			}
		}
		rows := NewReport(h.Snapshot(start), []Objective{{Service: "s", Share: 0.99}, {Service: "quiet", Share: 0.9}}, start).Rows
		if rows[0].Verdict != c.want || rows[3].Verdict != Idle {
			t.Errorf("%s: %s and %s, want %s", c.name, rows[0].Verdict, rows[3].Verdict, c.want)
		}
	}
}

func one(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Guards against counts of a damaged file in reports, and against a snapshot that does not fit a
// message: bytes are not checked, or sizes not bounded.
func TestSnapshotsAreBoundedAndChecked(t *testing.T) {
	h := fullHistory(start)
	s := h.Snapshot(start)
	data, err := s.Encode(1 << 20)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("36 services, 16 workspaces each, six hours full: %d bytes", len(data))
	small, err := s.Encode(len(data) / 2)
	if err != nil || len(small) > len(data)/2 {
		t.Fatalf("%d bytes, %v", len(small), err)
	}
	if _, err := s.Encode(1000); !errors.Is(err, ErrTooLarge) {
		t.Fatal(err)
	}
	if _, err := Decode(data[:len(data)-1]); !errors.Is(err, ErrMalformed) {
		t.Fatal(err)
	}
	nowhere := Snapshot{Parts: []Part{{Instance: "i"}}}
	if data, err = nowhere.Encode(1000); err != nil {
		t.Fatal(err)
	}
	if _, err := Decode(data); !errors.Is(err, ErrMalformed) {
		t.Fatal("a part without a region: ", err)
	}
	for name, packed := range map[string][]byte{"unknown cause": {2, 1, 1 << causeCount}, "cut short": {2, 1}, "no number": {0x80}} {
		if err := new(Slots).UnmarshalBinary(packed); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: %v", name, err)
		}
	}
	long := Slots{}
	for i := range fineSlotCount + 1 {
		long = append(long, Slot{Number: int64(i)})
	}
	if data, err = (Snapshot{Parts: []Part{{Instance: "i", Region: "r", Services: []ServicePart{{Fine: long}}}}}).Encode(1 << 20); err != nil {
		t.Fatal(err)
	}
	if _, err := Decode(data); !errors.Is(err, ErrMalformed) {
		t.Fatal("too many slots: ", err)
	}
	s.Parts[0].Services[0].Fine[0].Count.Missed[0] = 1 << 30
	if data, err = s.Encode(1 << 20); err != nil {
		t.Fatal(err)
	}
	if _, err := Decode(data); !errors.Is(err, ErrMalformed) {
		t.Fatal(err)
	}
}

// fullHistory returns a history of 36 services with 16 workspaces each, with requests in all
// slots of six hours.
func fullHistory(now time.Time) *History {
	h := NewHistory("instance-1", "region-1", 1)
	for ago := LongestWindow; ago >= 0; ago -= fineSlotDuration {
		for s := range 36 {
			for i := range 2 * MaxWorkspaces {
				h.Observe(now.Add(-ago), Event{fmt.Sprintf("service-%02d", s), fmt.Sprintf("workspace-%02d", i/2), Cause(i % 2)})
			}
		}
	}
	return h
}

// BenchmarkObserve measures the cost of one request in the history.
func BenchmarkObserve(b *testing.B) {
	h := NewHistory("i", "r", 1)
	for i := 0; b.Loop(); i++ {
		h.Observe(start.Add(time.Duration(i)*time.Millisecond), Event{"s", "w", Cause(i & 1)})
	}
}

// Guards against a burn that starts at zero after the restart of an instance without a disk, and
// against memory of a peer that grows with the restarts of others: parts are kept for the wrong
// instance or without a bound. An instance hands over, restarts and restores; others restart all
// the time.
func TestPeerPartsRestoreARestartedInstance(t *testing.T) {
	var peers PeerParts
	first := NewHistory("i", "r", 1)
	first.Observe(start, Event{"s", "w", Late})
	peers.Add(start, first.Snapshot(start))
	for n := range uint64(3 * maxPeerParts) {
		other := NewHistory(fmt.Sprint("other-", n%40), "r", n+1)
		other.Observe(start, Event{"s", "w", Met})
		peers.Add(start, other.Snapshot(start.Add(-time.Second)))
	}
	if n := len(peers.All().Parts); n != maxPeerParts {
		t.Fatalf("%d parts", n)
	}
	again := NewHistory("i", "r", 2)
	again.Restore(peers.ForInstance("i"))
	again.Restore(peers.All())
	now := start.Add(time.Minute)
	again.Observe(now, Event{"s", "w", Met})
	row := NewReport(again.Snapshot(now), []Objective{{Service: "s", Share: 0.9}}, now).Rows[0]
	if w := row.Windows[fiveMinutes]; w.Requests != 2 || w.Missed != 1 {
		t.Fatalf("%+v", w)
	}
	if peers.Add(start.Add(LongestWindow+time.Minute), Snapshot{}); len(peers.All().Parts) > 0 {
		t.Fatal("parts are kept beyond the longest window")
	}
}
