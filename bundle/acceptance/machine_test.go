package acceptance_test

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"github.com/gullhaven/gullhaven/bundle"
	"github.com/gullhaven/gullhaven/bundle/acceptance"
	"github.com/gullhaven/gullhaven/bundle/bundletest"
)

// Guards against two regions that run different bundles under one version, and
// against an "accepted" bundle that is later replaced by other content. Operators
// race with equal versions, use old parents, resend after lost answers, skip
// versions or lack sign-offs, while replicas restart from snapshots and replay
// parts of the log. It happens if acceptance isn't one compare-and-set over a
// history that all replicas share.
func TestRacesAndResends(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		t.Repeat(map[string]func(*rapid.T){
			"roll":    w.proposeBundle,
			"resend":  w.resend,
			"garbage": w.proposeGarbage,
			"restart": w.restart,
			"":        w.check,
		})
	})
}

const replicas = 3

// proposal is a command in the log and its result.
type proposal struct {
	signed  *bundle.Signed
	id      bundle.Identity
	command []byte
	result  bundle.Result
}

// world holds a log, its replicas and an independent record of winners.
type world struct {
	log      [][]byte
	machines [replicas]*acceptance.Machine
	sent     []proposal
	winners  map[uint64]bundle.Digest
	last     uint64
}

func newWorld() *world {
	w := &world{winners: map[uint64]bundle.Digest{}}
	for i := range w.machines {
		w.machines[i] = acceptance.New()
	}
	return w
}

// parent draws an accepted bundle, mostly the last one.
func (w *world) parent(t *rapid.T) (uint64, bundle.Digest) {
	if w.last == 0 {
		return 0, ""
	}
	back := rapid.SampledFrom([]uint64{0, 0, 0, 1, 2}).Draw(t, "back")
	version := w.last - min(back, w.last-1)
	return version, w.winners[version]
}

// proposeBundle proposes a random bundle at one of the replicas.
func (w *world) proposeBundle(t *rapid.T) {
	version, parent := w.parent(t)
	b := bundletest.Sample()
	b.Version = version + rapid.SampledFrom([]uint64{1, 1, 1, 1, 2}).Draw(t, "step")
	b.Parent = parent
	b.Note = fmt.Sprint("note ", rapid.IntRange(0, 3).Draw(t, "note"))
	b.Targets[0].Slots = rapid.IntRange(1, 4).Draw(t, "slots")
	b.SignOffs = rapid.IntRange(1, 3).Draw(t, "sign-offs")
	signers := rapid.Permutation(bundletest.Operators).Draw(t, "signers")[:rapid.IntRange(1, 3).Draw(t, "signed")]
	signed := bundletest.Sign(b, signers...)
	id, err := b.Identity()
	if err != nil {
		t.Fatal(err)
	}
	command, err := w.machines[rapid.IntRange(0, replicas-1).Draw(t, "proposer")].Command(signed)
	if err != nil {
		t.Fatal(err)
	}
	w.propose(t, proposal{signed: signed, id: id, command: command})
}

// resend proposes an earlier bundle again, as the same command or encoded again.
func (w *world) resend(t *rapid.T) {
	if len(w.sent) == 0 {
		t.Skip("nothing sent yet")
	}
	again := rapid.SampledFrom(w.sent).Draw(t, "again")
	if rapid.Bool().Draw(t, "anew") {
		command, err := w.machines[0].Command(again.signed)
		if err != nil {
			t.Fatal(err)
		}
		again.command = command
	}
	w.propose(t, again)
}

// proposeGarbage proposes what a faulty proposer may write to the log.
func (w *world) proposeGarbage(t *rapid.T) {
	command := rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "bytes")
	if len(w.sent) > 0 && rapid.Bool().Draw(t, "cut") {
		whole := rapid.SampledFrom(w.sent).Draw(t, "sent").command
		command = bytes.Clone(whole)
		command[rapid.IntRange(0, len(command)-1).Draw(t, "at")] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
	}
	before := w.machines[0].Identity()
	result := w.apply(t, command)
	after := w.machines[0].Identity()
	if after != before && (!result.Accepted() || after.Digest != result.Digest) {
		t.Fatalf("garbage moved %v to %v", before, after)
	}
	if after != before { // The damage left version, parent, digest and enough sign-offs intact.
		w.winners[after.Version], w.last = after.Digest, after.Version
	}
}

// apply appends a command to the log; all replicas must return the same result.
func (w *world) apply(t *rapid.T, command []byte) bundle.Result {
	w.log = append(w.log, command)
	index := uint64(len(w.log))
	var first bundle.Result
	for i, machine := range w.machines {
		result, err := machine.Apply(index, command)
		if err != nil {
			t.Fatal(err)
		}
		if i == 0 {
			first = result
		}
		if fmt.Sprint(result) != fmt.Sprint(first) {
			t.Fatalf("replica %d answers %v, the first %v", i, result, first)
		}
	}
	return first
}

// propose applies a command and compares the result with the expected one.
func (w *world) propose(t *rapid.T, r proposal) {
	winner, decided := w.winners[r.id.Version]
	r.result = w.apply(t, r.command)
	switch {
	case decided && winner == r.id.Digest:
		if !r.result.Accepted() || r.result.Version != r.id.Version {
			t.Fatalf("resend of version %d: %v", r.id.Version, r.result)
		}
	case decided:
		if r.result.Outcome != bundle.OutcomeConflict || r.result.Winner != winner {
			t.Fatalf("loser of version %d: %v, but %s won", r.id.Version, r.result, winner)
		}
	case r.result.Accepted():
		if r.id.Version != w.last+1 || r.id.Parent != w.winners[w.last] {
			t.Fatalf("version %d on %s accepted after %d", r.id.Version, r.id.Parent, w.last)
		}
		w.mustBeSigned(t, r)
		w.winners[r.id.Version], w.last = r.id.Digest, r.id.Version
	}
	w.sent = append(w.sent, r)
}

// mustBeSigned compares the number of sign-offs with what the previous bundle
// requires.
func (w *world) mustBeSigned(t *rapid.T, r proposal) {
	needed := r.signed.Bundle.SignOffs
	for _, earlier := range w.sent {
		if w.last > 0 && earlier.id.Digest == w.winners[w.last] {
			needed = earlier.signed.Bundle.SignOffs
		}
	}
	if len(r.signed.Signatures) < needed {
		t.Fatalf("version %d accepted with %d of %d sign-offs", r.id.Version, len(r.signed.Signatures), needed)
	}
}

// restart restarts a replica from its snapshot or from an empty disk, and replays
// the whole log.
func (w *world) restart(t *rapid.T) {
	i := rapid.IntRange(0, replicas-1).Draw(t, "replica")
	fresh := acceptance.New()
	if rapid.Bool().Draw(t, "snapshot") {
		data, err := w.machines[i].Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if fresh, err = acceptance.Restore(data); err != nil {
			t.Fatal(err)
		}
	}
	for at, command := range w.log {
		index := uint64(at + 1)
		known := index <= fresh.Applied()
		if _, err := fresh.Apply(index, command); known != errors.Is(err, acceptance.ErrApplied) {
			t.Fatalf("index %d of %d: %v", index, fresh.Applied(), err)
		}
	}
	w.machines[i] = fresh
}

// check requires that the last winner is in force at all replicas.
func (w *world) check(t *rapid.T) {
	for i, machine := range w.machines {
		id := machine.Identity()
		if id.Version != w.last || id.Digest != w.winners[w.last] {
			t.Fatalf("replica %d is on %v, the last winner is %d %s", i, id, w.last, w.winners[w.last])
		}
		if w.last == 0 {
			continue
		}
		if digest, err := machine.InForce().Bundle.Digest(); err != nil || digest != id.Digest {
			t.Fatalf("replica %d holds %s under %v: %v", i, digest, id, err)
		}
	}
}

// Guards against a first bundle that is signed only by its own operators and not
// by those of the settings.
func TestFirstBundleNeedsSettings(t *testing.T) {
	b := bundletest.Sample()
	b.Operators, b.SignOffs = []bundle.Operator{bundletest.Operator("mallory")}, 1
	stranger := bundletest.Sign(b, "mallory")
	settings := bundle.Trust{Operators: []bundle.Operator{bundletest.Operator("ayu")}, SignOffs: 1}
	result, decided, err := acceptance.New().Precheck(stranger, settings)
	if err != nil || !decided || result.Outcome != bundle.OutcomeUnsigned {
		t.Fatalf("stranger: %v, %v, %v", result, decided, err)
	}
	own := bundletest.Sign(bundletest.Sample(), "ayu", "budi")
	if result, decided, err := acceptance.New().Precheck(own, settings); err != nil || decided {
		t.Fatalf("operator: %v, %v, %v", result, decided, err)
	}
	own.Bundle.Rules.MaxAttempts = 0
	if result, _, err := acceptance.New().Precheck(own, settings); err != nil || result.Outcome != bundle.OutcomeInvalid {
		t.Fatalf("invalid: %v, %v", result, err)
	}
}

// Guards against an instance that restarts with a bundle that was never accepted,
// from a snapshot that was damaged on disk.
func TestDamagedSnapshot(t *testing.T) {
	machine := acceptance.New()
	command, err := machine.Command(bundletest.Sign(bundletest.Sample(), "ayu", "budi"))
	if err != nil {
		t.Fatal(err)
	}
	if result, err := machine.Apply(1, command); err != nil || !result.Accepted() {
		t.Fatal(result, err)
	}
	data, err := machine.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	for at := range data {
		damaged := bytes.Clone(data)
		damaged[at] ^= 1
		if _, err := acceptance.Restore(damaged); !errors.Is(err, acceptance.ErrSnapshot) {
			t.Fatalf("byte %d: %v", at, err)
		}
		if _, err := acceptance.Restore(data[:at]); !errors.Is(err, acceptance.ErrSnapshot) {
			t.Fatalf("cut at byte %d: %v", at, err)
		}
	}
}

// Guards against a history that grows without bound, and against a resend of a
// version that is no longer kept and is accepted as new.
func TestHistoryIsBounded(t *testing.T) {
	var history bundle.History
	const surplus = 3
	digest := func(version uint64) bundle.Digest { return bundle.DigestOf(fmt.Append(nil, version)) }
	for version := uint64(1); version <= bundle.HistoryLimit+surplus; version++ {
		if err := history.Append(version, digest(version)); err != nil {
			t.Fatal(err)
		}
	}
	accepted := &bundle.AcceptanceState{History: history}
	for version, want := range map[uint64]bundle.Outcome{
		1: bundle.OutcomeTooOld, surplus: bundle.OutcomeTooOld, surplus + 1: bundle.OutcomeAccepted,
		bundle.HistoryLimit + surplus: bundle.OutcomeAccepted, bundle.HistoryLimit + surplus + 2: bundle.OutcomeGap,
	} {
		result, _ := accepted.Compare(bundle.Identity{Version: version, Digest: digest(version)})
		if result.Outcome != want {
			t.Errorf("version %d: %v, want %s", version, result, want)
		}
	}
}

// Guards against a bundle in force that operators didn't sign. A faulty voter
// proposes other content with a genuine identity and sign-offs; it is accepted if
// the claimed digest isn't verified.
func TestContentMustMatchDigest(t *testing.T) {
	signed := bundletest.Sign(bundletest.Sample(), "ayu", "budi")
	machine := acceptance.New()
	command, err := machine.Command(signed)
	if err != nil {
		t.Fatal(err)
	}
	signed.Bundle.Rules.MaxAttempts++
	other, err := signed.Bundle.MarshalBinary()
	if err != nil {
		t.Fatal(err)
	}
	var parts map[string]any
	if err := cbor.Unmarshal(command, &parts); err != nil {
		t.Fatal(err)
	}
	parts["whole"] = other
	forged, err := cbor.Marshal(parts)
	if err != nil {
		t.Fatal(err)
	}
	if result, err := machine.Apply(1, forged); err != nil || result.Outcome != bundle.OutcomeInvalid {
		t.Fatalf("forged: %v, %v", result, err)
	}
	if result, err := machine.Apply(2, command); err != nil || !result.Accepted() {
		t.Fatalf("genuine: %v, %v", result, err)
	}
}
