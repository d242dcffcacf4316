// Package rollout brings a bundle from an operator to every instance: the global group accepts
// it, and a Spreader distributes it.
package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/gullhaven/gullhaven/bundle"
	"github.com/gullhaven/gullhaven/bundle/acceptance"
	"github.com/gullhaven/gullhaven/coord/registry"
	"github.com/gullhaven/gullhaven/coord/replhost"
	"github.com/gullhaven/gullhaven/coord/verdict"
)

// readTimeout bounds the read before a proposal.
const readTimeout = 2 * time.Second

const (
	// CodeMalformed: the proposal is neither a signed bundle nor a valid registration.
	CodeMalformed verdict.Code = "malformed_bundle"
	// CodeLogLost: this instance holds a newer bundle than the log, or a region has a bundle
	// and the log has none. So the log was lost and another one was formed.
	CodeLogLost verdict.Code = "global_log_lost"
)

// Machine is the state machine of the global group. It accepts bundles, with a bundle.Result in
// JSON as the result, and registers region groups (coord/registry).
//
// If the disks of all voters are wiped, the voters form a new group by themselves. The new log
// would accept version 1 again, and register each region's group as a first one. Instances that
// went on running still hold the bundle and send it to the blank voters. So a leader that holds
// a newer bundle than its own log refuses both until an operator has decided. Restarting all
// instances at once is that decision, as then none holds a bundle any more.
type Machine struct {
	bootstrap bundle.Trust
	// head returns the version in force at this instance, from whatever source.
	head func() bundle.Identity
	// onAccepted is called for each bundle that comes into force, in order.
	onAccepted func(*bundle.Signed)

	mu      sync.Mutex
	machine *acceptance.Machine
	groups  *registry.Table
}

// NewMachine returns the state machine of a voter. bootstrap says who may sign the first
// bundle; head returns the version in force at this instance. onAccepted must not block.
func NewMachine(bootstrap bundle.Trust, head func() bundle.Identity, onAccepted func(*bundle.Signed)) *Machine {
	return &Machine{
		bootstrap: bootstrap, head: head, onAccepted: onAccepted,
		machine: acceptance.New(), groups: registry.New(),
	}
}

// Groups returns the registered region groups, sorted by name.
func (m *Machine) Groups() []registry.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.groups.Entries()
}

// Apply applies a log entry and returns its encoded result.
func (m *Machine) Apply(index uint64, data []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	if registry.IsCommand(data) {
		return m.groups.Apply(index, data)
	}
	before := m.machine.Identity()
	result, err := m.machine.Apply(index, data)
	if err != nil {
		result = bundle.Result{
			Outcome:  bundle.OutcomeInvalid,
			Problems: bundle.Problems{{Message: err.Error()}},
		}
	}
	if m.machine.Identity() != before {
		m.groups.ObserveLifetime(claimLifetime(m.machine.InForce()))
		m.onAccepted(m.machine.InForce())
	}
	return encodeResult(result)
}

// Prepare checks a signed bundle at the leader, after a linearizable read, and returns the log
// entry of one that may be accepted. A refusal needs no entry. A registration already is an
// entry.
func (m *Machine) Prepare(ctx context.Context, node *replhost.Node, data []byte) ([]byte, bool, error) {
	if registry.IsCommand(data) {
		return m.prepareRegistration(ctx, node, data)
	}
	signed, err := bundle.DecodeSigned(data)
	if err != nil {
		return nil, false, verdict.New(verdict.NotRun, CodeMalformed, err.Error())
	}
	if err := m.readIntact(ctx, node); err != nil {
		return nil, false, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	result, decided, err := m.machine.Precheck(signed, m.bootstrap)
	if err != nil {
		return nil, false, verdict.New(verdict.NotRun, CodeMalformed, err.Error())
	}
	if decided {
		return encodeResult(result), true, nil
	}
	entry, err := m.machine.Command(signed)
	if err != nil {
		return nil, false, verdict.New(verdict.NotRun, CodeMalformed, err.Error())
	}
	return entry, false, nil
}

// prepareRegistration checks a registration at the leader. A registering region has a bundle in
// force, and shows that by its claim lifetime. If the log has accepted no bundle, the log was
// lost, even if this instance does not know of it yet.
func (m *Machine) prepareRegistration(ctx context.Context, node *replhost.Node, entry []byte) ([]byte, bool, error) {
	r, err := registry.Decode(entry)
	if err == nil && r.LifetimeSeconds == 0 {
		err = errors.New("registration without a lifetime of claims")
	}
	if err != nil {
		return nil, false, verdict.New(verdict.NotRun, CodeMalformed, err.Error())
	}
	if err := m.readIntact(ctx, node); err != nil {
		return nil, false, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.machine.InForce() == nil {
		return nil, false, verdict.New(verdict.NotRun, CodeLogLost,
			"a bundle is in force at "+r.Name+", but the global log has accepted none: it was lost")
	}
	return entry, false, nil
}

// readIntact waits for a linearizable read, and returns an error if the log was lost. The
// version held must be read before the linearizable read: at the end of that read, an intact
// log has everything that was in force anywhere before.
func (m *Machine) readIntact(ctx context.Context, node *replhost.Node) error {
	held := m.head()
	if err := readWithTimeout(ctx, node); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if logged := m.machine.Identity(); held.Version > logged.Version {
		return verdict.New(verdict.NotRun, CodeLogLost, fmt.Sprintf(
			"version %d is in force here, but the global log ends with %d: it was lost", held.Version, logged.Version))
	}
	return nil
}

// readWithTimeout waits for a linearizable read. A leader that was deposed while its process
// was stopped may neither get its read confirmed nor learn that it was deposed; without a
// timeout the operator would wait with it. Its errors are NotRun, as nothing was proposed yet.
func readWithTimeout(ctx context.Context, node *replhost.Node) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	err := node.Read(ctx)
	var e *verdict.Error
	if errors.As(err, &e) {
		c := *e
		c.Verdict = verdict.NotRun
		return &c
	}
	return err
}

func encodeResult(r bundle.Result) []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(err) // A Result holds only plain values.
	}
	return data
}
