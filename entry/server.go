package entry

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/quetzalglade/quetzalglade/caller"
	"github.com/quetzalglade/quetzalglade/config"
	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/result"
)

// handler returns the handler for callers, other processes, operators' tools,
// health checks and metrics.
func (e *Entry) handler() http.Handler {
	mux := http.NewServeMux()
	handleCaller := func(pattern string, handle http.HandlerFunc) { mux.HandleFunc(pattern, e.refuseLate(handle)) }
	handleGeneration := func(pattern string, handle http.HandlerFunc) {
		mux.HandleFunc(pattern, e.refuseLateOfGeneration(handle))
	}
	handleCaller("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { e.handleCompletion(w, r, false) })
	handleCaller("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { e.handleCompletion(w, r, true) })
	handleGeneration("GET /v1/generations/{id}", e.handleResume)
	handleGeneration("DELETE /v1/generations/{id}", e.handleCancel)
	handleCaller("POST /v1/keys", e.handleKeys)
	handleCaller("/s/{service}/{path...}", e.handleCall)
	peerMux := http.NewServeMux()
	peerMux.HandleFunc("GET "+peer.PathVMs, e.handleVMs)
	e.config.Register(peerMux)
	peerMux.HandleFunc("POST "+peer.PathMarks, e.handleMarks)
	mux.Handle("/peer/", e.opts.Keys.Require(peer.WithVersionExchange(e.config, peerMux)))
	operatorKeys := e.opts.Keys.OperatorKeys(e.opts.OperatorKeys)
	allKeys := slices.Concat(e.opts.Keys, operatorKeys)
	mux.Handle("GET "+peer.PathState, allKeys.Require(peer.WithVersionExchange(e.config, http.HandlerFunc(e.handleState))))
	mux.Handle("GET "+peer.PathDecisions, operatorKeys.Require(http.HandlerFunc(e.handleDecisions)))
	mux.Handle("GET /metrics", allKeys.Require(e.metrics.Handler()))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", e.handleReady)
	return e.closeWhileStopping(mux)
}

// closeWhileStopping sets "Connection: close" on the responses of a stopping entry,
// so that no caller sends a request on a connection that is about to be closed.
func (e *Entry) closeWhileStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// refuseLate refuses callers' requests near the end of a stop, which might cut them off.
// Another entry serves them.
func (e *Entry) refuseLate(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if e.stop.refuses() {
			result.Write(w, refusalBeforeLookup(r, stoppingError()))
			return
		}
		next(w, r)
	}
}

// refusalOfGeneration returns the error for a request about a generation that this process refuses
// in its present state. The generation may have run.
func refusalOfGeneration(refusal *result.Error) *result.Error {
	if refusal.Code == result.ConfigurationAbsent || refusal.Code == result.TargetLeaving {
		return refusal.WithRan(result.RanUnknown)
	}
	return refusal
}

// refuseLateOfGeneration is like refuseLate, for requests about a generation.
func (e *Entry) refuseLateOfGeneration(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if e.stop.refuses() {
			result.Write(w, refusalOfGeneration(stoppingError()))
			return
		}
		next(w, r)
	}
}

func (e *Entry) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !e.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// request is a caller's request after authentication.
type request struct {
	id        string
	arrived   time.Time
	config    *config.Config
	workspace *config.Workspace
	service   *config.Service
	// reservation is the id of the reservation that a target granted; empty
	// without one.
	reservation string
}

// attemptID returns the id of the next attempt: the reservation's id if there is a
// reservation, otherwise a new id with the prefix.
func (req *request) attemptID(prefix string) string {
	if req.reservation != "" {
		return req.reservation
	}
	return newID(prefix)
}

// idBytes is the number of random bytes in an identifier.
const idBytes = 12

// newID returns a random identifier with a prefix.
func newID(prefix string) string {
	raw := make([]byte, idBytes)
	_, _ = rand.Read(raw)
	return prefix + hex.EncodeToString(raw)
}

// authenticate finds the workspace that a request's key belongs to.
func (e *Entry) authenticate(r *http.Request) (*request, *result.Error) {
	cfg := e.config.Current()
	if cfg == nil {
		return nil, result.New(result.ConfigurationAbsent, result.RanNo, "no configuration yet").RetryAfter(defaultRetryAfter)
	}
	ws := cfg.Authenticate(peer.Bearer(r))
	if ws == nil {
		return nil, result.New(result.Unauthenticated, result.RanNo, "missing or invalid key")
	}
	return &request{id: newID("req-"), arrived: time.Now(), config: cfg, workspace: ws}, nil
}

// selectService sets the service of the request. A service that the workspace may
// not use gets the same error as one that does not exist.
func (req *request) selectService(name string, kind config.Kind) *result.Error {
	svc := req.config.Service(name)
	if svc == nil || svc.Kind != kind || !req.workspace.CanUse(name) {
		return result.New(result.UnknownService, result.RanNo, "unknown service")
	}
	req.service = svc
	return nil
}

// fingerprint returns a digest of content. Requests with equal content have equal
// fingerprints.
func fingerprint(parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		_, _ = h.Write([]byte(p))
		_, _ = h.Write([]byte{0})
	}
	return hex.EncodeToString(h.Sum(nil))
}

func (e *Entry) handleState(w http.ResponseWriter, _ *http.Request) {
	state := peer.State{VM: e.opts.VM, Datacentre: e.opts.Datacentre, Region: e.opts.Region, Role: "entry", Ready: e.Ready(), Draining: e.stopping.Load()}
	state.ConfigVersion = e.ConfigVersion()
	state.UsableTargets = e.UsableTargets()
	state.CrossRegionBytes = e.limits.crossRegionBytes()
	writeJSON(w, state)
}

func (e *Entry) handleDecisions(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, e.recorder.Find(peer.ParseDecisionQuery(r.URL.Query()).Match))
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (e *Entry) handleCancel(w http.ResponseWriter, r *http.Request) {
	req, refusal := e.authenticate(r)
	if refusal != nil {
		result.Write(w, refusalOfGeneration(refusal))
		return
	}
	w.Header().Set(caller.HeaderRequestID, req.id)
	id := r.PathValue("id")
	m, refusal := e.findHolder(id)
	if refusal != nil {
		result.Write(w, refusal)
		return
	}
	ctx, end := e.stop.requestContext(r.Context(), nil)
	defer end()
	if err := e.peerClient.Cancel(ctx, m.VM.Addr, id, req.workspace.Name); err != nil {
		failure := result.From(err)
		switch {
		case failure.Code == result.UnknownGeneration:
			failure = unknownGeneration()
		case failure.Code == result.Internal && isStopping(ctx):
			failure = result.New(result.OutcomeUnknown, result.RanUnknown, "this process stops")
		}
		result.Write(w, failure)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
