package config

import "fmt"

// maxWorkspacesPerPart limits the workspaces in one stored document, and so the
// data that is written and transferred when one workspace changes.
const maxWorkspacesPerPart = 64

// Split divides d into the documents that are stored. A small document is not
// divided. Of a large one, NAME holds the services, and NAME#1, NAME#2 and so on
// hold the workspaces.
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
