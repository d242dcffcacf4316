package operate_test

import (
	"slices"
	"testing"

	"github.com/gullhaven/gullhaven/operate"
)

// Symptom: an operator reads "in force everywhere" while a region runs the old
// rules. Cause: a region that is cut off, or one lagging instance, passed over.
func TestLacking(t *testing.T) {
	status := operate.Status{Regions: []operate.RegionStatus{
		{Region: "current", Version: 7, Reachable: true},
		{Region: "ahead", Version: 8, Reachable: true, Lagging: []operate.LaggingInstance{{Instance: "a", Version: 7}}},
		{Region: "old", Version: 6, Reachable: true},
		{Region: "cut-off", Version: 7},
		{Region: "one-lags", Version: 7, Reachable: true, Lagging: []operate.LaggingInstance{{Instance: "b", Version: 6}}},
	}}
	want := []string{"old", "cut-off", "one-lags"}
	if got := status.Lacking(7); !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}
