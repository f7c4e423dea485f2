package catalogue

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// ChangeKind is the type of change to an entry or field.
type ChangeKind string

// Kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference between two catalogues.
type Change struct {
	// Entry is the key of the entry, empty for the revision.
	Entry string `json:"entry,omitempty"`
	// Field is the path within the entry, such as targets[rose-1].zone; empty for the whole entry.
	Field string     `json:"field,omitempty"`
	Kind  ChangeKind `json:"kind"`
	// Old and New are the values: string, number or true. A value is absent when the field has its zero value.
	Old any `json:"old,omitempty"`
	New any `json:"new,omitempty"`
}

// String returns the change as one human-readable line.
func (c Change) String() string {
	subject := strings.TrimSpace(c.Entry + " " + c.Field)
	switch {
	case c.Kind == Added && c.New == nil, c.Kind == Removed && c.Old == nil:
		return fmt.Sprintf("%s: %s", subject, c.Kind)
	case c.Kind == Added:
		return fmt.Sprintf("%s: %s %s", subject, c.Kind, formatValue(c.New))
	case c.Kind == Removed:
		return fmt.Sprintf("%s: %s %s", subject, c.Kind, formatValue(c.Old))
	}
	return fmt.Sprintf("%s: %s -> %s", subject, formatValue(c.Old), formatValue(c.New))
}

func formatValue(value any) string {
	encoded, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	return string(encoded)
}

// Diff returns the changes from old to new, sorted by entry and field. It is empty if and only if the versions
// are equal. A nil catalogue has no entries.
func Diff(old, new *Catalogue) []Change {
	var changes []Change
	before, after := old.Version().Revision, new.Version().Revision
	if before != after {
		changes = append(changes, Change{Field: "revision", Kind: Changed, Old: before, New: after})
	}
	oldEntries, newEntries := old.entriesByKey(), new.entriesByKey()
	for _, key := range unionOfKeys(oldEntries, newEntries) {
		changes = append(changes, diffEntry(key, oldEntries[key], newEntries[key])...)
	}
	return changes
}

func (c *Catalogue) entriesByKey() map[string][]byte {
	if c == nil {
		return nil
	}
	entries := make(map[string][]byte, len(c.entries))
	for _, entry := range c.entries {
		entries[entry.Key] = entry.Document
	}
	return entries
}

func unionOfKeys[V any](a, b map[string]V) []string {
	keys := slices.AppendSeq(slices.Collect(maps.Keys(a)), maps.Keys(b))
	slices.Sort(keys)
	return slices.Compact(keys)
}

func diffEntry(key string, old, new []byte) []Change {
	switch {
	case old == nil:
		return []Change{{Entry: key, Kind: Added}}
	case new == nil:
		return []Change{{Entry: key, Kind: Removed}}
	case bytes.Equal(old, new):
		return nil
	}
	oldFields, newFields := flattenDocument(old), flattenDocument(new)
	var changes []Change
	for _, field := range unionOfKeys(oldFields, newFields) {
		before, hadBefore := oldFields[field]
		after, hasAfter := newFields[field]
		if hadBefore == hasAfter && before == after {
			continue
		}
		changes = append(changes, fieldChange(key, field, before, after))
	}
	return changes
}

func fieldChange(entry, field string, before, after any) Change {
	change := Change{Entry: entry, Field: field, Kind: Changed, Old: before, New: after}
	switch {
	case before == nil:
		change.Kind = Added
	case after == nil:
		change.Kind = Removed
	}
	return change
}

// flattenDocument flattens a canonical document into its scalar fields, keyed by path.
func flattenDocument(document []byte) map[string]any {
	var content any
	if err := json.Unmarshal(document, &content); err != nil {
		panic("catalogue: canonical document can't be decoded: " + err.Error())
	}
	fields := map[string]any{}
	flatten("", content, fields)
	return fields
}

func flatten(path string, content any, fields map[string]any) {
	switch value := content.(type) {
	case map[string]any:
		for name, field := range value {
			flatten(join(path, name), field, fields)
		}
	case []any:
		for _, item := range value {
			flatten(fmt.Sprintf("%s[%s]", path, itemID(item)), item, fields)
		}
	default:
		fields[path] = value
	}
}

// itemID identifies a list item by its content, so that an insertion does not change other items' paths.
func itemID(item any) string {
	value, ok := item.(map[string]any)
	if !ok {
		return fmt.Sprint(item)
	}
	if name, ok := value["name"]; ok {
		return fmt.Sprint(name)
	}
	return fmt.Sprintf("%v %v", value["method"], value["path"])
}
