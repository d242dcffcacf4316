package acceptance_test

import (
	"testing"

	"github.com/gullhaven/gullhaven/bundle/acceptance"
	"github.com/gullhaven/gullhaven/bundle/bundletest"
)

// BenchmarkChange measures a change of one workspace in a bundle of full size,
// from proposal to acceptance, and the sizes of commands and snapshot.
func BenchmarkChange(b *testing.B) {
	full := bundletest.Large(bundletest.FullSize)
	machine := acceptance.New()
	index := uint64(0)
	step := func() int {
		command, err := machine.Command(bundletest.Sign(full, "ayu", "budi"))
		if err != nil {
			b.Fatal(err)
		}
		index++
		if result, err := machine.Apply(index, command); err != nil || !result.Accepted() {
			b.Fatal(result, err)
		}
		return len(command)
	}
	first := step()
	size := 0
	for b.Loop() {
		full.Parent = machine.Identity().Digest
		full.Version++
		full.Workspaces[int(index)%len(full.Workspaces)].Limits.TokensPerSecond++
		size = step()
	}
	snapshot, err := machine.Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(first), "first-command-B")
	b.ReportMetric(float64(size), "command-B")
	b.ReportMetric(float64(len(snapshot)), "snapshot-B")
}
