package claim

import (
	"fmt"
	"runtime"
	"testing"
)

func BenchmarkApplyClaim(b *testing.B) {
	table := NewTable()
	commands := make([][]byte, 100_000)
	for i := range commands {
		commands[i] = benchClaim(i)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		if i%len(commands) == 0 {
			b.StopTimer()
			table = NewTable()
			b.StartTimer()
		}
		table.Apply(uint64(i%len(commands)+1), commands[i%len(commands)])
	}
}

func BenchmarkSnapshot100k(b *testing.B) {
	table := NewTable()
	for i := range 100_000 {
		table.Apply(uint64(i+1), benchClaim(i))
	}
	b.ResetTimer()
	for range b.N {
		snap, err := table.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(snap))/100_000, "B/record")
	}
}

func BenchmarkMemoryPerRecord(b *testing.B) {
	for range b.N {
		before := heap()
		table := NewTable()
		for i := range 100_000 {
			table.Apply(uint64(i+1), benchClaim(i))
		}
		b.ReportMetric(float64(heap()-before)/float64(table.Len()), "heapB/record")
	}
}

func benchClaim(i int) []byte {
	c := Claim{Key: KeyOf("w", fmt.Sprint(i)), Instance: Instance{fmt.Sprint(i % 9), 1}, LifetimeSeconds: 3600}
	c.Attempt = AttemptID(c.Key[:16])
	c.Body = Digest(c.Key[16:])
	b, err := Encode(Command{Now: start.UnixMilli(), Claim: &c})
	if err != nil {
		panic(err)
	}
	return b
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
