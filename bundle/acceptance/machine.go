// Package acceptance is the replicated state machine that accepts bundles.
// Every voter applies the same commands in the order of the replicated log and
// gets the same results: each version has one winner, a resend gets the first
// result, and no version is ever revoked.
//
// It does no input or output; the host calls it from the log.
package acceptance

import (
	"github.com/juju/errors"

	"github.com/gullhaven/gullhaven/bundle"
)

// ErrApplied marks a command whose index was applied before. To get its result
// again, propose the same bundle.
const ErrApplied = errors.ConstError("log index is applied already")

// ErrSnapshot marks a damaged snapshot: one that Snapshot can't have written.
const ErrSnapshot = errors.ConstError("snapshot of accepted bundles is damaged")

// Machine keeps the digests of accepted versions and the latest signed bundle.
// It is not safe for concurrent use.
type Machine struct {
	// applied is the last applied log index.
	applied uint64
	// accepted is nil before the first bundle.
	accepted *bundle.AcceptanceState
	// current is the bundle in force; nil before the first.
	current *bundle.Signed
}

// New makes an empty machine.
func New() *Machine {
	return &Machine{}
}

// Applied returns the log index of the last command; 0 before the first.
func (m *Machine) Applied() uint64 { return m.applied }

// InForce returns the latest accepted bundle, nil before the first. The caller
// must not change it.
func (m *Machine) InForce() *bundle.Signed { return m.current }

// Identity returns the identity of the bundle in force; zero before the first.
func (m *Machine) Identity() bundle.Identity {
	if m.accepted == nil {
		return bundle.Identity{}
	}
	version, digest := m.accepted.History.Last()
	return bundle.Identity{Version: version, Parent: m.current.Bundle.Parent, Digest: digest}
}

// Apply runs the command at a log index. The result depends only on this and the
// earlier commands. The error is ErrApplied for an index that isn't new, which
// happens when the log is replayed after a restart.
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
	next, err := c.verifiedBundle(m.current)
	if err != nil {
		return m.invalid(c.Identity, err), nil
	}
	result := m.accepted.CheckSignOffs(c.Identity, next)
	if result.Accepted() {
		err = m.setCurrent(c.Identity, next)
	}
	if err != nil {
		return m.invalid(c.Identity, err), nil
	}
	return result, nil
}

// invalid makes the result of a command without a usable bundle.
func (m *Machine) invalid(id bundle.Identity, err error) bundle.Result {
	inForce := m.Identity()
	return bundle.Result{
		Outcome: bundle.OutcomeInvalid, Version: id.Version, Digest: id.Digest,
		InForceVersion: inForce.Version, InForceDigest: inForce.Digest,
		Problems: bundle.Problems{{Message: err.Error()}},
	}
}

// setCurrent puts an accepted bundle in force.
func (m *Machine) setCurrent(id bundle.Identity, next *bundle.Signed) error {
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

// Precheck checks a bundle before it is proposed. The proposer calls it on the
// leader after a linearizable read, so that each refusal is final. If decided is
// false, the proposer must propose Command; otherwise result is the answer.
// bootstrap is the trust of the settings, which version 1 must satisfy; Apply
// can't use settings, as those of two voters may differ. The error is that of
// encoding the bundle.
func (m *Machine) Precheck(s *bundle.Signed, bootstrap bundle.Trust) (result bundle.Result, decided bool, err error) {
	result, err = bundle.Accept(m.accepted, s)
	if err != nil {
		return bundle.Result{}, false, err
	}
	id := bundle.Identity{Version: result.Version, Parent: s.Bundle.Parent, Digest: result.Digest}
	if !result.Accepted() || m.wasAccepted(id) {
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

// wasAccepted reports whether a bundle was accepted before and is still in the
// history.
func (m *Machine) wasAccepted(id bundle.Identity) bool {
	if m.accepted == nil {
		return false
	}
	digest, kept := m.accepted.History.Digest(id.Version)
	return kept && digest == id.Digest
}
