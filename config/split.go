package config

import "fmt"

// splitWorkspaces is the number of workspaces in one stored document. A change
// of one workspace writes and transfers a document of this size at most.
const splitWorkspaces = 64

// Split returns the parts under which a document is stored. A small document
// is its own only part.
func (d *Document) Split() []Document {
	if len(d.Workspaces) <= splitWorkspaces {
		return []Document{*d}
	}
	parts := []Document{{Name: d.Name, Services: d.Services}}
	rest := d.Workspaces
	for n := 1; len(rest) > 0; n++ {
		part := rest[:min(len(rest), splitWorkspaces)]
		rest = rest[len(part):]
		parts = append(parts, Document{Name: fmt.Sprintf("%s#%d", d.Name, n), Workspaces: part})
	}
	return parts
}
