package rollout_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gullhaven/gullhaven/bundle"
	"github.com/gullhaven/gullhaven/bundle/acceptance"
	"github.com/gullhaven/gullhaven/bundle/bundletest"
	"github.com/gullhaven/gullhaven/coord/registry"
	"github.com/gullhaven/gullhaven/coord/replhost"
	"github.com/gullhaven/gullhaven/coord/replog"
	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/coord/wal/faultfs"
	"github.com/gullhaven/gullhaven/node/rollout"
)

type discard struct{}

func (discard) Send(string, []byte) {}

// voter is a global group with one member.
type voter struct {
	t       *testing.T
	head    bundle.Identity
	machine *rollout.Machine
	node    *replhost.Node
}

func open(t *testing.T) *voter {
	v := &voter{t: t}
	trust := bundletest.Sample().NextTrust()
	v.machine = rollout.NewMachine(trust, func() bundle.Identity { return v.head }, func(*bundle.Signed) {})
	node, err := replhost.Open(replhost.Options{
		Core: replog.Options{
			Self: replog.Member{ID: "a"}, Bootstrap: &replog.Bootstrap{Voters: []string{"a"}},
		},
		Dir: "/global", FS: faultfs.New(), Transport: discard{}, StateMachine: v.machine,
	})
	if err != nil {
		t.Fatal(err)
	}
	v.node = node
	time.Sleep(time.Second)
	return v
}

// propose calls Prepare first, as node/group does.
func (v *voter) propose(data []byte) ([]byte, error) {
	entry, decided, err := v.machine.Prepare(context.Background(), v.node, data)
	if err != nil || decided {
		return entry, err
	}
	return v.node.Propose(context.Background(), entry)
}

func (v *voter) register(group uint64) (registry.Result, error) {
	entry, err := registry.Encode(registry.Register{Name: "region-jatim", Group: group, Now: 1, LifetimeSeconds: 30})
	if err != nil {
		v.t.Fatal(err)
	}
	answer, err := v.propose(entry)
	if err != nil {
		return registry.Result{}, err
	}
	return registry.DecodeResult(answer)
}

func wantLost(t *testing.T, when string, err error) {
	t.Helper()
	var e *verdict.Error
	if !errors.As(err, &e) || e.Code != rollout.CodeLogLost || e.Verdict != verdict.NotRun {
		t.Errorf("%s: %v", when, err)
	}
}

// Guards against blank voters that form a new global group by themselves after the disks of all
// voters were wiped, while instances without a disk keep running. Version 1 would be accepted
// again while version 7 is in force, or a wiped region would take claims at once.
func TestLostLogAcceptsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := open(t)
		defer func() { _ = v.node.Stop() }()
		signed, err := bundle.EncodeSigned(bundletest.Sign(bundletest.Sample(), bundletest.Operators...))
		if err != nil {
			t.Fatal(err)
		}
		_, err = v.register(1)
		wantLost(t, "registration by a region with a bundle", err)
		v.head = bundle.Identity{Version: 7}
		_, err = v.propose(signed)
		wantLost(t, "version 1", err)

		v.head = bundle.Identity{}
		if answer, err := v.propose(signed); err != nil || v.machine.Groups() == nil {
			t.Fatalf("first start: %s, %v", answer, err)
		}
		v.head = bundle.Identity{Version: 1}
		if res, err := v.register(1); err != nil || res.Reply != registry.Granted || res.WaitSeconds != 0 {
			t.Errorf("first registration: %+v, %v", res, err)
		}
	})
}

// Guards against a snapshot without the registrations or the longest claim lifetime, also one
// that was written before regions registered. After a voter's restart, a wiped region would
// count as a first one.
func TestSnapshotHoldsBundlesAndGroups(t *testing.T) {
	lifetime := uint32(bundletest.Sample().Rules.ClaimLifetimeSeconds)
	machine := rollout.NewMachine(bundle.Trust{}, nil, func(*bundle.Signed) {})
	core := acceptance.New()
	command, err := core.Command(bundletest.Sign(bundletest.Sample(), bundletest.Operators...))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := core.Apply(1, command); err != nil {
		t.Fatal(err)
	}
	old, err := core.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if err := machine.Restore(old); err != nil {
		t.Fatal(err)
	}
	for i, group := range []uint64{1, 2} {
		snapshot, err := machine.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		machine = rollout.NewMachine(bundle.Trust{}, nil, func(*bundle.Signed) {})
		if err := machine.Restore(snapshot); err != nil {
			t.Fatal(err)
		}
		entry, _ := registry.Encode(registry.Register{Name: "region-jatim", Group: group, Now: 1, LifetimeSeconds: 1})
		res, err := registry.DecodeResult(machine.Apply(uint64(i)+2, entry))
		if err != nil || res.Reply != registry.Granted || res.WaitSeconds != uint32(i)*lifetime {
			t.Errorf("group %d: %+v, %v", group, res, err)
		}
	}
	if err := machine.Restore([]byte("gullhaven/global-group/2 damaged")); err == nil {
		t.Error("a damaged snapshot was taken")
	}
}
