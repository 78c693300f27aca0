package agent

import (
	"sync"
	"time"
)

// table finds generations by id for traffic goroutines.
type table struct {
	mu   sync.Mutex
	byID map[string]*generation
}

func newTable() *table { return &table{byID: map[string]*generation{}} }

// put adds a generation. It returns the one already held under the id, if any.
func (t *table) put(g *generation) (held *generation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if old, ok := t.byID[g.id]; ok {
		return old
	}
	t.byID[g.id] = g
	return nil
}

// get returns the workspace's generation, or nil.
func (t *table) get(id, workspace string) *generation {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.byID[id]
	if g == nil || g.workspace != workspace {
		return nil
	}
	return g
}

// ofAttempt returns the generation that an attempt started, or nil.
func (t *table) ofAttempt(id string) *generation {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, g := range t.byID {
		if g.attempt == id {
			return g
		}
	}
	return nil
}

// undelivered reports whether any generation was not sent to its end.
func (t *table) undelivered() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, g := range t.byID {
		if !g.wasDelivered() {
			return true
		}
	}
	return false
}

func (t *table) remove(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byID, id)
}

// retain keeps an ended generation for late listeners, then drops it.
func (a *Agent) retain(g *generation, grace time.Duration) {
	time.AfterFunc(grace, func() { a.generations.remove(g.id) })
}
