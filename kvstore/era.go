package kvstore

import "sync"

// eraTracker finds restores of an etcd cluster from a snapshot. etcd states no order of
// them, so an era is a count of this process and must not be compared between processes.
//
// A restore shows in another cluster ID, or in a linearizable response whose revision is lower
// than that of an earlier response. A restored cluster with the same ID whose revision has
// reached the earlier one before the next linearizable response is not recognised.
type eraTracker struct {
	mu        sync.Mutex
	era       int64
	clusterID string
	// revision is the highest revision of a response in this era. A watch too reports only
	// revisions that the cluster has committed, which no later linearizable response is below.
	revision int64
}

// observation is what was known when a call began. The calls that are under way at a restore
// belong to the era in which they began.
type observation struct{ era, revision int64 }

// begin returns what is known at the begin of a call.
func (t *eraTracker) begin() observation {
	t.mu.Lock()
	defer t.mu.Unlock()
	return observation{era: t.era, revision: t.revision}
}

// end records the header of the call's response and returns the era of the response.
// linearizable is set if the response reflects all changes before the call began.
func (t *eraTracker) end(began observation, h wireHeader, linearizable bool) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.era != began.era {
		return began.era
	}
	isOther := h.ClusterID != "" && t.clusterID != "" && h.ClusterID != t.clusterID
	if isOther || (linearizable && h.Revision < began.revision) {
		t.era++
		t.revision = 0
	}
	if h.ClusterID != "" {
		t.clusterID = h.ClusterID
	}
	t.revision = max(t.revision, h.Revision)
	return t.era
}
