package newest_test

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/gullhaven/gullhaven/bundle/newest"
)

// order applies an order of a zone; decided is nil for an order of an older release.
func order(t rapid.TB, m *newest.Machine, index uint64, zone string, on bool, decided *uint64) newest.Result {
	r, err := newest.DecodeResult(m.Apply(index, entry(t, newest.Command{Evacuation: &newest.Evacuation{Zone: zone, Evacuate: on, Decided: decided}})))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Guards against an order that was delayed and undoes one that was acknowledged after it was
// received, and against repeated orders that are not acknowledged.
func TestDelayedOrdersAreRefused(t *testing.T) {
	type step struct {
		on      bool
		decided int // Index of the decision; -1 for an order of an older release.
		refused bool
	}
	for name, steps := range map[string][]step{
		"a withdrawal after a newer evacuation":               {{true, 0, false}, {false, 1, false}, {true, 2, false}, {false, 1, true}},
		"a repeated evacuation":                               {{true, 0, false}, {true, 0, false}, {true, 1, false}},
		"an evacuation after a withdrawal without effect":     {{false, 0, false}, {true, 0, true}},
		"a withdrawal after a repeated evacuation":            {{true, 0, false}, {true, 1, false}, {false, 1, true}},
		"an order that is decided again where it was refused": {{true, 0, false}, {false, 0, true}, {false, 2, false}},
		"an order of an older release":                        {{true, 0, false}, {true, 1, false}, {false, -1, false}, {true, 2, true}},
	} {
		m := newest.NewMachine(nil)
		for n, s := range steps {
			index, before := uint64(n+1), len(m.State().Zones())
			decided := new(uint64(max(s.decided, 0)))
			if s.decided < 0 {
				decided = nil
			}
			r := order(t, m, index, "z", s.on, decided)
			if after := len(m.State().Zones()); (r.RefusedAt == index) != s.refused || s.refused && after != before || !s.refused && (after == 1) != s.on {
				t.Errorf("%s: step %d: result %+v, %d zones before and %d after", name, n, r, before, after)
			}
		}
	}
}

// Guards against a table of zones that grows with each name, and against delayed orders that are
// carried out once their zone is forgotten.
func TestFencesAreBoundedAndSurviveSnapshots(t *testing.T) {
	Convey("one zone more than the machine knows, all of them withdrawn", t, func() {
		m := newest.NewMachine(nil)
		const last = newest.MaxFencedZones + 1
		for index := uint64(1); index <= last; index++ {
			order(t, m, index, fmt.Sprint("z", index), false, new(index-1))
		}
		data, err := m.Snapshot()
		So(err, ShouldBeNil)
		restored := newest.NewMachine(nil)
		So(restored.Restore(data), ShouldBeNil)
		for _, m := range []*newest.Machine{m, restored} {
			So(m.OrderIndex(), ShouldEqual, last)
			So(order(t, m, last+1, "z1", true, new(uint64(0))).RefusedAt, ShouldEqual, last+1)
			So(order(t, m, last+2, "z2", true, new(uint64(1))).RefusedAt, ShouldEqual, last+2)
			So(order(t, m, last+3, "z1", true, new(uint64(1))).RefusedAt, ShouldEqual, 0)
			So(m.State().Zones(), ShouldResemble, []string{"z1"})
		}
	})
}

// Guards against logs and snapshots of releases without fences that are read differently.
func TestOlderOrdersAndSnapshotsAreRead(t *testing.T) {
	Convey("an entry and a snapshot as the release before wrote them", t, func() {
		type legacyOrder struct {
			Zone     string `cbor:"1,keyasint"`
			Evacuate bool   `cbor:"2,keyasint"`
		}
		data, err := cbor.Marshal(map[int]legacyOrder{2: {"z", true}})
		So(err, ShouldBeNil)
		m := newest.NewMachine(nil)
		So(m.Apply(7, data), ShouldBeNil)
		So(m.State().Evacuated, ShouldResemble, map[string]uint64{"z": 7})

		data, err = cbor.Marshal(m.State())
		So(err, ShouldBeNil)
		restored := newest.NewMachine(nil)
		So(restored.Restore(data), ShouldBeNil)
		So(restored.State(), ShouldResemble, m.State())
		So(restored.OrderIndex(), ShouldEqual, 7)
		So(order(t, restored, 8, "z", false, new(uint64(6))).RefusedAt, ShouldEqual, 8)
		So(order(t, restored, 9, "z", false, new(uint64(7))).RefusedAt, ShouldEqual, 0)
	})
}

// pendingOrder is an order that an instance has received and has not had committed yet.
type pendingOrder struct {
	newest.Evacuation
	// receivedAt is the step of its decision.
	receivedAt int
}

// Guards against any interleaving of orders, repeats, delays, lagging instances and snapshots in
// which an acknowledged order is undone by one that was received before the acknowledgement.
func TestOnlyLaterOrdersChangeAZone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// The first machine holds the whole log; the others receive orders too, and lag.
		machines := []*newest.Machine{newest.NewMachine(nil), newest.NewMachine(nil), newest.NewMachine(nil)}
		applied := make([]int, len(machines))
		var entries [][]byte
		var pending []pendingOrder
		// ackedAt is the step of the latest acknowledged order of a zone, ackedIndex its log index.
		ackedAt, ackedIndex := map[string]int{}, map[string]uint64{}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			n := rapid.IntRange(0, len(machines)-1).Draw(t, "instance")
			switch rapid.SampledFrom([]string{"receive", "receive", "commit", "commit", "commit", "apply", "snapshot"}).Draw(t, "action") {
			case "receive":
				z := newest.Evacuation{Zone: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"), Evacuate: rapid.Bool().Draw(t, "on"), Decided: new(machines[n].OrderIndex())}
				pending = append(pending, pendingOrder{z, step})
			case "commit":
				if len(pending) == 0 {
					continue
				}
				// It stays pending: a command may be committed twice.
				k := rapid.IntRange(0, len(pending)-1).Draw(t, "order")
				p := &pending[k]
				before := machines[0].State()
				entries = append(entries, entry(t, newest.Command{Evacuation: &p.Evacuation}))
				r := order(t, machines[0], uint64(len(entries)), p.Zone, p.Evacuate, p.Decided)
				applied[0] = len(entries)
				after := machines[0].State()
				acked, known := ackedAt[p.Zone]
				switch {
				case r.RefusedAt != 0 && (after != before || *p.Decided >= ackedIndex[p.Zone] || (before.Evacuated[p.Zone] != 0) == p.Evacuate):
					t.Fatalf("order %+v is refused for no reason, or changes the state", p)
				case r.RefusedAt != 0 && rapid.Bool().Draw(t, "decided again"):
					p.Decided, p.receivedAt = new(r.RefusedAt), step
				case r.RefusedAt == 0 && (after.Evacuated[p.Zone] != 0) != p.Evacuate:
					t.Fatalf("order %+v is acknowledged, not carried out", p)
				case r.RefusedAt == 0:
					if after != before && known && acked >= p.receivedAt {
						t.Fatalf("order %+v undoes one that was acknowledged at step %d", p, acked)
					}
					ackedAt[p.Zone], ackedIndex[p.Zone] = step, uint64(len(entries))
				}
			case "apply":
				for ; applied[n] < len(entries) && rapid.Bool().Draw(t, "one more"); applied[n]++ {
					machines[n].Apply(uint64(applied[n]+1), entries[applied[n]])
				}
			case "snapshot":
				data, err := machines[0].Snapshot()
				if err == nil && n > 0 {
					err = machines[n].Restore(data)
					applied[n] = len(entries)
				}
				if err != nil {
					t.Fatal(err)
				}
			}
		}
		for n, m := range machines {
			for ; applied[n] < len(entries); applied[n]++ {
				m.Apply(uint64(applied[n]+1), entries[applied[n]])
			}
			if m.OrderIndex() != machines[0].OrderIndex() || fmt.Sprint(m.State().Evacuated) != fmt.Sprint(machines[0].State().Evacuated) {
				t.Fatalf("members differ: %v and %v", m.State().Evacuated, machines[0].State().Evacuated)
			}
		}
	})
}
