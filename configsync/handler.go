package configsync

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/result"
)

// Limits of requests from other processes.
const (
	// maxLongPoll is the maximum time for which a response is delayed until a
	// higher version is in force.
	maxLongPoll     = 10 * time.Second
	maxRequestBytes = 64 << 10
)

// Register adds handlers to mux that serve the configuration in force in this
// process to other processes. The caller must authenticate the requests.
func (f *Follower) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET "+peer.PathConfig, f.handleManifest)
	mux.HandleFunc("POST "+peer.PathDocuments, f.handleDocuments)
}

// handleManifest serves the current manifest if its version is higher than the
// parameter above. It waits up to wait_ms for such a version.
func (f *Follower) handleManifest(w http.ResponseWriter, r *http.Request) {
	above, err := strconv.ParseInt(r.URL.Query().Get("above"), 10, 64)
	if err != nil {
		result.Write(w, result.New(result.InvalidRequest, result.RanNo, "invalid version"))
		return
	}
	if millis, err := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64); err == nil && millis > 0 {
		ctx, cancel := context.WithTimeout(r.Context(), min(time.Duration(millis)*time.Millisecond, maxLongPoll))
		f.await(ctx, above)
		cancel()
	}
	var out peer.Manifest
	if s := f.current.Load(); s != nil {
		out.Version = s.config.Version
		if out.Version > above {
			out.Data = s.manifest
		}
	}
	writeJSON(w, out)
}

// handleDocuments serves documents of the current version by digest.
func (f *Follower) handleDocuments(w http.ResponseWriter, r *http.Request) {
	var req peer.DocumentsRequest
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&req)
	if err != nil || len(req.Digests) > peer.MaxDocuments {
		result.Write(w, result.New(result.InvalidRequest, result.RanNo, "malformed question for documents"))
		return
	}
	out := peer.Documents{Documents: make([][]byte, len(req.Digests))}
	if s := f.current.Load(); s != nil {
		for i, digest := range req.Digests {
			out.Documents[i] = s.documents[digest]
		}
	}
	writeJSON(w, out)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
