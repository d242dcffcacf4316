package quotas

import (
	"strings"
	"testing"
)

const seeds = 3

// Guards against workspaces that exceed their limit by more than the tolerance, and against a
// scheme that refuses more below the limit than a share at each instance does: peaks move from
// region to region, workspaces flood, a limit is lowered.
func TestOneHolderPerRegionKeepsLimitsAndRefusesLess(t *testing.T) {
	each, one := Schemes[0], Schemes[1]
	for _, p := range Patterns() {
		t.Run(p.Name, func(t *testing.T) {
			mean, most := Mean(p.Load, one, seeds)
			if most.Excess > p.Load.allowedExcess() {
				t.Errorf("%.3f beyond the limit, %.3f is allowed", most.Excess, p.Load.allowedExcess())
			}
			if other, _ := Mean(p.Load, each, seeds); mean.FalseRefusals > other.FalseRefusals {
				t.Errorf("%.4f refused below the limit, %.4f with a share at each instance", mean.FalseRefusals, other.FalseRefusals)
			}
		})
	}
}

func TestTableHasAllPatternsAndSchemes(t *testing.T) {
	var out strings.Builder
	if err := WriteTable(&out, 1); err != nil {
		t.Fatal(err)
	}
	if got, want := strings.Count(out.String(), "\n"), 1+len(Patterns())*len(Schemes); got != want {
		t.Errorf("%d lines, want %d:\n%s", got, want, out.String())
	}
}
