// Package feed distributes the store's keys between processes, so that few
// processes read the store, and a process whose reads the store rejects still
// receives changes. One process of each region, the leader, reads the store; the
// others read the leader, or the store when the leader is unavailable or its
// state is stale, or else any other process. A process never replaces its state
// by one of an earlier position (see kvstore.Position): neither by one of a lower revision
// of the same era, nor by any state from before a restore of the store that it knows.
package feed

import (
	"cmp"
	"maps"
	"slices"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quetzalglade/quetzalglade/kvstore"
)

// maxDeletions is the maximum number of deleted keys that a hub keeps for watch
// requests.
const maxDeletions = 2000

// subscriber is a follower of the keys under a prefix.
type subscriber struct {
	prefix   string
	follower kvstore.Follower
}

// Hub holds a copy of the store's keys that match a subscription. A Source fills
// it through kvstore.Follow. It implements kvstore.Follower, forwards changes to
// subscribers, and serves the keys to other processes.
type Hub struct {
	subscribers []subscriber

	mu    sync.Mutex
	items map[string]kvstore.KV
	// position is the latest one received. All revisions below are of its era.
	position kvstore.Position
	// deletions maps deleted keys to the revisions of their deletions. It holds all
	// deletions after historyStart of keys that do not exist.
	deletions    map[string]int64
	historyStart int64
	// syncedAt is when the state was last read from the store, by this process or
	// by the process that it came from.
	syncedAt time.Time
	// changed is closed and replaced at each update.
	changed chan struct{}
	// lag is the age of the state that is passed to the next Reset, in nanoseconds.
	lag atomic.Int64
	// via holds the names of the processes that the state came through, from the one
	// that read the store on. It is empty if this process read the store.
	via atomic.Pointer[[]string]
}

// NewHub returns an empty hub.
func NewHub() *Hub {
	return &Hub{items: map[string]kvstore.KV{}, deletions: map[string]int64{}, changed: make(chan struct{})}
}

// StateAge returns the time since the state was last read from the store, by this process
// or by the process that it came from.
func (h *Hub) StateAge(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Sub(h.syncedAt)
}

// Subscribe adds a follower of the keys under a prefix. It must be called
// before the hub receives its first keys.
func (h *Hub) Subscribe(prefix string, f kvstore.Follower) {
	h.subscribers = append(h.subscribers, subscriber{prefix, f})
}

func (h *Hub) isSubscribed(key string) bool {
	for _, s := range h.subscribers {
		if strings.HasPrefix(key, s.prefix) {
			return true
		}
	}
	return false
}

// Reset implements kvstore.Follower. It replaces all that is known: after a restore of the
// store, keys and revisions of the earlier era no longer exist.
func (h *Hub) Reset(kvs []kvstore.KV, position kvstore.Position) {
	h.mu.Lock()
	h.items = map[string]kvstore.KV{}
	for i := range kvs {
		if h.isSubscribed(kvs[i].Key) {
			h.items[kvs[i].Key] = kvs[i]
		}
	}
	h.position = position
	h.deletions = map[string]int64{}
	h.historyStart = position.Revision
	h.notify(time.Duration(h.lag.Load()))
	h.mu.Unlock()
	for _, s := range h.subscribers {
		var matching []kvstore.KV
		for i := range kvs {
			if strings.HasPrefix(kvs[i].Key, s.prefix) {
				matching = append(matching, kvs[i])
			}
		}
		s.follower.Reset(matching, position)
	}
}

// Apply implements kvstore.Follower. It ignores changes of another era than that of the
// hub's keys, whose revisions are not comparable.
func (h *Hub) Apply(batch kvstore.WatchBatch) {
	h.mu.Lock()
	if batch.Era != h.position.Era {
		h.mu.Unlock()
		return
	}
	for i := range batch.Events {
		h.apply(batch.Events[i])
	}
	h.pruneDeletions()
	h.position = h.position.Later(batch.Position())
	h.notify(batch.Age)
	h.mu.Unlock()
	for _, s := range h.subscribers {
		matching := kvstore.WatchBatch{Era: batch.Era, Revision: batch.Revision}
		for _, e := range batch.Events {
			if strings.HasPrefix(e.KV.Key, s.prefix) {
				matching.Events = append(matching.Events, e)
			}
		}
		s.follower.Apply(matching)
	}
}

// apply applies one change to the hub's keys, unless a newer state of the key is
// known. Callers hold the lock.
func (h *Hub) apply(e kvstore.Event) {
	key := e.KV.Key
	if !h.isSubscribed(key) || max(h.items[key].ModRevision, h.deletions[key]) > e.KV.ModRevision {
		return
	}
	if e.Deleted {
		delete(h.items, key)
		h.deletions[key] = e.KV.ModRevision
		return
	}
	delete(h.deletions, key)
	h.items[key] = e.KV
}

// pruneDeletions removes the older half of the deletions if there are more than
// maxDeletions. Callers hold the lock.
func (h *Hub) pruneDeletions() {
	if len(h.deletions) <= maxDeletions {
		return
	}
	revisions := slices.Sorted(maps.Values(h.deletions))
	h.historyStart = revisions[len(revisions)/2]
	maps.DeleteFunc(h.deletions, func(_ string, revision int64) bool { return revision <= h.historyStart })
}

// Disconnected implements kvstore.Follower.
func (h *Hub) Disconnected(err error) {
	for _, s := range h.subscribers {
		s.follower.Disconnected(err)
	}
}

// notify updates syncedAt for a state of the given age and wakes the pending watch
// requests. Callers hold the lock.
func (h *Hub) notify(age time.Duration) {
	if syncedAt := time.Now().Add(-age); syncedAt.After(h.syncedAt) {
		h.syncedAt = syncedAt
	}
	close(h.changed)
	h.changed = make(chan struct{})
}

func (h *Hub) setVia(names []string) { h.via.Store(&names) }

// response returns a response with the given state.
func (h *Hub) response(position kvstore.Position, syncedAt time.Time) *Response {
	r := &Response{Era: position.Era, Revision: position.Revision, AgeMillis: time.Since(syncedAt).Milliseconds()}
	if via := h.via.Load(); via != nil {
		r.Via = *via
	}
	return r
}

// Position returns the latest position received.
func (h *Hub) Position() kvstore.Position {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.position
}

// list returns all keys in lexical order, the latest position received, and
// when the state was last read from the store.
func (h *Hub) list() ([]kvstore.KV, kvstore.Position, time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]kvstore.KV, 0, len(h.items))
	for _, kv := range h.items {
		out = append(out, kv)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out, h.position, h.syncedAt
}

// changesSince returns the current state of the keys that changed after a position, in
// the order of their last changes, and a channel that is closed at the next update.
// States that a later change replaced are left out, so that the size does not grow with
// the number of changes. ok is false if deletions after the position may be unknown, or if
// the position is of an earlier era, whose revisions say nothing about the keys here. For a
// position of a later era there are no changes, and the position returned shows that this
// hub is behind.
func (h *Hub) changesSince(after kvstore.Position) (events []kvstore.Event, position kvstore.Position, syncedAt time.Time, changed <-chan struct{}, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if after.Era > h.position.Era {
		return nil, h.position, h.syncedAt, h.changed, true
	}
	if after.Era < h.position.Era || after.Revision < h.historyStart {
		return nil, h.position, h.syncedAt, h.changed, false
	}
	for _, kv := range h.items {
		if kv.ModRevision > after.Revision {
			events = append(events, kvstore.Event{KV: kv})
		}
	}
	for key, deletedAt := range h.deletions {
		if deletedAt > after.Revision {
			events = append(events, kvstore.Event{KV: kvstore.KV{Key: key, ModRevision: deletedAt}, Deleted: true})
		}
	}
	slices.SortFunc(events, func(a, b kvstore.Event) int {
		return cmp.Or(cmp.Compare(a.KV.ModRevision, b.KV.ModRevision), cmp.Compare(a.KV.Key, b.KV.Key))
	})
	return events, h.position, h.syncedAt, h.changed, true
}
