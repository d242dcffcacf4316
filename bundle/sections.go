package bundle

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

// WorkspaceBuckets is the number of sections that the workspaces are distributed
// over by a hash of the id. With 10,000 workspaces a bucket holds about 156.
const WorkspaceBuckets = 64

// Names of sections. Those of targets and workspaces are prefixes: there is a
// section for each region or bucket.
const (
	sectionHead       = "head"
	sectionOperators  = "operators"
	sectionRegions    = "regions"
	sectionModels     = "models"
	sectionServices   = "services"
	sectionTargets    = "targets/"
	sectionWorkspaces = "workspaces/"
)

// Manifest lists the sections of a bundle, sorted by name. Its digest is the
// digest of the bundle.
type Manifest struct {
	Sections []SectionRef `json:"sections"`
}

// SectionRef identifies one section by name and content.
type SectionRef struct {
	Name   string `json:"name"`
	Digest Digest `json:"digest"`
}

// head is the section of all fields that are not lists.
type head struct {
	Version  uint64 `json:"version"`
	Parent   Digest `json:"parent"`
	Note     string `json:"note"`
	SignOffs int    `json:"sign_offs"`
	Rules    Rules  `json:"rules"`
}

// headOf returns the head of a bundle.
func headOf(b *Bundle) head {
	return head{Version: b.Version, Parent: b.Parent, Note: b.Note, SignOffs: b.SignOffs, Rules: b.Rules}
}

// applyTo sets the fields of the head in a bundle.
func (h head) applyTo(b *Bundle) {
	b.Version, b.Parent, b.Note, b.SignOffs, b.Rules = h.Version, h.Parent, h.Note, h.SignOffs, h.Rules
}

// canonicalMode encodes deterministic CBOR (RFC 8949, section 4.2). A nil and an
// empty list have the same encoding.
var canonicalMode = newCanonical()

func newCanonical() cbor.EncMode {
	options := cbor.CoreDetEncOptions()
	options.NilContainers = cbor.NilContainerAsEmpty
	mode, err := options.EncMode()
	if err != nil {
		panic(err) // The options are constants of this package.
	}
	return mode
}

// sectionReader refuses encodings that canonicalMode can't have written.
var sectionReader = newSectionReader()

func newSectionReader() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		IndefLength:       cbor.IndefLengthForbidden,
		MaxArrayElements:  1 << 20,
	}.DecMode()
	if err != nil {
		panic(err) // The options are constants of this package.
	}
	return mode
}

// DigestOf returns the digest of data.
func DigestOf(data []byte) Digest {
	sum := sha256.Sum256(data)
	return Digest(hex.EncodeToString(sum[:]))
}

// MarshalBinary encodes the manifest in canonical CBOR, as it is exchanged and
// digested.
func (m Manifest) MarshalBinary() ([]byte, error) {
	return canonicalMode.Marshal(plainManifest(m))
}

// UnmarshalBinary decodes what MarshalBinary returned; Join verifies the content.
// The error wraps ErrDamaged.
func (m *Manifest) UnmarshalBinary(data []byte) error {
	var fresh plainManifest
	if err := sectionReader.Unmarshal(data, &fresh); err != nil {
		return damaged(err)
	}
	*m = Manifest(fresh)
	return nil
}

// plainManifest has no methods, so that the codec doesn't call them recursively.
type plainManifest Manifest

// Digest returns the digest of the manifest's encoding.
func (m Manifest) Digest() (Digest, error) {
	data, err := m.MarshalBinary()
	if err != nil {
		return "", err
	}
	return DigestOf(data), nil
}

// Digest returns the digest of the bundle, which covers every field. The order
// within operators, regions, models, services, targets and workspaces does not
// matter, as their items are identified by id.
func (b *Bundle) Digest() (Digest, error) {
	manifest, _, err := Split(b)
	if err != nil {
		return "", err
	}
	return manifest.Digest()
}

// Split splits a bundle into sections by digest, so that two instances exchange
// only those that differ. The manifest lists them; Join is the inverse.
func Split(b *Bundle) (Manifest, map[Digest][]byte, error) {
	s := splitter{sections: map[Digest][]byte{}}
	s.put(sectionHead, headOf(b))
	s.put(sectionOperators, sortedByID(b.Operators, operatorID))
	s.put(sectionRegions, sortedByID(b.Regions, regionID))
	s.put(sectionModels, sortedByID(b.Models, modelID))
	s.put(sectionServices, sortedByID(b.Services, serviceID))
	for region, targets := range groupBySection(b.Targets, targetSection) {
		s.put(region, sortedByID(targets, targetID))
	}
	for bucket, workspaces := range groupBySection(b.Workspaces, workspaceSection) {
		s.put(bucket, sortedByID(workspaces, workspaceID))
	}
	slices.SortFunc(s.manifest.Sections, func(x, y SectionRef) int { return cmp.Compare(x.Name, y.Name) })
	return s.manifest, s.sections, s.err
}

// Missing returns the digests of the manifest's sections for which have returns
// false, each once.
func Missing(m Manifest, have func(Digest) bool) []Digest {
	var missing []Digest
	for _, ref := range m.Sections {
		if !have(ref.Digest) && !slices.Contains(missing, ref.Digest) {
			missing = append(missing, ref.Digest)
		}
	}
	return missing
}

// splitter collects the sections of a bundle and the last error.
type splitter struct {
	manifest Manifest
	sections map[Digest][]byte
	err      error
}

// put encodes and adds one section.
func (s *splitter) put(name string, content any) {
	data, err := canonicalMode.Marshal(content)
	if err != nil {
		s.err = errors.Annotatef(err, "section %s", name)
		return
	}
	digest := DigestOf(data)
	s.sections[digest] = data
	s.manifest.Sections = append(s.manifest.Sections, SectionRef{Name: name, Digest: digest})
}

// The ids of the items in the lists of a bundle.
func operatorID(o Operator) string   { return o.ID }
func regionID(r Region) string       { return r.ID }
func modelID(m Model) string         { return m.ID }
func serviceID(s Service) string     { return s.ID }
func targetID(t Target) string       { return t.ID }
func workspaceID(w Workspace) string { return w.ID }

// targetSection returns the name of the section of a target.
func targetSection(t Target) string { return sectionTargets + t.Region }

// workspaceSection returns the name of the section of a workspace.
func workspaceSection(w Workspace) string {
	sum := sha256.Sum256([]byte(w.ID))
	return fmt.Sprintf("%s%02x", sectionWorkspaces, sum[0]%WorkspaceBuckets)
}

// sortedByID returns a sorted copy of a list.
func sortedByID[T any](list []T, id func(T) string) []T {
	list = slices.Clone(list)
	slices.SortStableFunc(list, func(x, y T) int { return cmp.Compare(id(x), id(y)) })
	return list
}

// groupBySection groups the items of a list by the name of their section.
func groupBySection[T any](list []T, section func(T) string) map[string][]T {
	groups := map[string][]T{}
	for _, item := range list {
		name := section(item)
		groups[name] = append(groups[name], item)
	}
	return groups
}
