// Package acceptance is the replicated state machine that accepts bundles.
// Every voter applies the same commands in the order of the replicated log and
// comes to the same answers: one winner for each version, a resend gets the
// first answer, and no version is ever taken back.
//
// It is a plain type without input or output; the host drives it from the log.
package acceptance

import (
	"github.com/juju/errors"

	"github.com/gullhaven/gullhaven/bundle"
)

// ErrApplied marks a command whose index was applied before. The answer it
// gave then can be had again by proposing the same bundle.
const ErrApplied = errors.ConstError("log index is applied already")

// ErrSnapshot marks a snapshot that Snapshot can't have written.
const ErrSnapshot = errors.ConstError("snapshot of accepted bundles is damaged")

// Machine keeps the digests of accepted versions and the latest signed bundle.
// It is not safe for concurrent use.
type Machine struct {
	// applied is the last log index.
	applied uint64
	// accepted is nil before the first bundle.
	accepted *bundle.AcceptanceState
	// current is the bundle in force; nil before the first.
	current *bundle.Signed
}

// New is a machine before the first command.
func New() *Machine {
	return &Machine{}
}

// Applied is the log index of the last command.
func (m *Machine) Applied() uint64 { return m.applied }

// InForce is the latest accepted bundle, nil before the first. It must not be
// changed.
func (m *Machine) InForce() *bundle.Signed { return m.current }

// Identity of the bundle in force; zero before the first.
func (m *Machine) Identity() bundle.Identity {
	if m.accepted == nil {
		return bundle.Identity{}
	}
	version, digest := m.accepted.History.Last()
	return bundle.Identity{Version: version, Parent: m.current.Bundle.Parent, Digest: digest}
}

// Apply runs the command at a log index. The answer depends on the commands so
// far alone. The error is ErrApplied for an index that isn't new, which
// happens when a log is read again after a restart.
//
// Apply does not run bundle.Check: its rules may differ between releases, and
// voters of two releases would then disagree for good. Precheck runs it before
// the proposal.
func (m *Machine) Apply(index uint64, command []byte) (bundle.Result, error) {
	if index <= m.applied {
		return bundle.Result{}, errors.Annotatef(ErrApplied, "index %d of %d", index, m.applied)
	}
	m.applied = index
	c, err := decodeCommand(command)
	if err != nil {
		return m.invalid(bundle.Identity{}, err), nil
	}
	if result, decided := m.accepted.Compare(c.Identity); decided {
		return result, nil
	}
	next, err := c.bundle(m.current)
	if err != nil {
		return m.invalid(c.Identity, err), nil
	}
	result := m.accepted.CheckSignOffs(c.Identity, next)
	if result.Accepted() {
		err = m.install(c.Identity, next)
	}
	if err != nil {
		return m.invalid(c.Identity, err), nil
	}
	return result, nil
}

// invalid is the answer to a command that holds no usable bundle.
func (m *Machine) invalid(id bundle.Identity, err error) bundle.Result {
	inForce := m.Identity()
	return bundle.Result{
		Outcome: bundle.OutcomeInvalid, Version: id.Version, Digest: id.Digest,
		InForceVersion: inForce.Version, InForceDigest: inForce.Digest,
		Problems: bundle.Problems{{Message: err.Error()}},
	}
}

// install makes a bundle the one in force.
func (m *Machine) install(id bundle.Identity, next *bundle.Signed) error {
	accepted := m.accepted
	if accepted == nil {
		accepted = &bundle.AcceptanceState{}
	}
	if err := accepted.History.Append(id.Version, id.Digest); err != nil {
		return err
	}
	accepted.Trust = next.Bundle.NextTrust()
	m.accepted = accepted
	m.current = next
	return nil
}

// Precheck judges a bundle before it is proposed. The proposer calls it on the
// leader after a linearizable read, so that each refusal is final. decided
// false means: propose Command. bootstrap is who may sign version 1 by the
// settings; Apply can't use settings, as those of two voters may differ.
func (m *Machine) Precheck(s *bundle.Signed, bootstrap bundle.Trust) (result bundle.Result, decided bool, err error) {
	result, err = bundle.Accept(m.accepted, s)
	if err != nil {
		return bundle.Result{}, false, err
	}
	id := bundle.Identity{Version: result.Version, Parent: s.Bundle.Parent, Digest: result.Digest}
	if !result.Accepted() || m.holds(id) {
		return result, true, nil
	}
	if m.accepted != nil {
		return result, false, nil
	}
	if err := bundle.Verify(id, s.Signatures, bootstrap); err != nil {
		result.Outcome = bundle.OutcomeUnsigned
		result.Problems = bundle.Problems{{Path: "signatures", Message: "by the settings: " + err.Error()}}
		return result, true, nil
	}
	return result, false, nil
}

// holds is true for a bundle that was accepted before.
func (m *Machine) holds(id bundle.Identity) bool {
	if m.accepted == nil {
		return false
	}
	digest, kept := m.accepted.History.Digest(id.Version)
	return kept && digest == id.Digest
}
