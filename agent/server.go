package agent

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/quarantine"
	"github.com/quetzalglade/quetzalglade/result"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

// Limits of the HTTP interface for other processes.
const (
	maxMessageBytes = 16 << 20
	// keepAliveInterval is the longest time without a frame on an open stream.
	keepAliveInterval = time.Second
	// writeTimeout bounds one write to a connection whose peer does not read.
	writeTimeout = 10 * time.Second
	// runEndTimeout limits the wait for the end of a run that was asked to stop.
	runEndTimeout = engineStopTimeout + lateStartDelay
)

// handler returns the handler of requests from other processes, operators' tools,
// health checks and metrics.
func (a *Agent) handler() http.Handler {
	peerMux := http.NewServeMux()
	peerMux.HandleFunc("POST "+peer.PathAttempts, a.handleAttempt)
	peerMux.HandleFunc("GET "+peer.PathGenerations+"{id}", a.handleResume)
	peerMux.HandleFunc("DELETE "+peer.PathGenerations+"{id}", a.handleCancel)
	peerMux.HandleFunc("POST "+peer.PathCalls, a.handleCall)
	peerMux.HandleFunc("POST "+peer.PathReservations, a.handleReserve)
	peerMux.HandleFunc("POST "+peer.PathOutcome, a.handleOutcome)
	peerMux.HandleFunc("POST "+peer.PathRevoke, a.handleRevoke)
	peerMux.HandleFunc("GET "+peer.PathHeartbeats, a.handleHeartbeats)
	mux := http.NewServeMux()
	a.config.Register(peerMux)
	mux.Handle("/peer/", a.opts.Keys.Require(peer.WithVersionExchange(a.config, peerMux)))
	operatorKeys := a.opts.Keys.OperatorKeys(a.opts.OperatorKeys)
	allKeys := slices.Concat(a.opts.Keys, operatorKeys)
	mux.Handle("GET "+peer.PathState, allKeys.Require(peer.WithVersionExchange(a.config, http.HandlerFunc(a.handleState))))
	mux.Handle("GET "+peer.PathDecisions, operatorKeys.Require(http.HandlerFunc(a.handleDecisions)))
	mux.Handle("POST "+peer.PathDrain, operatorKeys.Require(http.HandlerFunc(a.handleDrain)))
	mux.Handle("GET /metrics", allKeys.Require(a.metrics.Handler()))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", a.handleReady)
	return mux
}

func (a *Agent) handleReady(w http.ResponseWriter, _ *http.Request) {
	st := a.State()
	if st.Draining || !st.Ready {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// decodeMessage decodes the request body into dst. On failure it writes the error
// response and returns false.
func decodeMessage(w http.ResponseWriter, r *http.Request, dst any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxMessageBytes)).Decode(dst)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return true
	case errors.As(err, &tooLarge):
		result.Write(w, result.New(result.BodyTooLarge, result.RanNo, "message too large"))
	default:
		result.Write(w, result.New(result.InvalidRequest, result.RanNo, "malformed message"))
	}
	return false
}

func writeReply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (a *Agent) handleState(w http.ResponseWriter, _ *http.Request) { writeReply(w, a.State()) }

func (a *Agent) handleAttempt(w http.ResponseWriter, r *http.Request) {
	var attempt peer.Attempt
	if !decodeMessage(w, r, &attempt) {
		return
	}
	if a.engine == nil {
		result.Write(w, result.New(result.NoTarget, result.RanNo, "no engine here"))
		return
	}
	if !a.isLocalGeneration(attempt.Generation) {
		result.Write(w, result.New(result.TargetLeaving, result.RanNo, "the target was replaced"))
		return
	}
	g, refusal := a.enqueue(&attempt)
	if refusal != nil {
		result.Write(w, refusal)
		return
	}
	a.stream(w, r, g, 0)
}

func (a *Agent) isLocalGeneration(id string) bool {
	vm, incarnation, ok := peer.ParseGenerationID(id)
	return ok && vm == a.opts.VM && incarnation == a.incarnation
}

// enqueue submits an attempt to the queue and returns the generation that buffers
// its tokens.
func (a *Agent) enqueue(attempt *peer.Attempt) (*generation, *result.Error) {
	if attempt.Mark != nil {
		a.quarantine.Merge(*attempt.Mark)
	}
	if a.quarantine.Status(attempt.Fingerprint, time.Now()) == quarantine.Quarantined {
		return nil, newQuarantinedError()
	}
	g := newGeneration(attempt, &a.tokenLatency)
	if existing := a.generations.put(g); existing != nil {
		return nil, result.New(result.AttemptRevoked, result.RanUnknown, "the generation exists")
	}
	now := time.Now()
	outputLength := 0
	if a.opts.OutputTokens != nil {
		outputLength = a.opts.OutputTokens(attempt.Prompt)
	}
	j := &job{
		request: attempt.Request,
		item: &decision.Item{
			ID: attempt.ID, Workspace: attempt.Workspace, Service: attempt.Service,
			Priority: attempt.Priority, Weight: attempt.Weight, Short: attempt.Short,
			PromptTokens: attempt.PromptTokens, MaxTokens: attempt.MaxTokens, KnownLength: outputLength,
			Arrived: now, Deadline: now.Add(time.Duration(attempt.QueueMillis) * time.Millisecond),
		},
		admit: func() {
			a.inFlight.Add(1)
			g.admit()
			go a.runGeneration(g, attempt)
		},
		refuse: func(e *result.Error) {
			g.finish(nil, e)
			a.generations.remove(g.id)
		},
		progress: g.progress,
	}
	if refusal := a.submit(j); refusal != nil {
		a.generations.remove(g.id)
		return nil, refusal
	}
	return g, nil
}

func (a *Agent) handleResume(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || offset < 0 {
		result.Write(w, result.New(result.InvalidEventID, result.RanNo, "invalid offset"))
		return
	}
	g := a.generations.get(r.PathValue("id"), r.URL.Query().Get("workspace"))
	if g == nil {
		result.Write(w, result.New(result.UnknownGeneration, result.RanUnknown, "no such generation here"))
		return
	}
	if offset > g.tokenCount() {
		result.Write(w, result.New(result.InvalidEventID, result.RanNo, "offset beyond the generation"))
		return
	}
	a.stream(w, r, g, offset)
}

// stream sends the generation's frames, starting at a token offset, until the
// generation ends or the listener disconnects.
func (a *Agent) stream(w http.ResponseWriter, r *http.Request, g *generation, offset int) {
	changed := g.addListener()
	defer g.removeListener(changed)
	w.Header().Set("Content-Type", "application/x-ndjson")
	rc := http.NewResponseController(w)
	enc := json.NewEncoder(w)
	idle := time.NewTimer(keepAliveInterval)
	defer idle.Stop()
	admitted := false
	for {
		frame, isLast := g.nextFrame(offset)
		if isLast || frame.Admitted != admitted {
			load := a.State().Load
			frame.Load = &load
		}
		hasUpdate := len(frame.Tokens) > 0 || isLast || frame.Admitted != admitted
		if isLast || frame.Admitted != admitted {
			load := a.State().Load
			frame.Load = &load
		}
		if hasUpdate && !sendFrame(rc, enc, &frame) {
			return
		}
		admitted = frame.Admitted
		offset += len(frame.Tokens)
		if isLast {
			g.markDelivered()
			return
		}
		idle.Reset(keepAliveInterval)
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-idle.C:
			load := a.State().Load
			if !sendFrame(rc, enc, &peer.Frame{Generation: g.id, Offset: offset, Load: &load}) {
				return
			}
		}
	}
}

// sendFrame writes one frame and reports whether the write succeeded.
func sendFrame(rc *http.ResponseController, enc *json.Encoder, f *peer.Frame) bool {
	if rc.SetWriteDeadline(time.Now().Add(writeTimeout)) != nil {
		return false
	}
	if enc.Encode(f) != nil {
		return false
	}
	return rc.Flush() == nil
}

func (a *Agent) handleCancel(w http.ResponseWriter, r *http.Request) {
	g := a.generations.get(r.PathValue("id"), r.URL.Query().Get("workspace"))
	if g == nil {
		result.Write(w, result.New(result.UnknownGeneration, result.RanUnknown, "no such generation here"))
		return
	}
	reply := peer.Revoked{ID: g.id, Stopped: true}
	if reply.Started, _ = a.revoke(g.attemptID); reply.Started {
		reply.Stopped = a.cancelGeneration(g, "caller_asked")
	}
	writeReply(w, reply)
}

// cancelGeneration ends a started generation for its listeners first, without waiting
// for the engine, and then cancels it at the engine. It reports whether the engine does not run
// it any more.
func (a *Agent) cancelGeneration(g *generation, reason string) bool {
	g.finish(nil, result.New(result.Cancelled, result.RanYes, "cancelled").ForGeneration(g.id, g.tokenCount()))
	g.askStop()
	ctx, cancel := context.WithTimeout(context.Background(), runEndTimeout)
	defer cancel()
	// The run itself ends the generation at the engine; another try may succeed.
	stopped := g.awaitStop(ctx) || a.stopAtEngine(g.id)
	a.recorder.Record(telemetry.Decision{
		Kind: telemetry.KindCancel, Attempt: g.attemptID, Generation: g.id, Workspace: g.workspace,
		Target: a.opts.VM, Choice: "cancel", Reason: reason,
	})
	return stopped
}

func (a *Agent) handleRevoke(w http.ResponseWriter, r *http.Request) {
	var msg peer.Revoke
	if !decodeMessage(w, r, &msg) {
		return
	}
	stopsGeneration := msg.Cancel && msg.Generation != "" && a.engine != nil
	if msg.Incarnation != a.incarnation && stopsGeneration {
		// The engine may still run what an earlier agent has started.
		writeReply(w, peer.Revoked{ID: msg.ID, Started: true, Unknown: true, Stopped: a.stopAtEngine(msg.Generation)})
		return
	}
	if msg.Incarnation != a.incarnation {
		result.Write(w, result.New(result.TargetLeaving, result.RanUnknown, "the target was replaced"))
		return
	}
	started, known := a.revoke(msg.ID)
	if !known {
		result.Write(w, result.New(result.TargetLeaving, result.RanUnknown, "the target is stopping"))
		return
	}
	reply := peer.Revoked{ID: msg.ID, Started: started, Stopped: !started}
	if started && msg.Cancel {
		if g := a.generations.byAttempt(msg.ID); g != nil {
			reply.Stopped = a.cancelGeneration(g, "withdrawn")
		} else if stopsGeneration {
			// It has ended; the engine may not have confirmed that.
			reply.Stopped = a.stopAtEngine(msg.Generation)
		}
	}
	writeReply(w, reply)
}

func (a *Agent) handleDrain(w http.ResponseWriter, r *http.Request) {
	var msg peer.Drain
	if !decodeMessage(w, r, &msg) {
		return
	}
	a.setDraining(msg.On, "operator")
	writeReply(w, a.State())
}

func (a *Agent) handleDecisions(w http.ResponseWriter, r *http.Request) {
	writeReply(w, a.recorder.Find(peer.ParseDecisionQuery(r.URL.Query()).Match))
}
