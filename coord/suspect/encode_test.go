package suspect

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Guards against entries without times, as other hosts and versions send them, that become suspects
// of other times.
func TestEntriesKeepTheirTimesOnTheWire(t *testing.T) {
	for name, e := range map[string]Entry{
		"with times":    {Digest: Digest{1}, Crash: Crash{"a", 1}, Until: start, SentAt: InstantOf(start.Add(time.Millisecond)), CrashedAt: InstantOf(start.Add(2 * time.Millisecond))},
		"without times": {Digest: Digest{1}, Crash: Crash{"a", 1}, Until: start},
	} {
		data, err := cbor.Marshal(e)
		if err != nil {
			t.Fatal(err)
		}
		var got Entry
		if err := cbor.Unmarshal(data, &got); err != nil {
			t.Fatal(err)
		}
		if got.SentAt != e.SentAt || got.CrashedAt != e.CrashedAt {
			t.Errorf("%s: %+v", name, got)
		}
	}
}
