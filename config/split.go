package config

import "fmt"

// maxWorkspacesPerPart limits the workspaces in one stored document, and so the
// data that is written and transferred when one workspace changes.
const maxWorkspacesPerPart = 64

// Split returns the documents as which d is stored. A small document is not
// split; the parts of a large one are named NAME, NAME#1, NAME#2 and so on.
func (d *Document) Split() []Document {
	if len(d.Workspaces) <= maxWorkspacesPerPart {
		return []Document{*d}
	}
	parts := []Document{{Name: d.Name, Services: d.Services}}
	remaining := d.Workspaces
	for n := 1; len(remaining) > 0; n++ {
		part := remaining[:min(len(remaining), maxWorkspacesPerPart)]
		remaining = remaining[len(part):]
		parts = append(parts, Document{Name: fmt.Sprintf("%s#%d", d.Name, n), Workspaces: part})
	}
	return parts
}
