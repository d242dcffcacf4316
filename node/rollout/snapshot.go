package rollout

import (
	"bytes"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/gullhaven/gullhaven/bundle"
	"github.com/gullhaven/gullhaven/bundle/acceptance"
	"github.com/gullhaven/gullhaven/coord/registry"
)

// magic begins a snapshot that includes registrations. An older snapshot is that of
// bundle/acceptance alone, which begins with a SHA-256 sum.
const magic = "gullhaven/global-group/2"

// snapshotBody is a snapshot without its leading magic.
type snapshotBody struct {
	Bundles []byte `cbor:"1,keyasint"`
	Groups  []byte `cbor:"2,keyasint"`
}

// Snapshot returns the encoded state.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	bundles, err := m.machine.Snapshot()
	if err != nil {
		return nil, err
	}
	groups, err := m.groups.Snapshot()
	if err != nil {
		return nil, err
	}
	body, err := cbor.Marshal(snapshotBody{Bundles: bundles, Groups: groups})
	return append([]byte(magic), body...), errors.Annotate(err, "snapshot of the global group")
}

// Restore replaces the state by that of a snapshot.
func (m *Machine) Restore(data []byte) error {
	machine, groups, err := restore(data)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.machine, m.groups = machine, groups
	if s := machine.InForce(); s != nil {
		m.onAccepted(s)
	}
	return nil
}

func restore(data []byte) (*acceptance.Machine, *registry.Table, error) {
	body, both := bytes.CutPrefix(data, []byte(magic))
	if !both {
		return restoreWithoutGroups(data)
	}
	var im snapshotBody
	if err := cbor.Unmarshal(body, &im); err != nil {
		return nil, nil, errors.Annotate(err, "snapshot of the global group")
	}
	machine, err := acceptance.Restore(im.Bundles)
	if err != nil {
		return nil, nil, err
	}
	groups, err := registry.Restore(im.Groups)
	return machine, groups, err
}

// restoreWithoutGroups restores a snapshot without registrations. Of the claim lifetimes in
// force before it, only that of its bundle is known.
func restoreWithoutGroups(data []byte) (*acceptance.Machine, *registry.Table, error) {
	machine, err := acceptance.Restore(data)
	if err != nil {
		return nil, nil, err
	}
	groups := registry.New()
	if s := machine.InForce(); s != nil {
		groups.ObserveLifetime(claimLifetime(s))
	}
	return machine, groups, nil
}

func claimLifetime(s *bundle.Signed) time.Duration {
	return time.Duration(s.Bundle.Rules.ClaimLifetimeSeconds) * time.Second
}
