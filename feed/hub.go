// Package feed passes the store's keys on between processes, so that few of
// them read the store and those that it turns away learn of changes all the
// same. One process of each region reads the store; the others read that one,
// and the store itself when it falls silent or behind. Versions only go
// forward.
package feed

import (
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quetzalglade/quetzalglade/kvstore"
)

// historyLength bounds the changes that a hub remembers for those that read it.
const historyLength = 2000

// subscriber takes in the keys under a prefix.
type subscriber struct {
	prefix   string
	follower kvstore.Follower
}

// Hub is a copy of the store's keys. It implements kvstore.Follower, passes
// what it learns to subscribers, and serves others.
type Hub struct {
	subscribers []subscriber

	mu       sync.Mutex
	items    map[string]kvstore.KV
	revision int64
	history  []kvstore.Event
	// oldest is the revision after which the history is complete.
	oldest int64
	// heard is when the store itself was last heard of, directly or by others.
	heard   time.Time
	changed chan struct{}
	// lag is the age of the state from the present source, in nanoseconds.
	lag atomic.Int64
}

// NewHub returns an empty hub.
func NewHub() *Hub {
	return &Hub{items: map[string]kvstore.KV{}, changed: make(chan struct{})}
}

// Subscribe adds a follower of the keys under a prefix. It must be called
// before the hub follows anything.
func (h *Hub) Subscribe(prefix string, f kvstore.Follower) {
	h.subscribers = append(h.subscribers, subscriber{prefix, f})
}

func (h *Hub) wanted(key string) bool {
	for _, s := range h.subscribers {
		if strings.HasPrefix(key, s.prefix) {
			return true
		}
	}
	return false
}

// Reset implements kvstore.Follower.
func (h *Hub) Reset(kvs []kvstore.KV, revision int64) {
	h.mu.Lock()
	h.items = map[string]kvstore.KV{}
	for i := range kvs {
		if h.wanted(kvs[i].Key) {
			h.items[kvs[i].Key] = kvs[i]
		}
	}
	h.revision = revision
	h.history = nil
	h.oldest = revision
	h.notify()
	h.mu.Unlock()
	for _, s := range h.subscribers {
		var part []kvstore.KV
		for i := range kvs {
			if strings.HasPrefix(kvs[i].Key, s.prefix) {
				part = append(part, kvs[i])
			}
		}
		s.follower.Reset(part, revision)
	}
}

// Apply implements kvstore.Follower.
func (h *Hub) Apply(batch kvstore.WatchBatch) {
	h.mu.Lock()
	for i := range batch.Events {
		h.apply(batch.Events[i])
	}
	if len(h.history) > historyLength {
		cut := len(h.history) - historyLength
		h.oldest = h.history[cut-1].KV.ModRevision
		h.history = append([]kvstore.Event(nil), h.history[cut:]...)
	}
	h.revision = max(h.revision, batch.Revision)
	h.notify()
	h.mu.Unlock()
	for _, s := range h.subscribers {
		part := kvstore.WatchBatch{Revision: batch.Revision}
		for _, e := range batch.Events {
			if strings.HasPrefix(e.KV.Key, s.prefix) {
				part.Events = append(part.Events, e)
			}
		}
		s.follower.Apply(part)
	}
}

func (h *Hub) apply(e kvstore.Event) {
	if !h.wanted(e.KV.Key) {
		return
	}
	if e.Deleted {
		delete(h.items, e.KV.Key)
	} else {
		h.items[e.KV.Key] = e.KV
	}
	h.history = append(h.history, e)
}

// Lost implements kvstore.Follower.
func (h *Hub) Lost(err error) {
	for _, s := range h.subscribers {
		s.follower.Lost(err)
	}
}

func (h *Hub) notify() {
	if heard := time.Now().Add(-time.Duration(h.lag.Load())); heard.After(h.heard) {
		h.heard = heard
	}
	close(h.changed)
	h.changed = make(chan struct{})
}

// Revision returns the newest revision known.
func (h *Hub) Revision() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.revision
}

// list returns all keys in order.
func (h *Hub) list() ([]kvstore.KV, int64, time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]kvstore.KV, 0, len(h.items))
	for _, kv := range h.items {
		out = append(out, kv)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out, h.revision, h.heard
}

// since returns the changes after a revision and a channel that is closed at
// the next change; ok is false if the history does not reach back.
func (h *Hub) since(after int64) (events []kvstore.Event, revision int64, heard time.Time, changed <-chan struct{}, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if after < h.oldest {
		return nil, 0, h.heard, h.changed, false
	}
	for _, e := range h.history {
		if e.KV.ModRevision > after {
			events = append(events, e)
		}
	}
	return events, h.revision, h.heard, h.changed, true
}
