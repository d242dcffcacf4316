package node

import (
	"testing"

	"github.com/gullhaven/gullhaven/coord/membership"
	"github.com/gullhaven/gullhaven/node/members"
	"github.com/gullhaven/gullhaven/ports"
)

func member(id, zone string, state membership.State) membership.View {
	meta, err := members.Meta{CallerAddress: id + ":80"}.Encode()
	if err != nil {
		panic(err)
	}
	return membership.View{Member: membership.Member{ID: id, Region: "jatim", Zone: zone, Meta: meta}, State: state}
}

// Guards against callers that land on a single instance, on one that has left, or in a distant
// region: by one order for all callers, dead members in the answer, or equal weights. Callers
// ask with and without a place, or name an unknown one.
func TestDirectoryOrders(t *testing.T) {
	view := &members.View{Members: []membership.View{
		member("a", "malang-hall", membership.Alive), member("b", "malang-hall", membership.Alive),
		member("c", "batu-hall", membership.Alive), member("gone", "malang-hall", membership.Dead),
	}}
	far := []ports.DirectoryEntry{{Instance: "far", Region: "bali", Zone: "denpasar-hall"}}
	d := &directory{
		region: "jatim",
		view:   func() *members.View { return view },
		others: func() []ports.DirectoryEntry { return far },
	}
	for _, c := range []struct {
		q    ports.DirectoryQuery
		want map[string]float64
	}{
		{ports.DirectoryQuery{}, map[string]float64{"a": 1, "b": 1, "c": 1, "far": 0}},
		{ports.DirectoryQuery{Zone: "malang-hall"}, map[string]float64{"a": 1, "b": 1, "c": 0.5, "far": 0}},
		{ports.DirectoryQuery{Region: "bali"}, map[string]float64{"a": 0, "b": 0, "c": 0, "far": 1}},
		{ports.DirectoryQuery{Region: "nowhere", Zone: "x"}, map[string]float64{"a": 1, "b": 1, "c": 1, "far": 0}},
	} {
		answer := d.Lookup(c.q)
		if len(answer.Entries) != len(c.want) {
			t.Errorf("%+v: %+v", c.q, answer.Entries)
		}
		for i, e := range answer.Entries {
			if e.Weight != c.want[e.Instance] || i > 0 && e.Weight > answer.Entries[i-1].Weight {
				t.Errorf("%+v: %+v", c.q, answer.Entries)
			}
		}
	}
	first := map[string]int{}
	for i := range 300 {
		first[d.Lookup(ports.DirectoryQuery{Caller: string(rune('a' + i))}).Entries[0].Instance]++
	}
	for _, id := range []string{"a", "b", "c"} {
		if first[id] < 60 {
			t.Errorf("%s is first for %d of 300 callers", id, first[id])
		}
	}
}
