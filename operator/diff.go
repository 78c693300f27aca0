package operator

import (
	"encoding/json"
	"fmt"
	"sort"

	"github.com/quetzalglade/quetzalglade/config"
)

// ChangeKind is the kind of a change to a declared item.
type ChangeKind string

// The kinds of change.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference between two configurations.
type Change struct {
	Kind ChangeKind `json:"kind"`
	// Item is "service" or "workspace".
	Item string `json:"item"`
	Name string `json:"name"`
	// Fields lists the changed fields in the form "field: old -> new".
	Fields []string `json:"fields,omitempty"`
}

// String formats the change as a line with one indented line for each changed
// field.
func (c Change) String() string {
	sign := map[ChangeKind]string{Added: "+", Removed: "-", Changed: "~"}[c.Kind]
	line := fmt.Sprintf("%s %s %s", sign, c.Item, c.Name)
	for _, field := range c.Fields {
		line += "\n    " + field
	}
	return line
}

// Diff returns the changes that lead from old to updated, sorted by item and
// name.
func Diff(old, updated []config.Document) []Change {
	oldItems, newItems := itemFields(old), itemFields(updated)
	var changes []Change
	for id, oldFields := range oldItems {
		newFields, ok := newItems[id]
		if !ok {
			changes = append(changes, Change{Kind: Removed, Item: id.item, Name: id.name})
			continue
		}
		if changed := changedFields(oldFields, newFields); len(changed) > 0 {
			changes = append(changes, Change{Kind: Changed, Item: id.item, Name: id.name, Fields: changed})
		}
	}
	for id := range newItems {
		if _, ok := oldItems[id]; !ok {
			changes = append(changes, Change{Kind: Added, Item: id.item, Name: id.name})
		}
	}
	sort.Slice(changes, func(i, j int) bool {
		if changes[i].Item != changes[j].Item {
			return changes[i].Item < changes[j].Item
		}
		return changes[i].Name < changes[j].Name
	})
	return changes
}

// itemID identifies a declared item by type ("service" or "workspace") and name.
type itemID struct{ item, name string }

// itemFields returns the JSON fields of each declared item.
func itemFields(docs []config.Document) map[itemID]map[string]json.RawMessage {
	items := map[itemID]map[string]json.RawMessage{}
	for _, d := range docs {
		for i := range d.Services {
			items[itemID{"service", d.Services[i].Name}] = jsonFields(d.Services[i])
		}
		for i := range d.Workspaces {
			items[itemID{"workspace", d.Workspaces[i].Name}] = jsonFields(d.Workspaces[i])
		}
	}
	return items
}

// jsonFields returns the JSON fields of v. The types of its callers always
// encode to an object.
func jsonFields(v any) map[string]json.RawMessage {
	data, err := json.Marshal(v)
	if err != nil {
		return nil
	}
	var fields map[string]json.RawMessage
	if json.Unmarshal(data, &fields) != nil {
		return nil
	}
	return fields
}

// absentField is printed for a field that an item does not have.
const absentField = "(none)"

// changedFields returns the fields that differ, in the form of Change.Fields.
func changedFields(oldFields, newFields map[string]json.RawMessage) []string {
	names := map[string]bool{}
	for name := range oldFields {
		names[name] = true
	}
	for name := range newFields {
		names[name] = true
	}
	var changed []string
	for name := range names {
		oldText, newText := jsonText(oldFields[name]), jsonText(newFields[name])
		if oldText != newText {
			changed = append(changed, fmt.Sprintf("%s: %s -> %s", name, oldText, newText))
		}
	}
	sort.Strings(changed)
	return changed
}

// jsonText returns the JSON text of a field.
func jsonText(raw json.RawMessage) string {
	if raw == nil {
		return absentField
	}
	return string(raw)
}
