package bundle

import (
	"fmt"
)

// Outcome is the kind of a Result.
type Outcome string

const (
	// OutcomeAccepted bundles are, or were, in force under their version.
	OutcomeAccepted Outcome = "accepted"
	// OutcomeConflict bundles have the version of an accepted bundle with other
	// content.
	OutcomeConflict Outcome = "conflict"
	// OutcomeGap bundles skip a version.
	OutcomeGap Outcome = "gap"
	// OutcomeWrongParent bundles have another parent than the bundle in force.
	OutcomeWrongParent Outcome = "wrong_parent"
	// OutcomeTooOld bundles have a version whose digest is no longer kept.
	OutcomeTooOld Outcome = "too_old"
	// OutcomeUnsigned bundles lack valid sign-offs.
	OutcomeUnsigned Outcome = "unsigned"
	// OutcomeInvalid bundles fail Check or can't be decoded.
	OutcomeInvalid Outcome = "invalid"
)

// Result is the answer to a bundle that was proposed. For an accepted bundle it
// depends only on its identity, so that a resend at any later time, to any
// instance, gets the same bytes.
type Result struct {
	Outcome Outcome `json:"outcome"`
	// Version and Digest of the proposed bundle.
	Version uint64 `json:"version"`
	Digest  Digest `json:"digest"`
	// Winner is the accepted digest of Version; set for a conflict.
	Winner Digest `json:"winner,omitempty"`
	// InForceVersion and InForceDigest were in force when the bundle was refused.
	InForceVersion uint64 `json:"in_force_version,omitempty"`
	InForceDigest  Digest `json:"in_force_digest,omitempty"`
	// Problems say why a bundle is invalid or unsigned.
	Problems Problems `json:"problems,omitempty"`
}

// Accepted reports whether the bundle is, or was, in force.
func (r Result) Accepted() bool { return r.Outcome == OutcomeAccepted }

// String describes the result, with the reason of a refusal.
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

// AcceptanceState is what acceptance depends on: the versions accepted so far and
// the trust of the last one. It is nil before the first.
type AcceptanceState struct {
	// Trust says whose sign-offs the next bundle needs.
	Trust   Trust
	History History
}

// Accept decides whether a bundle is accepted: it compares version and parent, runs
// Check, and verifies the sign-offs. It has no side effects; the caller records an
// accepted bundle. The error is that of encoding the bundle.
//
// Without this rule two operators could propose different bundles under one
// version, both would be accepted, and regions would differ for good.
func Accept(inForce *AcceptanceState, s *Signed) (Result, error) {
	id, err := s.Bundle.Identity()
	if err != nil {
		return Result{}, err
	}
	// Version 0 was never accepted, but Compare would return OutcomeTooOld for it.
	if result, decided := inForce.Compare(id); decided && id.Version != 0 {
		return result, nil
	}
	if problems := Check(&s.Bundle); len(problems) > 0 {
		return inForce.refuse(id, OutcomeInvalid, problems), nil
	}
	return inForce.CheckSignOffs(id, s), nil
}

// Compare compares an identity with the history and the bundle in force. It
// returns true if the result is final: for resends and for all but the next
// version. Otherwise the caller goes on with CheckSignOffs.
func (a *AcceptanceState) Compare(id Identity) (Result, bool) {
	last, inForce := a.last()
	switch winner, kept := a.acceptedDigest(id.Version); {
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

// CheckSignOffs verifies the sign-offs of a bundle for which Compare returned
// false. The first bundle must be signed by its own operators, so that all replicas
// get the same result; acceptance.Machine.Precheck also compares it with the
// settings.
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

// refuse makes the result for a bundle that is not accepted.
func (a *AcceptanceState) refuse(id Identity, outcome Outcome, problems Problems) Result {
	version, digest := a.last()
	return Result{
		Outcome: outcome, Version: id.Version, Digest: id.Digest,
		InForceVersion: version, InForceDigest: digest, Problems: problems,
	}
}

// last returns version and digest of the bundle in force.
func (a *AcceptanceState) last() (uint64, Digest) {
	if a == nil {
		return 0, ""
	}
	return a.History.Last()
}

// acceptedDigest returns the accepted digest of a version, while it is kept.
func (a *AcceptanceState) acceptedDigest(version uint64) (Digest, bool) {
	if a == nil {
		return "", false
	}
	return a.History.Digest(version)
}
