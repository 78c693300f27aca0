package feed

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/quetzalglade/quetzalglade/internal/jsonlist"
	"github.com/quetzalglade/quetzalglade/kvstore"
)

// Paths of the hub's HTTP API.
const (
	PathList  = "/feed/v1/list"
	PathWatch = "/feed/v1/watch"
)

// Response is the response body of a hub: all keys, or the changes after a
// revision.
type Response struct {
	// Era is the era of Revision. Processes of earlier versions do not set it.
	Era      int64 `json:"era,omitempty"`
	Revision int64 `json:"revision"`
	// AgeMillis is the time since the state was last read from the store.
	AgeMillis int64 `json:"age_ms"`
	// Via holds the names of the processes that the state came through before the one
	// that responds. Processes of earlier versions do not set it.
	Via    []string             `json:"via,omitempty"`
	Events jsonlist.List[Event] `json:"events"`
}

func (r *Response) position() kvstore.Position {
	return kvstore.Position{Era: r.Era, Revision: r.Revision}
}

func (r *Response) age() time.Duration { return time.Duration(r.AgeMillis) * time.Millisecond }

// Event is the state of a key after a write, or its deletion. Revision is the
// revision of that change.
type Event struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

func newEvent(kv *kvstore.KV, deleted bool) Event {
	return Event{Key: kv.Key, Value: kv.Value, Revision: kv.ModRevision, Lease: kv.Lease, Deleted: deleted}
}

func (e *Event) kv() kvstore.KV {
	return kvstore.KV{Key: e.Key, Value: e.Value, ModRevision: e.Revision, Lease: e.Lease}
}

// Handler returns the HTTP handler that serves the hub to other processes. The
// age of a state counts from its read from the store, also if the state came from
// another process, so that processes that read from each other detect that none
// of them reaches the store.
func (h *Hub) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathList, func(w http.ResponseWriter, _ *http.Request) {
		kvs, position, syncedAt := h.list()
		response := h.response(position, syncedAt)
		for i := range kvs {
			response.Events.Items = append(response.Events.Items, newEvent(&kvs[i], false))
		}
		writeResponse(w, response)
	})
	mux.HandleFunc("GET "+PathWatch, h.serveWatch)
	return mux
}

// parsePosition returns the position that the query of a watch request states. Processes of
// earlier versions state no era; their requests are of the hub's, hubEra, so that they do not
// list all keys again and again.
func parsePosition(query url.Values, hubEra int64) (kvstore.Position, error) {
	revision, err := strconv.ParseInt(query.Get("after"), 10, 64)
	if err != nil {
		return kvstore.Position{}, err
	}
	if !query.Has("era") {
		return kvstore.Position{Era: hubEra, Revision: revision}, nil
	}
	era, err := strconv.ParseInt(query.Get("era"), 10, 64)
	return kvstore.Position{Era: era, Revision: revision}, err
}

// serveWatch responds with the changes after a position. If there are none, it
// waits for them up to the time that the request states, at most watchTimeout, and
// then responds without events.
func (h *Hub) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, err := parsePosition(r.URL.Query(), h.Position().Era)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait := watchTimeout
	if millis, err := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64); err == nil && millis >= 0 {
		wait = min(wait, time.Duration(millis)*time.Millisecond)
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		events, position, syncedAt, changed, ok := h.changesSince(after)
		if !ok {
			w.WriteHeader(http.StatusGone)
			return
		}
		shouldReply := len(events) > 0 || position.Era < after.Era
		if !shouldReply {
			select {
			case <-changed:
				continue
			case <-timeout.C:
				shouldReply = true
			case <-r.Context().Done():
				return
			}
		}
		response := h.response(position, syncedAt)
		for i := range events {
			response.Events.Items = append(response.Events.Items, newEvent(&events[i].KV, events[i].Deleted))
		}
		writeResponse(w, response)
		return
	}
}

func writeResponse(w http.ResponseWriter, response *Response) {
	w.Header().Set("Content-Type", "application/json")
	// Encode fails only if the client has disconnected.
	_ = json.NewEncoder(w).Encode(response)
}
