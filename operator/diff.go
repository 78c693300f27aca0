package operator

import (
	"encoding/json"
	"fmt"
	"sort"

	"github.com/quetzalglade/quetzalglade/config"
)

// ChangeKind tells what happens to a declared item.
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
	// Fields lists what changes, as "field: old -> new".
	Fields []string `json:"fields,omitempty"`
}

// String formats the change as one line.
func (c Change) String() string {
	sign := map[ChangeKind]string{Added: "+", Removed: "-", Changed: "~"}[c.Kind]
	line := fmt.Sprintf("%s %s %s", sign, c.Item, c.Name)
	for _, f := range c.Fields {
		line += "\n    " + f
	}
	return line
}

// Diff returns the differences from old to new, sorted by item and name.
func Diff(old, updated []config.Document) []Change {
	before, after := fields(old), fields(updated)
	var out []Change
	for id, was := range before {
		is, ok := after[id]
		if !ok {
			out = append(out, Change{Kind: Removed, Item: id.item, Name: id.name})
			continue
		}
		if changed := compare(was, is); len(changed) > 0 {
			out = append(out, Change{Kind: Changed, Item: id.item, Name: id.name, Fields: changed})
		}
	}
	for id := range after {
		if _, ok := before[id]; !ok {
			out = append(out, Change{Kind: Added, Item: id.item, Name: id.name})
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Item != out[j].Item {
			return out[i].Item < out[j].Item
		}
		return out[i].Name < out[j].Name
	})
	return out
}

type itemID struct{ item, name string }

// fields returns each declared item as its JSON fields.
func fields(docs []config.Document) map[itemID]map[string]json.RawMessage {
	out := map[itemID]map[string]json.RawMessage{}
	for _, d := range docs {
		for i := range d.Services {
			out[itemID{"service", d.Services[i].Name}] = object(d.Services[i])
		}
		for i := range d.Workspaces {
			out[itemID{"workspace", d.Workspaces[i].Name}] = object(d.Workspaces[i])
		}
	}
	return out
}

// object returns a value's JSON fields. The types it is used with always
// encode to an object.
func object(v any) map[string]json.RawMessage {
	data, err := json.Marshal(v)
	if err != nil {
		return nil
	}
	var out map[string]json.RawMessage
	if json.Unmarshal(data, &out) != nil {
		return nil
	}
	return out
}

const absent = "(none)"

func compare(was, is map[string]json.RawMessage) []string {
	names := map[string]bool{}
	for n := range was {
		names[n] = true
	}
	for n := range is {
		names[n] = true
	}
	var out []string
	for n := range names {
		a, b := text(was[n]), text(is[n])
		if a != b {
			out = append(out, fmt.Sprintf("%s: %s -> %s", n, a, b))
		}
	}
	sort.Strings(out)
	return out
}

func text(raw json.RawMessage) string {
	if raw == nil {
		return absent
	}
	return string(raw)
}
