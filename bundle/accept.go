package bundle

import (
	"fmt"
)

// Outcome is the answer to a bundle that was rolled.
type Outcome string

const (
	// OutcomeAccepted bundles are, or once were, the one of their version.
	OutcomeAccepted Outcome = "accepted"
	// OutcomeConflict bundles lost their version to other content.
	OutcomeConflict Outcome = "conflict"
	// OutcomeGap bundles skip a version.
	OutcomeGap Outcome = "gap"
	// OutcomeWrongParent bundles are based on another than the one in force.
	OutcomeWrongParent Outcome = "wrong_parent"
	// OutcomeTooOld bundles have a version whose digest is no longer kept.
	OutcomeTooOld Outcome = "too_old"
	// OutcomeUnsigned bundles lack valid sign-offs.
	OutcomeUnsigned Outcome = "unsigned"
	// OutcomeInvalid bundles fail their check.
	OutcomeInvalid Outcome = "invalid"
)

// Result is the answer to a bundle that was rolled. For an accepted bundle it
// depends on its identity alone, so that a resend at any later time, to any
// instance, gets the same bytes.
type Result struct {
	Outcome Outcome `json:"outcome"`
	// Version and Digest of the bundle that was rolled.
	Version uint64 `json:"version"`
	Digest  Digest `json:"digest"`
	// Winner is the digest that was accepted under Version, after a conflict.
	Winner Digest `json:"winner,omitempty"`
	// InForceVersion and InForceDigest were in force when a bundle was refused.
	InForceVersion uint64 `json:"in_force_version,omitempty"`
	InForceDigest  Digest `json:"in_force_digest,omitempty"`
	// Problems say why a bundle is invalid or unsigned.
	Problems Problems `json:"problems,omitempty"`
}

// Accepted is true for a bundle that is, or once was, in force.
func (r Result) Accepted() bool { return r.Outcome == OutcomeAccepted }

// String is a line for people: of a refusal, the reason.
func (r Result) String() string {
	switch r.Outcome {
	case OutcomeAccepted:
		return fmt.Sprintf("accepted as version %d", r.Version)
	case OutcomeConflict:
		return fmt.Sprintf("version %d was won by other content, digest %s", r.Version, r.Winner)
	case OutcomeGap:
		return fmt.Sprintf("version %d doesn't follow version %d, which is in force", r.Version, r.InForceVersion)
	case OutcomeWrongParent:
		return fmt.Sprintf("the parent is not version %d, digest %s, which is in force", r.InForceVersion, r.InForceDigest)
	case OutcomeTooOld:
		return fmt.Sprintf("version %d is older than the history that is kept", r.Version)
	default:
		return fmt.Sprintf("%s: %s", r.Outcome, r.Problems.Error())
	}
}

// Accepted is what the rule knows of the past: the versions accepted so far and
// the trust of the last one. A nil *Accepted is the time before the first.
type AcceptanceState struct {
	// Trust that the bundle in force puts in operators.
	Trust   Trust
	History History
}

// Accept is the acceptance rule: compare-and-set on version and parent, then
// sign-offs and check. It is pure; the caller records an accepted bundle.
//
// What goes wrong without it: two operators roll different bundles under one
// version, both get "accepted", and regions differ for good.
func Accept(inForce *AcceptanceState, s *Signed) (Result, error) {
	id, err := s.Bundle.Identity()
	if err != nil {
		return Result{}, err
	}
	// Version 0 was never accepted, so that Compare would call it too old.
	if result, decided := inForce.Compare(id); decided && id.Version != 0 {
		return result, nil
	}
	if problems := Check(&s.Bundle); len(problems) > 0 {
		return inForce.refuse(id, OutcomeInvalid, problems), nil
	}
	return inForce.CheckSignOffs(id, s), nil
}

// Compare is the compare-and-set. It is decided for resends and for whatever
// is not the next version; only an undecided bundle may go on to Seal.
func (a *AcceptanceState) Compare(id Identity) (Result, bool) {
	last, inForce := a.last()
	switch winner, kept := a.digestOf(id.Version); {
	case kept && winner == id.Digest:
		return Result{Outcome: OutcomeAccepted, Version: id.Version, Digest: id.Digest}, true
	case kept:
		result := a.refuse(id, OutcomeConflict, nil)
		result.Winner = winner
		return result, true
	case id.Version <= last:
		return a.refuse(id, OutcomeTooOld, nil), true
	case id.Version != last+1:
		return a.refuse(id, OutcomeGap, nil), true
	case id.Parent != inForce:
		return a.refuse(id, OutcomeWrongParent, nil), true
	}
	return Result{}, false
}

// Seal verifies the sign-offs of a bundle that Compare left undecided. The
// first bundle vouches for itself: it must be signed by its own operators, so
// that all replicas judge alike; Precheck holds it against the settings.
func (a *AcceptanceState) CheckSignOffs(id Identity, s *Signed) Result {
	trust := s.Bundle.NextTrust()
	if a != nil {
		trust = a.Trust
	}
	if err := Verify(id, s.Signatures, trust); err != nil {
		return a.refuse(id, OutcomeUnsigned, Problems{{Path: "signatures", Message: err.Error()}})
	}
	return Result{Outcome: OutcomeAccepted, Version: id.Version, Digest: id.Digest}
}

// refuse makes the answer to a bundle that is not accepted.
func (a *AcceptanceState) refuse(id Identity, outcome Outcome, problems Problems) Result {
	version, digest := a.last()
	return Result{
		Outcome: outcome, Version: id.Version, Digest: id.Digest,
		InForceVersion: version, InForceDigest: digest, Problems: problems,
	}
}

// last is the version in force.
func (a *AcceptanceState) last() (uint64, Digest) {
	if a == nil {
		return 0, ""
	}
	return a.History.Last()
}

// digestOf finds what was accepted under a version.
func (a *AcceptanceState) digestOf(version uint64) (Digest, bool) {
	if a == nil {
		return "", false
	}
	return a.History.Digest(version)
}
