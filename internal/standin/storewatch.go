package standin

import (
	"encoding/json"
	"net/http"
	"time"
)

type watchRequest struct {
	Create struct {
		Key           []byte `json:"key"`
		RangeEnd      []byte `json:"range_end"`
		StartRevision int64  `json:"start_revision,string"`
	} `json:"create_request"`
}

type watchResult struct {
	Header  header `json:"header"`
	Created bool   `json:"created,omitempty"`
	// Canceled is set in the last response. CompactRevision is then the revision up to which
	// the history is gone.
	Canceled        bool         `json:"canceled,omitempty"`
	CompactRevision int64        `json:"compact_revision,string,omitempty"`
	Events          []storeEvent `json:"events,omitempty"`
}

// leaseCheckInterval is how often an idle watch checks for expired leases.
const leaseCheckInterval = 200 * time.Millisecond

func (s *Store) handleWatch(w http.ResponseWriter, r *http.Request) {
	var req watchRequest
	if !decodeRequest(w, r, &req) {
		return
	}
	keyRange := rangeRequest{Key: req.Create.Key, RangeEnd: req.Create.RangeEnd}
	nextRevision := req.Create.StartRevision
	enc := json.NewEncoder(w)
	rc := http.NewResponseController(w)
	first := true
	restores := 0
	for {
		s.mu.Lock()
		if first {
			s.counts.Watches++
			restores = s.restores
		}
		abortCalls := s.faults.AbortCalls || s.restores != restores
		s.expire(time.Now())
		events := s.eventsSince(keyRange, nextRevision)
		header, revision, compacted := s.header(), s.revision, s.compacted
		changed := s.changed
		s.mu.Unlock()
		if abortCalls {
			abort(w)
		}
		isCompacted := first && nextRevision > 0 && nextRevision <= compacted
		if isCompacted {
			events = nil
		}
		if first || len(events) > 0 {
			out := watchResult{Header: header, Created: first, Events: events}
			if enc.Encode(map[string]any{"result": out}) != nil || rc.Flush() != nil {
				return
			}
		}
		if isCompacted {
			out := watchResult{Header: header, Canceled: true, CompactRevision: compacted}
			_ = enc.Encode(map[string]any{"result": out})
			return
		}
		first = false
		nextRevision = max(nextRevision, revision+1)
		select {
		case <-changed:
		case <-time.After(leaseCheckInterval):
		case <-r.Context().Done():
			return
		}
	}
}

// eventsSince returns the events in a key range from a revision, oldest first.
func (s *Store) eventsSince(keyRange rangeRequest, revision int64) []storeEvent {
	var out []storeEvent
	for i := len(s.history) - 1; i >= 0 && s.history[i].KV.ModRevision >= revision; i-- {
		if keyRange.covers(string(s.history[i].KV.Key)) {
			out = append([]storeEvent{s.history[i]}, out...)
		}
	}
	return out
}
