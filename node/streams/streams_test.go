package streams

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gullhaven/gullhaven/pipeline/exchange"
)

func instancesOf(perRegion ...int) (out []Instance) {
	for region, n := range perRegion {
		for k := range n {
			out = append(out, Instance{ID: fmt.Sprint("r", region, "-", k), Region: fmt.Sprint("r", region)})
		}
	}
	return out
}

// Guards against a stream that nobody knows any more: the instance that began it and one other, or all
// of a region, have ended, and another one has started.
func TestOriginsAreFoundAfterTheLossOfInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := instancesOf(rapid.IntRange(3, 20).Draw(t, "here"), rapid.IntRange(1, 20).Draw(t, "there"), rapid.IntRange(1, 20).Draw(t, "elsewhere"))
		began := all[rapid.IntRange(0, len(all)-1).Draw(t, "began")]
		key := fmt.Sprint(rapid.Uint64().Draw(t, "key"))
		others := without(all, func(i Instance) bool { return i == began })
		copies := copiesOf(others, began.Region, key)
		left := others
		if rapid.Bool().Draw(t, "region lost") {
			left = without(left, func(i Instance) bool { return i.Region == began.Region })
		} else {
			lost := others[rapid.IntRange(0, len(others)-1).Draw(t, "lost")]
			left = without(left, func(i Instance) bool { return i == lost })
		}
		started := Instance{ID: "started", Region: fmt.Sprint("r", rapid.IntRange(0, 2).Draw(t, "region"))}
		left = append(left, started)
		asks := left[rapid.IntRange(0, len(left)-1).Draw(t, "asks")]
		asked := append(askedFor(without(left, func(i Instance) bool { return i == asks }), asks.Region, key), asks.ID)
		if !slices.ContainsFunc(asked, func(id string) bool { return slices.Contains(copies, id) }) {
			t.Fatalf("copies at %v, asked %v", copies, asked)
		}
		if len(copies) > copiesHere+2*copiesElsewhere || len(asked) > 3*askedPerRegion+1 {
			t.Fatalf("%d copies, %d asked", len(copies), len(asked))
		}
	})
}

func without(instances []Instance, drop func(Instance) bool) []Instance {
	return slices.DeleteFunc(slices.Clone(instances), drop)
}

// Guards against links between each pair of instances of a large site.
func TestFewInstancesKeepOrigins(t *testing.T) {
	all := instancesOf(300, 300, 300)
	used := map[string]bool{}
	for n := range 2000 {
		for _, id := range copiesOf(all, "r0", fmt.Sprint(n)) {
			used[id] = true
		}
	}
	if len(used) != 3*maxKeepers {
		t.Errorf("%d keepers", len(used))
	}
}

// Guards against origins that are forgotten while a caller may still take its stream up, and memory
// that grows with the streams.
func TestOriginsAreKeptForTheirLifetime(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	var table Table
	table.Put(start, "a", exchange.Origin{Service: "s", Software: "v1"})
	for n := range 100 {
		table.Put(start.Add(time.Duration(n)*lifetime/100), fmt.Sprint(n), exchange.Origin{Service: "s", Software: "v2"})
	}
	if o, ok := table.Get("a"); !ok || o.Software != "v1" {
		t.Errorf("%v, known %v", o, ok)
	}
	table.Put(start.Add(lifetime), "b", exchange.Origin{})
	table.Put(start.Add(2*lifetime), "c", exchange.Origin{})
	if _, ok := table.Get("a"); ok {
		t.Error("kept for ever")
	}
	for n := range 3 * maxPerHalf {
		table.Put(start.Add(2*lifetime), fmt.Sprint("many ", n), exchange.Origin{})
	}
	if n := len(table.newer) + len(table.older); n > 2*maxPerHalf {
		t.Errorf("%d kept", n)
	}
}

// Guards against callers whose long request IDs use up the memory, and against streams that are mixed up or forgotten
// for it.
func TestLongKeysAreKeptShort(t *testing.T) {
	var table Table
	now := time.Unix(1_000_000, 0)
	long := strings.Repeat("x", 16<<10)
	table.Put(now, long+"1", exchange.Origin{Service: "s", Software: "v1"})
	table.Put(now, long+"2", exchange.Origin{Service: "s", Software: "v2"})
	for n, software := range []string{"v1", "v2"} {
		if o, ok := table.Get(fmt.Sprint(long, n+1)); !ok || o.Software != software {
			t.Errorf("%+v, %v instead of %s", o, ok, software)
		}
	}
	if _, ok := table.Get(long); ok {
		t.Error("another key is known")
	}
	for key := range table.newer {
		if len(key) > maxKeyBytes {
			t.Errorf("a key of %d bytes is kept", len(key))
		}
	}
}
