package bundle_test

import (
	"testing"

	"github.com/gullhaven/gullhaven/bundle"
	"github.com/gullhaven/gullhaven/bundle/bundletest"
)

// BenchmarkFull measures the operations on a bundle of full size: 10,000
// workspaces, 690 targets, 36 models, 11 regions with 40 zones.
func BenchmarkFull(b *testing.B) {
	full := bundletest.Large(bundletest.FullSize)
	text, err := bundle.Encode(full)
	if err != nil {
		b.Fatal(err)
	}
	manifest, sections, err := bundle.Split(full)
	if err != nil {
		b.Fatal(err)
	}
	run := func(name string, step func() error) {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if err := step(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
	run("decode", func() error { _, err := bundle.Decode(text); return err })
	run("check", func() error { return bundle.Check(full).Err() })
	run("digest", func() error { _, err := full.Digest(); return err })
	run("split", func() error { _, _, err := bundle.Split(full); return err })
	run("join", func() error { _, err := bundle.Join(manifest, sections); return err })
	run("marshal", func() error { _, err := full.MarshalBinary(); return err })
	run("delta", func() error { _, err := bundle.DeltaOf(full, full); return err })
}

// BenchmarkChangeSize reports the encoded size of one change: as a whole bundle
// (the baseline), as the sections that differ, and as a delta.
func BenchmarkChangeSize(b *testing.B) {
	changes := []struct {
		name   string
		change func(*bundle.Bundle)
	}{
		{"workspace", func(b *bundle.Bundle) { b.Workspaces[4711].Limits.TokensPerSecond++ }},
		{"target", func(b *bundle.Bundle) { b.Targets[321].State = bundle.TargetLeaving }},
	}
	for _, c := range changes {
		b.Run(c.name, func(b *testing.B) {
			from := bundletest.Large(bundletest.FullSize)
			to := bundletest.Large(bundletest.FullSize)
			digest, err := from.Digest()
			if err != nil {
				b.Fatal(err)
			}
			to.Version, to.Parent = from.Version+1, digest
			c.change(to)
			for b.Loop() {
				measureChange(b, from, to)
			}
		})
	}
}

// measureChange reports the sizes of one change.
func measureChange(b *testing.B, from, to *bundle.Bundle) {
	whole, err := to.MarshalBinary()
	if err != nil {
		b.Fatal(err)
	}
	delta, err := bundle.DeltaOf(from, to)
	if err != nil {
		b.Fatal(err)
	}
	small, err := delta.MarshalBinary()
	if err != nil {
		b.Fatal(err)
	}
	_, had, err := bundle.Split(from)
	if err != nil {
		b.Fatal(err)
	}
	manifest, sections, err := bundle.Split(to)
	if err != nil {
		b.Fatal(err)
	}
	bytes := 0
	for _, digest := range bundle.Missing(manifest, func(d bundle.Digest) bool { return had[d] != nil }) {
		bytes += len(sections[digest])
	}
	list, err := manifest.MarshalBinary()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(whole)), "whole-B")
	b.ReportMetric(float64(bytes), "sections-B")
	b.ReportMetric(float64(len(list)), "manifest-B")
	b.ReportMetric(float64(len(small)), "delta-B")
}
