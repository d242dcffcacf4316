package bundle

import (
	"bytes"

	"github.com/juju/errors"
)

// Delta is what turns one bundle into another, item by item. For a change of
// one workspace or target it is a few hundred bytes, where the section that
// holds it is tens of kilobytes: at 2,500 changes a day that decides whether
// the log fits a slow link.
type Delta struct {
	// From and To are the digests of both bundles.
	From Digest `json:"from"`
	To   Digest `json:"to"`
	// Head replaces all that is not a list.
	Head       head                 `json:"head"`
	Operators  itemDelta[Operator]  `json:"operators,omitzero"`
	Regions    itemDelta[Region]    `json:"regions,omitzero"`
	Models     itemDelta[Model]     `json:"models,omitzero"`
	Services   itemDelta[Service]   `json:"services,omitzero"`
	Targets    itemDelta[Target]    `json:"targets,omitzero"`
	Workspaces itemDelta[Workspace] `json:"workspaces,omitzero"`
}

// itemDelta changes one list of items that are known by their ids.
type itemDelta[T any] struct {
	// Put replaces the item with the same id, or adds it.
	Put []T `json:"put,omitempty"`
	// Remove lists ids.
	Remove []string `json:"remove,omitempty"`
}

// IsZero leaves an unchanged list out of the encoding.
func (d itemDelta[T]) IsZero() bool { return len(d.Put) == 0 && len(d.Remove) == 0 }

// DeltaOf compares two bundles that have passed their check.
func DeltaOf(from, to *Bundle) (*Delta, error) {
	before, err := from.Digest()
	if err != nil {
		return nil, err
	}
	after, err := to.Digest()
	if err != nil {
		return nil, err
	}
	d := &Delta{From: before, To: after, Head: headOf(to)}
	d.Operators = compareItems(from.Operators, to.Operators, operatorID)
	d.Regions = compareItems(from.Regions, to.Regions, regionID)
	d.Models = compareItems(from.Models, to.Models, modelID)
	d.Services = compareItems(from.Services, to.Services, serviceID)
	d.Targets = compareItems(from.Targets, to.Targets, targetID)
	d.Workspaces = compareItems(from.Workspaces, to.Workspaces, workspaceID)
	return d, nil
}

// Apply makes the bundle that the delta leads to; from stays as it is. The
// result is verified by its digest, so that a delta on the wrong base is an
// error and never a bundle that nobody signed. The error wraps ErrDamaged.
func (d *Delta) Apply(from *Bundle) (*Bundle, error) {
	b := &Bundle{
		Operators:  applyItems(from.Operators, d.Operators, operatorID),
		Regions:    applyItems(from.Regions, d.Regions, regionID),
		Models:     applyItems(from.Models, d.Models, modelID),
		Services:   applyItems(from.Services, d.Services, serviceID),
		Targets:    applyItems(from.Targets, d.Targets, targetID),
		Workspaces: applyItems(from.Workspaces, d.Workspaces, workspaceID),
	}
	d.Head.into(b)
	got, err := b.Digest()
	if err != nil {
		return nil, damaged(err)
	}
	if got != d.To {
		return nil, damaged(errors.Errorf("the delta leads to %s, not %s", got, d.To))
	}
	return b, nil
}

// MarshalBinary is the delta in canonical CBOR.
func (d *Delta) MarshalBinary() ([]byte, error) {
	return canonical.Marshal((*plainDelta)(d))
}

// UnmarshalBinary reads what MarshalBinary wrote; Apply verifies the content.
func (d *Delta) UnmarshalBinary(data []byte) error {
	var fresh plainDelta
	if err := sectionReader.Unmarshal(data, &fresh); err != nil {
		return damaged(err)
	}
	*d = Delta(fresh)
	return nil
}

// plainDelta has no methods, so that the codec doesn't call them again.
type plainDelta Delta

// compareItems finds what was put and removed, in the order of ids.
func compareItems[T any](from, to []T, id func(T) string) itemDelta[T] {
	var d itemDelta[T]
	before := byID(from, id)
	after := byID(to, id)
	for _, item := range sorted(to, id) {
		old, known := before[id(item)]
		if !known || !sameEncoding(*old, item) {
			d.Put = append(d.Put, item)
		}
	}
	for _, item := range sorted(from, id) {
		if after[id(item)] == nil {
			d.Remove = append(d.Remove, id(item))
		}
	}
	return d
}

// sameEncoding compares as the digest does. Items that can't be encoded differ.
func sameEncoding(x, y any) bool {
	left, err := canonical.Marshal(x)
	if err != nil {
		return false
	}
	right, err := canonical.Marshal(y)
	return err == nil && bytes.Equal(left, right)
}

// applyItems makes the changed list in the order of ids.
func applyItems[T any](from []T, d itemDelta[T], id func(T) string) []T {
	if d.IsZero() {
		return from
	}
	gone := make(map[string]bool, len(d.Put)+len(d.Remove))
	for _, item := range d.Put {
		gone[id(item)] = true
	}
	for _, name := range d.Remove {
		gone[name] = true
	}
	list := make([]T, 0, len(from)+len(d.Put))
	for _, item := range from {
		if !gone[id(item)] {
			list = append(list, item)
		}
	}
	return sorted(append(list, d.Put...), id)
}
