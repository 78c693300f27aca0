package standin

import (
	"maps"
	"time"
)

// firstClusterID and firstMemberID are the IDs of a new store. The IDs of etcd need all 64 bits.
const (
	firstClusterID = 14841639068965178418
	firstMemberID  = 10276657743932975437
)

// StoreCopy is the state of a Store at one time, as a snapshot of etcd holds it.
type StoreCopy struct {
	revision    int64
	compacted   int64
	keys        map[string]keyValue
	history     []storeEvent
	leases      map[int64]lease
	lastLeaseID int64
}

// RestoreOptions are the options with which an operator restores etcd from a snapshot.
type RestoreOptions struct {
	// NewCluster gives the store another cluster ID and member ID, as a restore with another
	// cluster token or other members does.
	NewCluster bool
	// BumpRevision is added to the revision of the copy.
	BumpRevision int64
	// MarkCompacted marks all revisions up to that of the restored store as compacted, so that
	// watches that begin there are cancelled.
	MarkCompacted bool
}

// Revision returns the store's revision in the copy.
func (c *StoreCopy) Revision() int64 { return c.revision }

// Copy returns a copy of the state of the store.
func (s *Store) Copy() *StoreCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	c := &StoreCopy{
		revision: s.revision, compacted: s.compacted, keys: maps.Clone(s.keys),
		history: s.history[:len(s.history):len(s.history)], leases: map[int64]lease{}, lastLeaseID: s.lastLeaseID,
	}
	for id, l := range s.leases {
		c.leases[id] = *l
	}
	return c
}

// Restore replaces the state of the store by a copy. The changes since the copy are lost, and
// their revisions and lease IDs are given out again. All calls in progress are aborted without a
// response, watches included. As in etcd, the time of each lease begins again.
func (s *Store) Restore(c *StoreCopy, o RestoreOptions) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restores++
	s.revision, s.compacted = c.revision+o.BumpRevision, c.compacted
	s.keys = maps.Clone(c.keys)
	s.history = c.history[:len(c.history):len(c.history)]
	s.leases = map[int64]*lease{}
	for id, l := range c.leases {
		s.leases[id] = &lease{ttl: l.ttl, expires: time.Now().Add(l.ttl)}
	}
	s.lastLeaseID = c.lastLeaseID
	if o.MarkCompacted {
		s.compacted = s.revision
	}
	if o.NewCluster {
		s.clusterID++
		s.memberID++
	}
	s.notify()
}

// Compact discards the history up to a revision, which must not be later than that of the
// store.
func (s *Store) Compact(revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = max(s.compacted, min(revision, s.revision))
	s.notify()
}

// Revision returns the current revision.
func (s *Store) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// header returns the header of a response. Callers hold the lock.
func (s *Store) header() header {
	return header{ClusterID: s.clusterID, MemberID: s.memberID, Revision: s.revision}
}
