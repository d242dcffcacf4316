// Package rollout runs the way of a bundle from an operator to every instance:
// acceptance by the global group and spreading to the others.
package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/gullhaven/gullhaven/bundle"
	"github.com/gullhaven/gullhaven/bundle/acceptance"
	"github.com/gullhaven/gullhaven/coord/replhost"
	"github.com/gullhaven/gullhaven/coord/verdict"
)

// readTimeout bounds the read before a proposal.
const readTimeout = 2 * time.Second

// CodeMalformed: what was rolled is not a signed bundle.
const CodeMalformed verdict.Code = "malformed_bundle"

// Machine is the state machine of the global group. Results are JSON forms of
// bundle.Result.
type Machine struct {
	bootstrap bundle.Trust
	// onAccepted is told of each bundle that comes in force, in order.
	onAccepted func(*bundle.Signed)

	mu      sync.Mutex
	machine *acceptance.Machine
}

// NewMachine makes the state machine of a voter. bootstrap is who may sign the
// first bundle. onAccepted must not block.
func NewMachine(bootstrap bundle.Trust, onAccepted func(*bundle.Signed)) *Machine {
	return &Machine{bootstrap: bootstrap, onAccepted: onAccepted, machine: acceptance.New()}
}

// Apply carries out an entry of the log.
func (m *Machine) Apply(index uint64, data []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.machine.Identity()
	result, err := m.machine.Apply(index, data)
	if err != nil {
		result = bundle.Result{
			Outcome:  bundle.OutcomeInvalid,
			Problems: bundle.Problems{{Message: err.Error()}},
		}
	}
	if m.machine.Identity() != before {
		m.onAccepted(m.machine.InForce())
	}
	return encodeResult(result)
}

// Snapshot returns the whole state.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.Snapshot()
}

// Restore replaces the state by that of a snapshot.
func (m *Machine) Restore(data []byte) error {
	restored, err := acceptance.Restore(data)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.machine = restored
	if s := restored.InForce(); s != nil {
		m.onAccepted(s)
	}
	return nil
}

// Prepare judges a rolled bundle at the leader, after a linearizable read, and
// makes the log entry of one that may be accepted. Refusals need no entry.
func (m *Machine) Prepare(ctx context.Context, node *replhost.Node, data []byte) ([]byte, bool, error) {
	signed, err := bundle.DecodeSigned(data)
	if err != nil {
		return nil, false, verdict.New(verdict.NotRun, CodeMalformed, err.Error())
	}
	if err := readBounded(ctx, node); err != nil {
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
