package bundle

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/gullhaven/gullhaven/bundle/strict"
)

// ChangeKind is the kind of a Change.
type ChangeKind string

const (
	// ChangeAdded items are in the second bundle only.
	ChangeAdded ChangeKind = "added"
	// ChangeRemoved items are in the first bundle only.
	ChangeRemoved ChangeKind = "removed"
	// ChangeSet fields have another value in the second bundle.
	ChangeSet ChangeKind = "changed"
)

// Change is one difference of two bundles, for display.
type Change struct {
	// Path such as `targets["briefing-1"].state`, with the ids of items.
	Path string     `json:"path"`
	Kind ChangeKind `json:"kind"`
	// Before and After are the values as JSON; empty if there is none.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String formats the change in one line.
func (c Change) String() string {
	switch c.Kind {
	case ChangeAdded:
		return fmt.Sprintf("+ %s = %s", c.Path, c.After)
	case ChangeRemoved:
		return fmt.Sprintf("- %s = %s", c.Path, c.Before)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Before, c.After)
	}
}

// Diff returns all differences of two bundles in the order of the fields.
func Diff(a, b *Bundle) []Change {
	var d differ
	d.value("", reflect.ValueOf(*a), reflect.ValueOf(*b))
	return d.changes
}

type differ struct {
	changes []Change
}

// value compares two values of the same type.
func (d *differ) value(path string, a, b reflect.Value) {
	switch {
	case a.Kind() == reflect.Struct:
		for i := range a.NumField() {
			d.value(strict.Field(path, jsonName(a.Type().Field(i))), a.Field(i), b.Field(i))
		}
	case a.Kind() == reflect.Slice && a.Type().Elem().Kind() == reflect.Struct:
		d.items(path, a, b)
	case jsonOf(a) != jsonOf(b):
		d.changes = append(d.changes, Change{Path: path, Kind: ChangeSet, Before: jsonOf(a), After: jsonOf(b)})
	}
}

// items compares two lists whose items are identified by their first field.
func (d *differ) items(path string, a, b reflect.Value) {
	before, after := indexByID(a), indexByID(b)
	for _, id := range allIDs(a, b) {
		at := fmt.Sprintf("%s[%q]", path, id)
		old, had := before[id]
		item, has := after[id]
		switch {
		case !had:
			d.changes = append(d.changes, Change{Path: at, Kind: ChangeAdded, After: jsonOf(item)})
		case !has:
			d.changes = append(d.changes, Change{Path: at, Kind: ChangeRemoved, Before: jsonOf(old)})
		default:
			d.value(at, old, item)
		}
	}
}

// indexByID indexes the items of a list by id.
func indexByID(list reflect.Value) map[string]reflect.Value {
	index := make(map[string]reflect.Value, list.Len())
	for i := range list.Len() {
		index[itemID(list.Index(i))] = list.Index(i)
	}
	return index
}

// allIDs returns the distinct ids of all lists, sorted.
func allIDs(lists ...reflect.Value) []string {
	var all []string
	for _, list := range lists {
		for i := range list.Len() {
			all = append(all, itemID(list.Index(i)))
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// itemID returns the first field: the id, or the region of a link.
func itemID(item reflect.Value) string { return item.Field(0).String() }

// jsonName returns the name in the field's tag.
func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

// jsonOf returns a value as JSON; a nil list is shown as an empty one.
func jsonOf(v reflect.Value) string {
	if v.Kind() == reflect.Slice && v.Len() == 0 {
		return "[]"
	}
	data, err := json.Marshal(v.Interface())
	if err != nil {
		return fmt.Sprint(v.Interface())
	}
	return string(data)
}
