package agent

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// generationTable holds generations by ID. It is safe for concurrent use.
type generationTable struct {
	mu   sync.Mutex
	byID map[string]*generation
}

func newGenerationTable() *generationTable { return &generationTable{byID: map[string]*generation{}} }

// put adds a generation. If the table already holds a generation with the same
// ID, put returns that one and adds nothing.
func (t *generationTable) put(g *generation) (existing *generation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if found, ok := t.byID[g.id]; ok {
		return found
	}
	t.byID[g.id] = g
	return nil
}

// get returns the generation with the ID if it belongs to the workspace, or nil.
func (t *generationTable) get(id, workspace string) *generation {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.byID[id]
	if g == nil || g.workspace != workspace {
		return nil
	}
	return g
}

// byAttempt returns the generation of an attempt, or nil.
func (t *generationTable) byAttempt(id string) *generation {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, g := range t.byID {
		if g.attemptID == id {
			return g
		}
	}
	return nil
}

// all returns all generations.
func (t *generationTable) all() []*generation {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Collect(maps.Values(t.byID))
}

// hasUndelivered reports whether any generation has not been delivered to its
// end.
func (t *generationTable) hasUndelivered() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, g := range t.byID {
		if !g.isDelivered() {
			return true
		}
	}
	return false
}

func (t *generationTable) remove(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byID, id)
}

// retain keeps an ended generation for late listeners and removes it after the
// grace period.
func (a *Agent) retain(g *generation, grace time.Duration) {
	time.AfterFunc(grace, func() { a.generations.remove(g.id) })
}
