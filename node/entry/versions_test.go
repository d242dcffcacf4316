package entry

import (
	"reflect"
	"testing"
	"time"
)

// Guards against a stream that goes on at another software version than the one that began it, because
// the list names only the new one by now.
func TestVersionsAreRememberedAfterTheirTargetsAreGone(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	for after, want := range map[time.Duration]map[string][]string{
		time.Minute:                 {"s": {"v1", "v2"}},
		versionMemory:               {"s": {"v2"}},
		time.Minute + versionMemory: {},
	} {
		history := versionHistory{}
		history.record(start, "s", "v1", "v2", "")
		history.record(start.Add(time.Minute), "s", "v2")
		if got := history.recent(start.Add(after)); !reflect.DeepEqual(got, want) {
			t.Errorf("after %v: %v", after, got)
		}
	}
}

// Guards against a stream that is taken for one of the only version known, by an instance that has started or was
// without a list since the stream began.
func TestVersionsAreRecordedSinceTheLastGap(t *testing.T) {
	var v versionHistory
	start := time.Unix(1_800_000_000, 0)
	v.observe(start, start)
	v.observe(start.Add(4*time.Second), start.Add(3*time.Second))
	if v.since != start {
		t.Errorf("since %v", v.since.Sub(start))
	}
	v.observe(start.Add(9*time.Second), start.Add(3*time.Second))
	v.observe(start.Add(10*time.Second), start.Add(10*time.Second))
	if got := v.since.Sub(start); got != 10*time.Second {
		t.Errorf("since %v after a gap", got)
	}
	v.observe(start.Add(40*time.Second), start.Add(40*time.Second))
	if got := v.since.Sub(start); got != 40*time.Second {
		t.Errorf("since %v after a gap without a list", got)
	}
}
