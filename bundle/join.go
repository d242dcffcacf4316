package bundle

import (
	"strings"

	"github.com/juju/errors"
)

// ErrDamaged marks sections that don't make up the manifest's bundle: one is
// absent, its bytes have another digest, or it holds what belongs elsewhere.
const ErrDamaged = errors.ConstError("bundle sections are damaged")

// damaged makes an error one of ErrDamaged.
func damaged(err error) error {
	return errors.Annotate(errors.WithType(err, ErrDamaged), string(ErrDamaged))
}

// Join puts a bundle together and verifies each section by its digest. The
// caller compares the manifest's own digest with the one it asked for. The
// error wraps ErrDamaged.
func Join(m Manifest, sections map[Digest][]byte) (*Bundle, error) {
	j := joiner{bundle: new(Bundle), sections: sections}
	for _, ref := range m.Sections {
		if err := j.take(ref); err != nil {
			return nil, damaged(errors.Annotatef(err, "section %q", ref.Name))
		}
	}
	j.bundle.Workspaces = sorted(j.bundle.Workspaces, workspaceID)
	if err := sameManifest(m, j.bundle); err != nil {
		return nil, damaged(err)
	}
	return j.bundle, nil
}

// joiner fills a bundle.
type joiner struct {
	bundle   *Bundle
	sections map[Digest][]byte
}

// take adds one section.
func (j *joiner) take(ref SectionRef) error {
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
		return j.head(data)
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

// head takes all that is not a list.
func (j *joiner) head(data []byte) error {
	var h head
	if err := sectionReader.Unmarshal(data, &h); err != nil {
		return err
	}
	h.into(j.bundle)
	return nil
}

// appendSection decodes a list and appends it.
func appendSection[T any](list *[]T, data []byte) error {
	var more []T
	if err := sectionReader.Unmarshal(data, &more); err != nil {
		return err
	}
	*list = append(*list, more...)
	return nil
}

// sameManifest splits the result again. A section under a wrong name, twice or
// left out would otherwise give a bundle with another digest than the
// manifest's, and instances would disagree on what is in force.
func sameManifest(m Manifest, b *Bundle) error {
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
