package bundle_test

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/gullhaven/gullhaven/bundle"
	"github.com/gullhaven/gullhaven/bundle/bundletest"
)

// mustDigest returns the digest of a bundle.
func mustDigest(t interface{ Fatal(...any) }, b *bundle.Bundle) bundle.Digest {
	digest, err := b.Digest()
	if err != nil {
		t.Fatal(err)
	}
	return digest
}

// leaf is one scalar or list of a bundle; find returns it in any copy.
type leaf struct {
	path string
	find func(*bundle.Bundle) reflect.Value
}

// leaves returns all scalars and lists of the sample.
func leaves() []leaf {
	var all []leaf
	var walk func(path string, v reflect.Value, find func(*bundle.Bundle) reflect.Value)
	walk = func(path string, v reflect.Value, find func(*bundle.Bundle) reflect.Value) {
		switch v.Kind() {
		case reflect.Struct:
			for i := range v.NumField() {
				walk(path+"."+v.Type().Field(i).Name, v.Field(i), func(b *bundle.Bundle) reflect.Value { return find(b).Field(i) })
			}
		case reflect.Slice:
			all = append(all, leaf{path, find})
			for i := range v.Len() {
				walk(fmt.Sprintf("%s[%d]", path, i), v.Index(i), func(b *bundle.Bundle) reflect.Value { return find(b).Index(i) })
			}
		default:
			all = append(all, leaf{path, find})
		}
	}
	walk("", reflect.ValueOf(*bundletest.Sample()), func(b *bundle.Bundle) reflect.Value { return reflect.ValueOf(b).Elem() })
	return all
}

// change sets a different value.
func change(v reflect.Value) {
	switch v.Kind() {
	case reflect.String:
		v.SetString(v.String() + "x")
	case reflect.Bool:
		v.SetBool(!v.Bool())
	case reflect.Int, reflect.Int64:
		v.SetInt(v.Int() + 1)
	case reflect.Uint64:
		v.SetUint(v.Uint() + 1)
	case reflect.Float64:
		v.SetFloat(v.Float() + 0.25)
	case reflect.Slice:
		if v.Len() == 0 {
			v.Set(reflect.Append(v, reflect.Zero(v.Type().Elem())))
			return
		}
		v.Set(v.Slice(0, v.Len()-1))
	default:
		panic("a bundle has a field of kind " + v.Kind().String())
	}
}

// Guards against two instances that have the same digest in force but decide
// differently, as the digest, the sections, the delta or the diff omit a field. A
// change of each field must show in all four.
func TestEachFieldCounts(t *testing.T) {
	before := bundletest.Sample()
	want := mustDigest(t, before)
	for _, leaf := range leaves() {
		after := bundletest.Sample()
		change(leaf.find(after))
		digest := mustDigest(t, after)
		if digest == want {
			t.Errorf("%s: a change doesn't change the digest", leaf.path)
		}
		if changes := bundle.Diff(before, after); len(changes) == 0 {
			t.Errorf("%s: a change is not in the diff", leaf.path)
		}
		if joined, err := roundTripSections(after); err != nil || mustDigest(t, joined) != digest {
			t.Errorf("%s: split and join: %v", leaf.path, err)
		}
		if got, err := roundTripDelta(before, after); err != nil || len(bundle.Diff(after, got)) > 0 {
			t.Errorf("%s: delta: %v", leaf.path, err)
		}
	}
}

// roundTripSections splits and joins a bundle.
func roundTripSections(b *bundle.Bundle) (*bundle.Bundle, error) {
	manifest, sections, err := bundle.Split(b)
	if err != nil {
		return nil, err
	}
	return bundle.Join(manifest, sections)
}

// roundTripDelta applies the encoded and decoded delta.
func roundTripDelta(from, to *bundle.Bundle) (*bundle.Bundle, error) {
	delta, err := bundle.DeltaOf(from, to)
	if err != nil {
		return nil, err
	}
	data, err := delta.MarshalBinary()
	if err != nil {
		return nil, err
	}
	again := new(bundle.Delta)
	if err := again.UnmarshalBinary(data); err != nil {
		return nil, err
	}
	return again.Apply(from)
}

// mutate changes some leaves, adds workspaces and shuffles targets.
func mutate(t *rapid.T, b *bundle.Bundle, label string) {
	all := leaves()
	for range rapid.IntRange(0, 4).Draw(t, label+" changes") {
		picked := all[rapid.IntRange(0, len(all)-1).Draw(t, label+" leaf")]
		func() {
			defer func() { _ = recover() }() // An earlier change removed the item.
			change(picked.find(b))
		}()
	}
	b.Workspaces = append(b.Workspaces, extraWorkspaces(t, label)...)
	b.Targets = rapid.Permutation(b.Targets).Draw(t, label+" order")
}

// extraWorkspaces draws workspaces of several buckets.
func extraWorkspaces(t *rapid.T, label string) []bundle.Workspace {
	var extra []bundle.Workspace
	for _, id := range rapid.SliceOfNDistinct(rapid.IntRange(0, 300), 0, 12, rapid.ID).Draw(t, label+" workspaces") {
		workspace := bundletest.Sample().Workspaces[0]
		workspace.ID = fmt.Sprintf("w-%d", id)
		extra = append(extra, workspace)
	}
	return extra
}

// Guards against a peer's sections that result in another bundle than the accepted
// one. Whatever is lost, damaged, renamed or repeated, Join returns the named bundle
// or ErrDamaged, and only sections that differ are missing.
func TestSectionsAndDelta(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := bundletest.Sample(), bundletest.Sample()
		mutate(t, a, "a")
		mutate(t, b, "b")
		manifestA, sectionsA, errA := bundle.Split(a)
		manifestB, sections, errB := bundle.Split(b)
		if err := errors.Join(errA, errB); err != nil {
			t.Fatal(err)
		}
		missing := bundle.Missing(manifestB, func(d bundle.Digest) bool { return sectionsA[d] != nil })
		received := map[bundle.Digest][]byte{}
		for digest, data := range sectionsA {
			received[digest] = data
		}
		for _, digest := range missing {
			received[digest] = sections[digest]
		}
		joined, err := bundle.Join(manifestB, received)
		if err != nil || mustDigest(t, joined) != mustDigest(t, b) {
			t.Fatalf("join after exchange: %v", err)
		}
		if got, err := roundTripDelta(a, b); err != nil || mustDigest(t, got) != mustDigest(t, b) {
			t.Fatalf("delta: %v", err)
		}
		damage(t, manifestA, sectionsA)
	})
}

// damage damages a split bundle in one way and requires ErrDamaged.
func damage(t *rapid.T, manifest bundle.Manifest, sections map[bundle.Digest][]byte) {
	want, err := manifest.Digest()
	if err != nil {
		t.Fatal(err)
	}
	at := rapid.IntRange(0, len(manifest.Sections)-1).Draw(t, "section")
	ref := &manifest.Sections[at]
	data := slices.Clone(sections[ref.Digest])
	switch rapid.IntRange(0, 4).Draw(t, "damage") {
	case 0:
		delete(sections, ref.Digest)
	case 1:
		data[rapid.IntRange(0, len(data)-1).Draw(t, "byte")] ^= 1
		sections[ref.Digest] = data
	case 2:
		ref.Name = "workspaces/zz"
	case 3:
		manifest.Sections = append(manifest.Sections, *ref)
	case 4:
		manifest.Sections = slices.Delete(manifest.Sections, at, at+1)
	}
	joined, err := bundle.Join(manifest, sections)
	if err == nil && mustDigest(t, joined) == want {
		t.Fatal("damaged sections passed as the bundle")
	}
	if err != nil && !errors.Is(err, bundle.ErrDamaged) {
		t.Fatalf("not ErrDamaged: %v", err)
	}
}

// Guards against a delta for another base that is applied, so that an instance runs
// a bundle that was not signed.
func TestDeltaOnWrongBase(t *testing.T) {
	from, to, other := bundletest.Sample(), bundletest.Sample(), bundletest.Sample()
	to.Version, other.Targets[0].Slots = 2, 99
	delta, err := bundle.DeltaOf(from, to)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := delta.Apply(other); !errors.Is(err, bundle.ErrDamaged) {
		t.Fatalf("got %v", err)
	}
}

// Guards against a problem that Check misses or reports at a wrong path. Each case
// breaks one field, whose path must be the only one reported.
func TestCheckNamesPaths(t *testing.T) {
	cases := []struct {
		path  string
		spoil func(*bundle.Bundle)
	}{
		{"version", func(b *bundle.Bundle) { b.Version, b.Parent = 0, bundle.DigestOf(nil) }},
		{"parent", func(b *bundle.Bundle) { b.Parent = bundle.DigestOf(nil) }},
		{"parent", func(b *bundle.Bundle) { b.Version = 2 }},
		{"note", func(b *bundle.Bundle) { b.Note = strings.Repeat("n", 1001) }},
		{"sign_offs", func(b *bundle.Bundle) { b.SignOffs = 4 }},
		{"sign_offs", func(b *bundle.Bundle) { b.SignOffs = 0 }},
		{"operators[2].public_key", func(b *bundle.Bundle) { b.Operators[2].PublicKey = b.Operators[0].PublicKey }},
		{"operators[1].public_key", func(b *bundle.Bundle) { b.Operators[1].PublicKey = "AAAA" }},
		{"operators[1].id", func(b *bundle.Bundle) { b.Operators[1].ID = "ayu" }},
		{"regions[0].claims_home", func(b *bundle.Bundle) { b.Regions[0].ClaimsHome = "x" }},
		{"regions[2].claims_home", func(b *bundle.Bundle) {
			b.Regions = append(b.Regions, bundle.Region{ID: "jabar", Zones: []string{"bandung-hall"}, ClaimsHome: "bali"})
		}},
		{"regions[0].neighbours[0].region", func(b *bundle.Bundle) { b.Regions[0].Neighbours[0].Region = "bali" }},
		{"regions[0].neighbours[0].max_share", func(b *bundle.Bundle) { b.Regions[0].Neighbours[0].MaxShare = 1.1 }},
		{"regions[1].zones[1]", func(b *bundle.Bundle) { b.Regions[1].Zones[1] = "malang-hall" }},
		{"models[0].versions[0].size_bytes", func(b *bundle.Bundle) { b.Models[0].Versions[0].SizeBytes = 0 }},
		{"services[1].version", func(b *bundle.Bundle) { b.Services[1].Version = "v9" }},
		{"services[1].adapters[0]", func(b *bundle.Bundle) { b.Services[1].Adapters[0] = "fr" }},
		{"services[0].objective.share", func(b *bundle.Bundle) { b.Services[0].Objective.Share = 1 }},
		{"services[0].model", func(b *bundle.Bundle) { b.Services[0].Model = "scribe" }},
		{"targets[0].region", func(b *bundle.Bundle) { b.Services[1].Residency = []string{"jatim"} }},
		{"targets[0].zone", func(b *bundle.Bundle) { b.Targets[0].Zone = "malang-hall" }},
		{"targets[1].service", func(b *bundle.Bundle) { b.Targets[1].Service = "x" }},
		{"targets[1].address", func(b *bundle.Bundle) { b.Targets[1].Address = "desk.local:80" }},
		{"targets[1].address", func(b *bundle.Bundle) { b.Targets[1].Address = b.Targets[0].Address }},
		{"targets[0].decode_tokens_per_second", func(b *bundle.Bundle) { b.Targets[0].DecodeTokensPerSecond = 0 }},
		{"targets[1].role", func(b *bundle.Bundle) { b.Targets[1].Role = bundle.RoleBoth }},
		{"services[1]", func(b *bundle.Bundle) { b.Targets[0].Role = bundle.RolePrefill }},
		{"workspaces[0].key_hashes[0]", func(b *bundle.Bundle) { b.Workspaces[0].KeyHashes[0] = "pilots-key" }},
		{"workspaces[0].residency", func(b *bundle.Bundle) { b.Workspaces[0].Residency = []string{"bali"} }},
		{"workspaces[0].weight", func(b *bundle.Bundle) { b.Workspaces[0].Weight = 0.5 }},
		{"rules.max_attempts", func(b *bundle.Bundle) { b.Rules.MaxAttempts = 0 }},
	}
	convey.Convey("A bundle without faults passes", t, func() {
		convey.So(bundle.Check(bundletest.Sample()), convey.ShouldBeEmpty)
		convey.So(bundle.Check(bundletest.Large(bundletest.FullSize)), convey.ShouldBeEmpty)
	})
	for _, c := range cases {
		convey.Convey("One fault is named at "+c.path, t, func() {
			b := bundletest.Sample()
			c.spoil(b)
			problems := bundle.Check(b)
			convey.So(problems, convey.ShouldHaveLength, 1)
			convey.So(problems[0].Path, convey.ShouldEqual, c.path)
		})
	}
	convey.Convey("All faults are named at once", t, func() {
		b := bundletest.Sample()
		b.Targets[0].Service, b.Rules.RetryBudget, b.Workspaces[0].Home = "x", 2, "y"
		convey.So(bundle.Check(b).Error(), convey.ShouldContainSubstring, `targets[0].service: no such service "x"`)
		convey.So(bundle.Check(b).Error(), convey.ShouldContainSubstring, "rules.retry_budget")
		convey.So(bundle.Check(b).Error(), convey.ShouldContainSubstring, `workspaces[0].home: no such region "y"`)
	})
}

// Guards against one person who signs for two, and against a sign-off of one bundle
// that counts for another.
func TestVerifyCountsDistinctOperators(t *testing.T) {
	b := bundletest.Sample()
	id, err := b.Identity()
	if err != nil {
		t.Fatal(err)
	}
	other := id
	other.Version++
	twin := bundletest.Operator("ayu")
	twin.ID = "ayu-again"
	trust := b.NextTrust()
	trust.Operators = append(trust.Operators, twin)
	sign := func(names ...string) []bundle.Signature { return bundletest.Sign(b, names...).Signatures }
	forged := bundle.Sign(id, "budi", bundletest.Key("mallory"))
	replayed := bundle.Sign(other, "budi", bundletest.Key("budi"))
	twinned := bundle.Sign(id, "ayu-again", bundletest.Key("ayu"))
	convey.Convey("Two distinct operators are enough", t, func() {
		convey.So(bundle.Verify(id, sign("ayu", "budi"), trust), convey.ShouldBeNil)
		convey.So(bundle.Verify(id, append(sign("citra", "budi"), forged), trust), convey.ShouldBeNil)
	})
	convey.Convey("Less is refused", t, func() {
		for _, signatures := range [][]bundle.Signature{
			nil, sign("ayu"), sign("ayu", "ayu"), sign("ayu", "mallory"),
			append(sign("ayu"), forged), append(sign("ayu"), replayed), append(sign("ayu"), twinned),
		} {
			convey.So(errors.Is(bundle.Verify(id, signatures, trust), bundle.ErrSignOffs), convey.ShouldBeTrue)
		}
	})
}

// Guards against the misleading result "too old" for a bundle "{}". It comes about
// if version 0 is compared with the history before the bundle is checked.
func TestVersionZeroIsInvalid(t *testing.T) {
	convey.Convey("A bundle without a version is invalid, whatever is in force", t, func() {
		var history bundle.History
		convey.So(history.Append(1, bundle.DigestOf(nil)), convey.ShouldBeNil)
		for _, inForce := range []*bundle.AcceptanceState{nil, {History: history}} {
			result, err := bundle.Accept(inForce, &bundle.Signed{})
			convey.So(err, convey.ShouldBeNil)
			convey.So(result.Outcome, convey.ShouldEqual, bundle.OutcomeInvalid)
			convey.So(result.String(), convey.ShouldContainSubstring, "version: is 0")
		}
	})
}
