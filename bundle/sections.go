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

// WorkspaceBuckets is how many sections the workspaces are spread over, by a
// hash of the id. With 10,000 workspaces a bucket holds about 156.
const WorkspaceBuckets = 64

// Names of sections; targets and workspaces have one for each region or bucket.
const (
	sectionHead       = "head"
	sectionOperators  = "operators"
	sectionRegions    = "regions"
	sectionModels     = "models"
	sectionServices   = "services"
	sectionTargets    = "targets/"
	sectionWorkspaces = "workspaces/"
)

// Manifest lists the sections of a bundle in the order of their names. Its
// digest is the digest of the bundle.
type Manifest struct {
	Sections []SectionRef `json:"sections"`
}

// SectionRef names one section by its content.
type SectionRef struct {
	Name   string `json:"name"`
	Digest Digest `json:"digest"`
}

// head is the section of all that is not a list.
type head struct {
	Version  uint64 `json:"version"`
	Parent   Digest `json:"parent"`
	Note     string `json:"note"`
	SignOffs int    `json:"sign_offs"`
	Rules    Rules  `json:"rules"`
}

// headOf takes the head of a bundle.
func headOf(b *Bundle) head {
	return head{Version: b.Version, Parent: b.Parent, Note: b.Note, SignOffs: b.SignOffs, Rules: b.Rules}
}

// into sets the head of a bundle.
func (h head) into(b *Bundle) {
	b.Version, b.Parent, b.Note, b.SignOffs, b.Rules = h.Version, h.Parent, h.Note, h.SignOffs, h.Rules
}

// canonical is deterministic CBOR (RFC 8949, section 4.2); an absent and an
// empty list encode alike.
var canonical = newCanonical()

func newCanonical() cbor.EncMode {
	options := cbor.CoreDetEncOptions()
	options.NilContainers = cbor.NilContainerAsEmpty
	mode, err := options.EncMode()
	if err != nil {
		panic(err) // The options are constants of this package.
	}
	return mode
}

// sectionReader refuses what the writer can't have written.
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

// SumOf is the digest of bytes.
func DigestOf(data []byte) Digest {
	sum := sha256.Sum256(data)
	return Digest(hex.EncodeToString(sum[:]))
}

// MarshalBinary is the manifest in canonical CBOR, as it is exchanged and
// summed.
func (m Manifest) MarshalBinary() ([]byte, error) {
	return canonical.Marshal(plainManifest(m))
}

// UnmarshalBinary reads what MarshalBinary wrote; Join verifies the content.
func (m *Manifest) UnmarshalBinary(data []byte) error {
	var fresh plainManifest
	if err := sectionReader.Unmarshal(data, &fresh); err != nil {
		return damaged(err)
	}
	*m = Manifest(fresh)
	return nil
}

// plainManifest has no methods, so that the codec doesn't call them again.
type plainManifest Manifest

// Digest is the digest of the manifest.
func (m Manifest) Digest() (Digest, error) {
	data, err := m.MarshalBinary()
	if err != nil {
		return "", err
	}
	return DigestOf(data), nil
}

// Digest is the identity of the bundle: it covers every field. The order of
// operators, regions, models, services, targets and workspaces among
// themselves does not count, as they are known by their ids.
func (b *Bundle) Digest() (Digest, error) {
	manifest, _, err := Split(b)
	if err != nil {
		return "", err
	}
	return manifest.Digest()
}

// Split cuts a bundle into sections that are addressed by their content, so
// that two instances exchange only those that differ.
func Split(b *Bundle) (Manifest, map[Digest][]byte, error) {
	s := splitter{sections: map[Digest][]byte{}}
	s.put(sectionHead, headOf(b))
	s.put(sectionOperators, sorted(b.Operators, operatorID))
	s.put(sectionRegions, sorted(b.Regions, regionID))
	s.put(sectionModels, sorted(b.Models, modelID))
	s.put(sectionServices, sorted(b.Services, serviceID))
	for region, targets := range grouped(b.Targets, targetSection) {
		s.put(region, sorted(targets, targetID))
	}
	for bucket, workspaces := range grouped(b.Workspaces, workspaceSection) {
		s.put(bucket, sorted(workspaces, workspaceID))
	}
	slices.SortFunc(s.manifest.Sections, func(x, y SectionRef) int { return cmp.Compare(x.Name, y.Name) })
	return s.manifest, s.sections, s.err
}

// Missing lists the sections of the manifest that the caller doesn't have.
func Missing(m Manifest, have func(Digest) bool) []Digest {
	var missing []Digest
	for _, ref := range m.Sections {
		if !have(ref.Digest) && !slices.Contains(missing, ref.Digest) {
			missing = append(missing, ref.Digest)
		}
	}
	return missing
}

// splitter collects sections.
type splitter struct {
	manifest Manifest
	sections map[Digest][]byte
	err      error
}

// put encodes one section.
func (s *splitter) put(name string, content any) {
	data, err := canonical.Marshal(content)
	if err != nil {
		s.err = errors.Annotatef(err, "section %s", name)
		return
	}
	digest := DigestOf(data)
	s.sections[digest] = data
	s.manifest.Sections = append(s.manifest.Sections, SectionRef{Name: name, Digest: digest})
}

// The ids by which the lists of a bundle are known.
func operatorID(o Operator) string   { return o.ID }
func regionID(r Region) string       { return r.ID }
func modelID(m Model) string         { return m.ID }
func serviceID(s Service) string     { return s.ID }
func targetID(t Target) string       { return t.ID }
func workspaceID(w Workspace) string { return w.ID }

// targetSection is the section that holds a target.
func targetSection(t Target) string { return sectionTargets + t.Region }

// workspaceSection is the section that holds a workspace.
func workspaceSection(w Workspace) string {
	sum := sha256.Sum256([]byte(w.ID))
	return fmt.Sprintf("%s%02x", sectionWorkspaces, sum[0]%WorkspaceBuckets)
}

// sorted is a copy in the order of ids.
func sorted[T any](list []T, id func(T) string) []T {
	list = slices.Clone(list)
	slices.SortStableFunc(list, func(x, y T) int { return cmp.Compare(id(x), id(y)) })
	return list
}

// grouped spreads a list over sections.
func grouped[T any](list []T, section func(T) string) map[string][]T {
	groups := map[string][]T{}
	for _, item := range list {
		name := section(item)
		groups[name] = append(groups[name], item)
	}
	return groups
}
