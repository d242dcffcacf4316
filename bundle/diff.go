package bundle

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/gullhaven/gullhaven/bundle/strict"
)

// ChangeKind says what happened to a field or an item.
type ChangeKind string

const (
	// ChangeAdded items are in the second bundle only.
	ChangeAdded ChangeKind = "added"
	// ChangeRemoved items are in the first bundle only.
	ChangeRemoved ChangeKind = "removed"
	// ChangeSet fields have another value in the second bundle.
	ChangeSet ChangeKind = "changed"
)

// Change is one difference, for people.
type Change struct {
	// Path such as `targets["briefing-1"].state`; items stand under their ids.
	Path string     `json:"path"`
	Kind ChangeKind `json:"kind"`
	// Before and After are JSON; empty where there is none.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String is one line.
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

// Diff lists all differences of two bundles in the order of the fields.
func Diff(a, b *Bundle) []Change {
	var d differ
	d.value("", reflect.ValueOf(*a), reflect.ValueOf(*b))
	return d.changes
}

// differ collects changes.
type differ struct {
	changes []Change
}

// value compares two values of one type.
func (d *differ) value(path string, a, b reflect.Value) {
	switch {
	case a.Kind() == reflect.Struct:
		for i := range a.NumField() {
			d.value(strict.Field(path, jsonName(a.Type().Field(i))), a.Field(i), b.Field(i))
		}
	case a.Kind() == reflect.Slice && a.Type().Elem().Kind() == reflect.Struct:
		d.items(path, a, b)
	case show(a) != show(b):
		d.changes = append(d.changes, Change{Path: path, Kind: ChangeSet, Before: show(a), After: show(b)})
	}
}

// items compares two lists whose items are known by their first field.
func (d *differ) items(path string, a, b reflect.Value) {
	before, after := indexed(a), indexed(b)
	for _, id := range ids(a, b) {
		at := fmt.Sprintf("%s[%q]", path, id)
		old, had := before[id]
		item, has := after[id]
		switch {
		case !had:
			d.changes = append(d.changes, Change{Path: at, Kind: ChangeAdded, After: show(item)})
		case !has:
			d.changes = append(d.changes, Change{Path: at, Kind: ChangeRemoved, Before: show(old)})
		default:
			d.value(at, old, item)
		}
	}
}

// indexed finds items by id.
func indexed(list reflect.Value) map[string]reflect.Value {
	index := make(map[string]reflect.Value, list.Len())
	for i := range list.Len() {
		index[itemID(list.Index(i))] = list.Index(i)
	}
	return index
}

// ids of both lists, sorted, each once.
func ids(lists ...reflect.Value) []string {
	var all []string
	for _, list := range lists {
		for i := range list.Len() {
			all = append(all, itemID(list.Index(i)))
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// itemID is the first field: the id, or the region of a link.
func itemID(item reflect.Value) string { return item.Field(0).String() }

// jsonName is the name in the field's tag.
func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

// show is the JSON form; an absent list is an empty one.
func show(v reflect.Value) string {
	if v.Kind() == reflect.Slice && v.Len() == 0 {
		return "[]"
	}
	data, err := json.Marshal(v.Interface())
	if err != nil {
		return fmt.Sprint(v.Interface())
	}
	return string(data)
}
