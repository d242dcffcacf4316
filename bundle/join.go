package bundle

import (
	"strings"

	"github.com/juju/errors"
)

// ErrDamaged marks sections that don't make up the manifest's bundle (one is
// missing, has another digest, or contains items of another section) and data that
// can't be decoded.
const ErrDamaged = errors.ConstError("bundle sections are damaged")

// damaged wraps an error so that it is an ErrDamaged.
func damaged(err error) error {
	return errors.Annotate(errors.WithType(err, ErrDamaged), string(ErrDamaged))
}

// Join assembles a bundle and verifies each section by its digest. The caller must
// compare the manifest's own digest with the one it requested. The error wraps
// ErrDamaged.
func Join(m Manifest, sections map[Digest][]byte) (*Bundle, error) {
	j := joiner{bundle: new(Bundle), sections: sections}
	for _, ref := range m.Sections {
		if err := j.addSection(ref); err != nil {
			return nil, damaged(errors.Annotatef(err, "section %q", ref.Name))
		}
	}
	j.bundle.Workspaces = sortedByID(j.bundle.Workspaces, workspaceID)
	if err := verifyManifest(m, j.bundle); err != nil {
		return nil, damaged(err)
	}
	return j.bundle, nil
}

// joiner assembles a bundle from sections.
type joiner struct {
	bundle   *Bundle
	sections map[Digest][]byte
}

// addSection verifies, decodes and adds one section.
func (j *joiner) addSection(ref SectionRef) error {
	data, here := j.sections[ref.Digest]
	if !here {
		return errors.Errorf("%s is absent", ref.Digest)
	}
	if DigestOf(data) != ref.Digest {
		return errors.Errorf("the bytes are not those of %s", ref.Digest)
	}
	b := j.bundle
	switch {
	case ref.Name == sectionHead:
		return j.addHead(data)
	case ref.Name == sectionOperators:
		return appendSection(&b.Operators, data)
	case ref.Name == sectionRegions:
		return appendSection(&b.Regions, data)
	case ref.Name == sectionModels:
		return appendSection(&b.Models, data)
	case ref.Name == sectionServices:
		return appendSection(&b.Services, data)
	case strings.HasPrefix(ref.Name, sectionTargets):
		return appendSection(&b.Targets, data)
	case strings.HasPrefix(ref.Name, sectionWorkspaces):
		return appendSection(&b.Workspaces, data)
	default:
		return errors.New("unknown name")
	}
}

// addHead decodes and sets the fields that are not lists.
func (j *joiner) addHead(data []byte) error {
	var h head
	if err := sectionReader.Unmarshal(data, &h); err != nil {
		return err
	}
	h.applyTo(j.bundle)
	return nil
}

// appendSection decodes a list and appends its items.
func appendSection[T any](list *[]T, data []byte) error {
	var more []T
	if err := sectionReader.Unmarshal(data, &more); err != nil {
		return err
	}
	*list = append(*list, more...)
	return nil
}

// verifyManifest splits the result again and compares it with the manifest. A
// section that is misnamed, repeated or left out would otherwise result in a bundle
// with another digest, and instances would disagree on what is in force.
func verifyManifest(m Manifest, b *Bundle) error {
	again, _, err := Split(b)
	if err != nil {
		return err
	}
	want, err := m.Digest()
	if err != nil {
		return err
	}
	got, err := again.Digest()
	if err != nil {
		return err
	}
	if got != want {
		return errors.Errorf("the sections make up %s, not %s", got, want)
	}
	return nil
}
