// Package rollout runs the way of a bundle from an operator to every instance:
// acceptance by the global group and spreading to the others.
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
	// CodeMalformed: what was rolled is not a signed bundle, or what was
	// registered is no registration.
	CodeMalformed verdict.Code = "malformed_bundle"
	// CodeLogLost: this instance holds a newer bundle than the log, so the log
	// was lost and formed anew.
	CodeLogLost verdict.Code = "global_log_lost"
)

// Machine is the state machine of the global group. It accepts bundles, with
// results that are JSON forms of bundle.Result, and registers region groups
// (coord/registry).
//
// If the disks of all voters are wiped they form a new group by themselves. The
// new log would accept version 1 again, and register each region's group as a
// first one. Instances that went on running hold the bundle still, and hand it
// to the blank voters. So a leader that holds a newer bundle than its own log
// refuses both until an operator has decided: the restart of all instances at
// once is that decision, as nobody then remembers anything.
type Machine struct {
	bootstrap bundle.Trust
	// head is the version in force at this instance, from wherever it came.
	head func() bundle.Identity
	// onAccepted is told of each bundle that comes in force, in order.
	onAccepted func(*bundle.Signed)

	mu      sync.Mutex
	machine *acceptance.Machine
	groups  *registry.Table
}

// NewMachine makes the state machine of a voter. bootstrap is who may sign the
// first bundle; head is the version in force at this instance. onAccepted must
// not block.
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

// Apply carries out an entry of the log.
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

// Prepare judges a rolled bundle at the leader, after a linearizable read, and
// makes the log entry of one that may be accepted. Refusals need no entry. A
// registration is an entry already.
func (m *Machine) Prepare(ctx context.Context, node *replhost.Node, data []byte) ([]byte, bool, error) {
	if registry.IsCommand(data) {
		return m.prepareRegistration(ctx, node, data)
	}
	signed, err := bundle.DecodeSigned(data)
	if err != nil {
		return nil, false, verdict.New(verdict.NotRun, CodeMalformed, err.Error())
	}
	if err := m.readWhole(ctx, node); err != nil {
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

// prepareRegistration judges a registration at the leader. Who registers has a
// bundle in force, and says so by its claims' lifetime. If the log has accepted
// none, the log was lost, also where this instance has not heard of it yet.
func (m *Machine) prepareRegistration(ctx context.Context, node *replhost.Node, entry []byte) ([]byte, bool, error) {
	r, err := registry.Decode(entry)
	if err == nil && r.LifetimeSeconds == 0 {
		err = errors.New("registration without a lifetime of claims")
	}
	if err != nil {
		return nil, false, verdict.New(verdict.NotRun, CodeMalformed, err.Error())
	}
	if err := m.readWhole(ctx, node); err != nil {
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

// readWhole waits for a linearizable read and refuses to go on from a log that
// was lost. The version held is looked at before the read: a log that is whole
// has by its end everything that was in force anywhere before.
func (m *Machine) readWhole(ctx context.Context, node *replhost.Node) error {
	held := m.head()
	if err := readBounded(ctx, node); err != nil {
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

// readBounded waits for a linearizable read. A leader that was deposed while
// its process was stopped may never get its read confirmed, nor be told so;
// without a bound the operator would wait with it. Nothing was proposed yet.
func readBounded(ctx context.Context, node *replhost.Node) error {
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
