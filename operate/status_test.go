package operate_test

import (
	"slices"
	"testing"

	"github.com/gullhaven/gullhaven/operate"
)

// Guards against reporting a version as in force everywhere while a region is cut
// off or one of its instances lags.
func TestLacking(t *testing.T) {
	status := operate.Status{Regions: []operate.RegionStatus{
		{Region: "current", Version: 7, Reachable: true},
		{Region: "ahead", Version: 8, Reachable: true, Lagging: []operate.LaggingInstance{{Instance: "a", Version: 7}}},
		{Region: "old", Version: 6, Reachable: true},
		{Region: "cut-off", Version: 7},
		{Region: "one-lags", Version: 7, Reachable: true, Lagging: []operate.LaggingInstance{{Instance: "b", Version: 6}}},
	}}
	want := []string{"old", "cut-off", "one-lags"}
	if got := status.RegionsWithout(7); !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}

// Guards against a bad state that no line of the status reports.
func TestTrouble(t *testing.T) {
	healthy := operate.Status{
		Roles: []string{"entry", "voter"}, Leader: "a",
		Regions:   []operate.RegionStatus{{Region: "jatim", Version: 7, Reachable: true}},
		Voters:    []operate.VoterStatus{{Instance: "a", State: "leader", Disk: "ok"}},
		Instances: []operate.InstanceStatus{{ID: "a", State: "alive"}, {ID: "b", State: "leaving"}},
		Targets:   []operate.TargetStatus{{ID: "r1", State: "warm"}, {ID: "r2", State: "loading"}},
	}
	if got := healthy.Problems(); len(got) > 0 {
		t.Errorf("healthy, but %q", got)
	}
	for name, fault := range map[string]func(*operate.Status){
		"no leader":    func(s *operate.Status) { s.Leader = "" },
		"cut off":      func(s *operate.Status) { s.Regions = []operate.RegionStatus{{Region: "jatim"}} },
		"behind":       func(s *operate.Status) { s.Regions = []operate.RegionStatus{{Reachable: true, Behind: true}} },
		"empty disk":   func(s *operate.Status) { s.Voters = []operate.VoterStatus{{State: "follower", Disk: "empty"}} },
		"lost voter":   func(s *operate.Status) { s.Voters = []operate.VoterStatus{{State: "unreachable", Disk: "ok"}} },
		"dead":         func(s *operate.Status) { s.Instances = []operate.InstanceStatus{{State: "dead"}} },
		"target down":  func(s *operate.Status) { s.Targets = []operate.TargetStatus{{State: "down"}} },
		"suspect work": func(s *operate.Status) { s.Targets = []operate.TargetStatus{{State: "suspect"}} },
	} {
		s := healthy
		fault(&s)
		if got := s.Problems(); len(got) != 1 {
			t.Errorf("%s: %q", name, got)
		}
	}
}
