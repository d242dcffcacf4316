package bundle

import (
	"bytes"

	"github.com/juju/errors"
)

// Delta is the difference of two bundles, item by item. For a change of one
// workspace or target it takes a few hundred bytes, whereas a section takes tens
// of kilobytes. At 2,500 changes a day the log needs this to fit a slow link.
type Delta struct {
	// From and To are the digests of the two bundles.
	From Digest `json:"from"`
	To   Digest `json:"to"`
	// Head replaces all fields that are not lists.
	Head       head                 `json:"head"`
	Operators  itemDelta[Operator]  `json:"operators,omitzero"`
	Regions    itemDelta[Region]    `json:"regions,omitzero"`
	Models     itemDelta[Model]     `json:"models,omitzero"`
	Services   itemDelta[Service]   `json:"services,omitzero"`
	Targets    itemDelta[Target]    `json:"targets,omitzero"`
	Workspaces itemDelta[Workspace] `json:"workspaces,omitzero"`
}

// itemDelta changes one list of items that are identified by id.
type itemDelta[T any] struct {
	// Put lists items to add, or to replace those with the same id.
	Put []T `json:"put,omitempty"`
	// Remove lists the ids of items to remove.
	Remove []string `json:"remove,omitempty"`
}

// IsZero reports whether the list is unchanged, so that the encoding omits it.
func (d itemDelta[T]) IsZero() bool { return len(d.Put) == 0 && len(d.Remove) == 0 }

// DeltaOf returns the delta that turns from into to. Both must have passed Check.
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

// Apply returns the bundle that the delta makes of from, which stays as it is. The
// result is verified by its digest, so that a delta on the wrong base is an error
// and never results in a bundle that was not signed. The error wraps ErrDamaged.
func (d *Delta) Apply(from *Bundle) (*Bundle, error) {
	b := &Bundle{
		Operators:  applyItems(from.Operators, d.Operators, operatorID),
		Regions:    applyItems(from.Regions, d.Regions, regionID),
		Models:     applyItems(from.Models, d.Models, modelID),
		Services:   applyItems(from.Services, d.Services, serviceID),
		Targets:    applyItems(from.Targets, d.Targets, targetID),
		Workspaces: applyItems(from.Workspaces, d.Workspaces, workspaceID),
	}
	d.Head.applyTo(b)
	got, err := b.Digest()
	if err != nil {
		return nil, damaged(err)
	}
	if got != d.To {
		return nil, damaged(errors.Errorf("the delta leads to %s, not %s", got, d.To))
	}
	return b, nil
}

// MarshalBinary encodes the delta in canonical CBOR.
func (d *Delta) MarshalBinary() ([]byte, error) {
	return canonicalMode.Marshal((*plainDelta)(d))
}

// UnmarshalBinary decodes what MarshalBinary returned; Apply verifies the content.
// The error wraps ErrDamaged.
func (d *Delta) UnmarshalBinary(data []byte) error {
	var fresh plainDelta
	if err := sectionReader.Unmarshal(data, &fresh); err != nil {
		return damaged(err)
	}
	*d = Delta(fresh)
	return nil
}

// plainDelta has no methods, so that the codec doesn't call them recursively.
type plainDelta Delta

// compareItems returns the items to put and remove, sorted by id.
func compareItems[T any](from, to []T, id func(T) string) itemDelta[T] {
	var d itemDelta[T]
	before := byID(from, id)
	after := byID(to, id)
	for _, item := range sortedByID(to, id) {
		old, known := before[id(item)]
		if !known || !equalEncoding(*old, item) {
			d.Put = append(d.Put, item)
		}
	}
	for _, item := range sortedByID(from, id) {
		if after[id(item)] == nil {
			d.Remove = append(d.Remove, id(item))
		}
	}
	return d
}

// equalEncoding compares canonical encodings, as the digest does. Items that can't
// be encoded differ.
func equalEncoding(x, y any) bool {
	left, err := canonicalMode.Marshal(x)
	if err != nil {
		return false
	}
	right, err := canonicalMode.Marshal(y)
	return err == nil && bytes.Equal(left, right)
}

// applyItems returns the changed list, sorted by id, or from if nothing changes.
func applyItems[T any](from []T, d itemDelta[T], id func(T) string) []T {
	if d.IsZero() {
		return from
	}
	replaced := make(map[string]bool, len(d.Put)+len(d.Remove))
	for _, item := range d.Put {
		replaced[id(item)] = true
	}
	for _, name := range d.Remove {
		replaced[name] = true
	}
	list := make([]T, 0, len(from)+len(d.Put))
	for _, item := range from {
		if !replaced[id(item)] {
			list = append(list, item)
		}
	}
	return sortedByID(append(list, d.Put...), id)
}
