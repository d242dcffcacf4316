package experiment

import "testing"

// BenchmarkTrial runs one trial of each decider at 80% load in which all targets of a
// region are lost.
func BenchmarkTrial(b *testing.B) {
	for _, name := range []string{LeastOutstandingName, RouterName} {
		b.Run(name, func(b *testing.B) {
			o := DefaultOptions()
			o.Seeds, o.Workers = 1, 1
			o.Loads, o.Faults, o.Deciders = []float64{0.8}, []Fault{AllLost}, []string{name}
			for b.Loop() {
				if _, err := Run(o); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
