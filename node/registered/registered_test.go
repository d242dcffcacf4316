package registered_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/bundle"
	"github.com/gullhaven/gullhaven/bundle/bundletest"
	"github.com/gullhaven/gullhaven/coord/claim"
	"github.com/gullhaven/gullhaven/coord/keys"
	"github.com/gullhaven/gullhaven/coord/link"
	"github.com/gullhaven/gullhaven/coord/replhost"
	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/coord/wal/faultfs"
	"github.com/gullhaven/gullhaven/node/group"
	"github.com/gullhaven/gullhaven/node/registered"
	"github.com/gullhaven/gullhaven/node/rollout"
)

const (
	// lifetime of claims in the bundle, in seconds, which are also ticks.
	lifetime = 30
	region   = "region-jatim"
)

// rig is a region group on one disk and a global group on another.
type rig struct {
	t           *testing.T
	global      *group.Client
	partitioned bool
	disk        *faultfs.FS
	hub         *link.Hub
	member      *group.Member
	table       *registered.Table
	client      *group.Client
	registrar   *registered.Registrar
}

func newHub(t *testing.T, id string) *link.Hub {
	authority, err := keys.NewAuthority("test", time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	key, err := authority.Issue(keys.Identity{Instance: id, Region: "jatim"}, nil, time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	hub, err := link.New(link.Options{
		Key: key, Address: func(string) (string, bool) { return "", false }, Rand: rand.New(rand.NewPCG(1, 2)),
	})
	if err != nil {
		t.Fatal(err)
	}
	return hub
}

// newRig forms the global group and rolls out a bundle.
func newRig(t *testing.T) (r *rig, stop func()) {
	r = &rig{t: t, disk: faultfs.New()}
	b := bundletest.Sample()
	b.Rules.ClaimLifetimeSeconds = lifetime
	signed := bundletest.Sign(b, bundletest.Operators...)
	trust := b.NextTrust()
	machine := rollout.NewMachine(trust, func() bundle.Identity { return bundle.Identity{} }, func(*bundle.Signed) {})
	hub := newHub(t, "g")
	member, err := group.Open(group.Options{
		Name: "global", Self: "g", Members: []string{"g"}, Dir: "/global", FS: faultfs.New(), Hub: hub,
		StateMachine: machine, Prepare: machine.Prepare,
	})
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Second)
	r.global = group.NewClient("global", []string{"g"}, hub, member)
	encoded, err := bundle.EncodeSigned(signed)
	if err != nil {
		t.Fatal(err)
	}
	if answer, err := r.global.Propose(t.Context(), encoded); err != nil || machine.Groups() == nil {
		t.Fatalf("%s, %v", answer, err)
	}
	r.start()
	return r, func() {
		r.stop()
		_ = member.Stop()
		hub.Close()
	}
}

// start opens the region's member on its disk.
func (r *rig) start() {
	r.hub, r.table = newHub(r.t, "a"), registered.NewTable()
	var err error
	r.member, err = group.Open(group.Options{
		Name: region, Self: "a", Members: []string{"a"}, Dir: "/region", FS: r.disk, Hub: r.hub,
		StateMachine: r.table, Prepare: r.table.Prepare,
	})
	if err != nil {
		r.t.Fatal(err)
	}
	r.client = group.NewClient(region, []string{"a"}, r.hub, r.member)
	r.registrar = registered.NewRegistrar(registered.Options{
		Name: region, Node: r.member.Node, Table: r.table, Global: r,
		// A lagging instance may know a shorter lifetime than was promised.
		Lifetime: func() time.Duration { return time.Second }, Log: zap.NewNop(),
	})
	time.Sleep(time.Second)
}

func (r *rig) stop() {
	_ = r.member.Stop()
	r.hub.Close()
}

// restart kills the process and starts it again; wipe empties its disk in between.
func (r *rig) restart(wipe bool) {
	r.stop()
	r.disk.Kill()
	if wipe {
		r.disk.Wipe()
	}
	r.start()
}

// Propose proposes at the global group, unless the region is partitioned from it.
func (r *rig) Propose(ctx context.Context, entry []byte) ([]byte, error) {
	if r.partitioned {
		return nil, verdict.New(verdict.NotRun, group.CodeNoLeader, "cut off")
	}
	return r.global.Propose(ctx, entry)
}

// tick performs the leader's periodic work n times.
func (r *rig) tick(n int) {
	for range n {
		r.registrar.Step(r.t.Context())
		r.command(claim.Command{Now: time.Now().UnixMilli(), Expire: &claim.Expire{}})
	}
}

func (r *rig) command(c claim.Command) (claim.Result, error) {
	data, err := claim.Encode(c)
	if err != nil {
		r.t.Fatal(err)
	}
	answer, err := r.client.Propose(r.t.Context(), data)
	if err != nil {
		return claim.Result{}, err
	}
	res, err := claim.DecodeResult(answer)
	if err != nil {
		r.t.Fatal(err)
	}
	return res, nil
}

var key = claim.KeyOf("booking-desk", "flight 7")

// claim requests the key for an attempt.
func (r *rig) claim(attempt byte) (claim.Result, error) {
	return r.command(claim.Command{Now: time.Now().UnixMilli(), Claim: &claim.Claim{
		Key: key, Body: claim.DigestOf([]byte("body")), Attempt: claim.AttemptID{attempt},
		Instance: claim.Instance{ID: "a", Incarnation: 1}, LifetimeSeconds: lifetime,
	}})
}

func (r *rig) wantGranted(when string, attempt byte) {
	r.t.Helper()
	if res, err := r.claim(attempt); err != nil || res.Reply != claim.Granted {
		r.t.Errorf("%s: %v, %v", when, res.Reply, err)
	}
}

func (r *rig) wantRefused(when string, code verdict.Code, after time.Duration) {
	r.t.Helper()
	res, err := r.claim(9)
	var e *verdict.Error
	if !errors.As(err, &e) || e.Verdict != verdict.NotRun || e.Code != code || (after > 0 && e.RetryAfter != after) {
		r.t.Errorf("%s: %v, %v, want %s after %v", when, res.Reply, err, code, after)
	}
}

// Guards against a booking that runs twice. It is claimed and runs in a region with one disk;
// the disk is wiped, and the instance restarts without reaching the global group at first. The
// blank instance forms a new group by itself, and its empty table would grant the key to the
// caller's retry.
func TestWipedDiskGrantsNothingTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, stop := newRig(t)
		defer stop()
		r.wantRefused("before the first registration", registered.CodeUnregistered, 0)
		r.tick(1)
		r.wantGranted("after it", 1)

		r.restart(true)
		r.partitioned = true
		r.tick(lifetime)
		r.wantRefused("wiped and cut off", registered.CodeUnregistered, 0)
		r.partitioned = false
		r.tick(1)
		r.wantRefused("registered after a loss", registered.CodeBlocked, (lifetime-1)*time.Second)

		r.tick(lifetime / 2)
		finish := &claim.Finish{Key: key, Attempt: claim.AttemptID{1}, Verdict: verdict.Ran}
		if res, err := r.command(claim.Command{Finish: finish}); err != nil || res.Reply != claim.Forgotten {
			t.Errorf("end of the lost attempt: %v, %v", res, err)
		}
		r.wantRefused("an attempt of the lost table has ended", registered.CodeBlocked, lifetime*time.Second)

		r.partitioned = true
		r.restart(false)
		r.tick(lifetime - 1)
		r.wantRefused("a tick too early", registered.CodeBlocked, time.Second)
		if s := r.table.Status(); s.State != registered.Waiting || s.Losses != 1 || s.LostGroup == 0 || s.LostGroup == s.Group {
			t.Errorf("%+v", s)
		}
		r.tick(1)
		r.wantGranted("after a lifetime", 2)
	})
}

// Guards against a registration that is kept in memory only: after a restart without access to
// the global group, a registered region would refuse its own bookings.
func TestRestartWhilePartitionedKeepsServing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, stop := newRig(t)
		defer stop()
		r.tick(1)
		r.partitioned = true
		r.restart(false)
		r.wantGranted("after a restart", 1)
		r.restart(false)
		if res, err := r.claim(2); err != nil || res.Reply != claim.Running {
			t.Errorf("the record of before the restart: %v, %v", res, err)
		}
	})
}

// Guards against a wait that ends early after a restore, and against claims that pass at a node
// that does not lead.
func TestGateKeepsItsState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, stop := newRig(t)
		defer stop()
		r.tick(1)
		var e *verdict.Error
		if _, err := r.client.Propose(t.Context(), []byte{0x00, 0xa0}); !errors.As(err, &e) || e.Code != registered.CodeMalformed {
			t.Errorf("an admission from outside: %v", err)
		}
		r.restart(true)
		r.tick(5)
		snapshot, err := r.table.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		restored := registered.NewTable()
		if err := restored.Restore(snapshot); err != nil || restored.Status() != r.table.Status() {
			t.Errorf("%+v is %+v after a snapshot (%v)", r.table.Status(), restored.Status(), err)
		}
		old, err := claim.NewTable().Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if err := restored.Restore(old); err != nil || restored.Status().State != registered.Unregistered {
			t.Errorf("snapshot of claims alone: %+v, %v", restored.Status(), err)
		}
		table := registered.NewTable()
		blank, err := group.Open(group.Options{
			Name: "blank", Self: "a", Members: []string{"a", "b"}, Dir: "/blank", FS: faultfs.New(), Hub: r.hub,
			StateMachine: table, Prepare: table.Prepare,
		})
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = blank.Stop() }()
		r.client = group.NewClient("blank", []string{"a"}, r.hub, blank)
		if _, err := r.claim(3); !errors.As(err, &e) || e.Code != replhost.CodeNotLeader {
			t.Errorf("at a node that does not lead: %v", err)
		}
	})
}
