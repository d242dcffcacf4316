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
