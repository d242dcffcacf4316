package wal_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/gullhaven/gullhaven/coord/wal"
)

const benchRecordBytes = 256

func benchRecord() wal.Record { return wal.Record{Type: 1, Data: make([]byte, benchRecordBytes)} }

func openBench(b *testing.B, fs wal.FS, folder string) *wal.Log {
	b.Helper()
	l, _, err := wal.Open(fs, folder, wal.Options{Incarnation: wal.Incarnation{1}})
	if err != nil {
		b.Fatal(err)
	}
	return l
}

// BenchmarkSync measures one batch from Append to the end of Sync on a real disk, by
// the number of its records of 256 bytes.
func BenchmarkSync(b *testing.B) {
	for _, records := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("records=%d", records), func(b *testing.B) {
			l := openBench(b, wal.OS{}, b.TempDir())
			for b.Loop() {
				for range records {
					_ = l.Append(benchRecord())
				}
				if err := l.Sync(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.N*records)/b.Elapsed().Seconds(), "records/s")
		})
	}
}

// BenchmarkAppend measures buffering one record, without syncs.
func BenchmarkAppend(b *testing.B) {
	l := openBench(b, wal.OS{}, b.TempDir())
	r := benchRecord()
	b.SetBytes(benchRecordBytes)
	for i := 0; b.Loop(); i++ {
		if err := l.Append(r); err != nil {
			b.Fatal(err)
		}
		if i%10000 == 9999 {
			b.StopTimer()
			if err := l.Sync(); err != nil {
				b.Fatal(err)
			}
			b.StartTimer()
		}
	}
}

// BenchmarkRecover measures Open by the number of records, 10 per batch.
func BenchmarkRecover(b *testing.B) {
	for _, records := range []int{100, 1000, 10000, 100000} {
		b.Run(fmt.Sprintf("records=%d", records), func(b *testing.B) {
			folder := b.TempDir()
			l := openBench(b, noSync{}, folder)
			for i := range records {
				_ = l.Append(benchRecord())
				if i%10 == 9 {
					_ = l.Sync()
				}
			}
			if err := errors.Join(l.Err(), l.Close()); err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				l, rec, err := wal.Open(wal.OS{}, folder, wal.Options{})
				if err != nil || len(rec.Records) != records {
					b.Fatal(len(rec.Records), err)
				}
				_ = l.Close()
			}
		})
	}
}

// noSync skips syncs, to build a long log quickly for a measurement of reading.
type noSync struct{ wal.OS }

type noSyncFile struct{ wal.File }

func (noSyncFile) Sync() error { return nil }

func (n noSync) OpenWrite(path string) (wal.File, error) {
	f, err := n.OS.OpenWrite(path)
	return noSyncFile{f}, err
}
