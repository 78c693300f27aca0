package agent

import (
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

// Limits of the interface for other processes.
const (
	maxMessageBytes = 16 << 20
	// keepAlive is the longest silence on an open stream.
	keepAlive = time.Second
	// writeTimeout bounds one write to a listener that does not read.
	writeTimeout = 10 * time.Second
)

// handler serves the messages of other processes, health and metrics.
func (a *Agent) handler() http.Handler {
	peers := http.NewServeMux()
	peers.HandleFunc("POST "+peer.PathAttempts, a.handleAttempt)
	peers.HandleFunc("GET "+peer.PathGenerations+"{id}", a.handleResume)
	peers.HandleFunc("DELETE "+peer.PathGenerations+"{id}", a.handleCancel)
	peers.HandleFunc("POST "+peer.PathCalls, a.handleCall)
	peers.HandleFunc("POST "+peer.PathReservations, a.handleReserve)
	peers.HandleFunc("POST "+peer.PathOutcome, a.handleOutcome)
	peers.HandleFunc("POST "+peer.PathRevoke, a.handleRevoke)
	peers.HandleFunc("GET "+peer.PathBeats, a.handleBeats)
	mux := http.NewServeMux()
	a.config.Register(peers)
	mux.Handle("/peer/", a.opts.Keys.Require(peer.Exchange(a.config, peers)))
	operators := a.opts.Keys.Operators(a.opts.OperatorKeys)
	all := slices.Concat(a.opts.Keys, operators)
	mux.Handle("GET "+peer.PathState, all.Require(peer.Exchange(a.config, http.HandlerFunc(a.handleState))))
	mux.Handle("GET "+peer.PathDecisions, operators.Require(http.HandlerFunc(a.handleDecisions)))
	mux.Handle("POST "+peer.PathDrain, operators.Require(http.HandlerFunc(a.handleDrain)))
	mux.Handle("GET /metrics", all.Require(a.metrics.Handler()))
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

// decode reads a message into dst; it answers the sender itself on a fault.
func decode(w http.ResponseWriter, r *http.Request, dst any) bool {
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

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (a *Agent) handleState(w http.ResponseWriter, _ *http.Request) { reply(w, a.State()) }

func (a *Agent) handleAttempt(w http.ResponseWriter, r *http.Request) {
	var attempt peer.Attempt
	if !decode(w, r, &attempt) {
		return
	}
	if a.engine == nil {
		result.Write(w, result.New(result.NoTarget, result.RanNo, "no engine here"))
		return
	}
	if !a.isOwnGeneration(attempt.Generation) {
		result.Write(w, result.New(result.TargetLeaving, result.RanNo, "the target was replaced"))
		return
	}
	g, refusal := a.begin(&attempt)
	if refusal != nil {
		result.Write(w, refusal)
		return
	}
	a.stream(w, r, g, 0)
}

func (a *Agent) isOwnGeneration(id string) bool {
	vm, incarnation, ok := peer.ParseGenerationID(id)
	return ok && vm == a.opts.VM && incarnation == a.incarnation
}

// begin queues an attempt and returns its buffer.
func (a *Agent) begin(attempt *peer.Attempt) (*generation, *result.Error) {
	if attempt.Mark != nil {
		a.marks.Merge(*attempt.Mark)
	}
	if a.marks.Status(attempt.Fingerprint, time.Now()) == quarantine.Quarantined {
		return nil, errQuarantined()
	}
	g := newGeneration(attempt, &a.gaps)
	if held := a.generations.put(g); held != nil {
		return nil, result.New(result.AttemptRevoked, result.RanUnknown, "the generation exists")
	}
	now := time.Now()
	length := 0
	if a.opts.Lengths != nil {
		length = a.opts.Lengths(attempt.Prompt)
	}
	j := &job{
		request: attempt.Request,
		item: &decision.Item{
			ID: attempt.ID, Workspace: attempt.Workspace, Service: attempt.Service,
			Priority: attempt.Priority, Weight: attempt.Weight, Short: attempt.Short,
			PromptTokens: attempt.PromptTokens, MaxTokens: attempt.MaxTokens, Length: length,
			Arrived: now, Deadline: now.Add(time.Duration(attempt.QueueMillis) * time.Millisecond),
		},
		admit: func() {
			a.work.Add(1)
			g.admit()
			go a.run(g, attempt)
		},
		refuse: func(e *result.Error) {
			g.finish(nil, e)
			a.generations.remove(g.id)
		},
		tokens: g.progress,
	}
	if refusal := a.submit(j); refusal != nil {
		a.generations.remove(g.id)
		return nil, refusal
	}
	return g, nil
}

func (a *Agent) handleResume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || from < 0 {
		result.Write(w, result.New(result.InvalidEventID, result.RanNo, "invalid offset"))
		return
	}
	g := a.generations.get(r.PathValue("id"), r.URL.Query().Get("workspace"))
	if g == nil {
		result.Write(w, result.New(result.UnknownGeneration, result.RanUnknown, "no such generation here"))
		return
	}
	if from > g.count() {
		result.Write(w, result.New(result.InvalidEventID, result.RanNo, "offset beyond the generation"))
		return
	}
	a.stream(w, r, g, from)
}

// stream sends the generation's frames from an offset on until its end or
// until the listener is gone.
func (a *Agent) stream(w http.ResponseWriter, r *http.Request, g *generation, from int) {
	changed := g.listen()
	defer g.leave(changed)
	w.Header().Set("Content-Type", "application/x-ndjson")
	rc := http.NewResponseController(w)
	enc := json.NewEncoder(w)
	idle := time.NewTimer(keepAlive)
	defer idle.Stop()
	admitted := false
	for {
		frame, last := g.read(from)
		if last || frame.Admitted != admitted {
			load := a.State().Load
			frame.Load = &load
		}
		fresh := len(frame.Tokens) > 0 || last || frame.Admitted != admitted
		if last || frame.Admitted != admitted {
			load := a.State().Load
			frame.Load = &load
		}
		if fresh && !send(rc, enc, &frame) {
			return
		}
		admitted = frame.Admitted
		from += len(frame.Tokens)
		if last {
			g.markDelivered()
			return
		}
		idle.Reset(keepAlive)
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-idle.C:
			load := a.State().Load
			if !send(rc, enc, &peer.Frame{Generation: g.id, Offset: from, Load: &load}) {
				return
			}
		}
	}
}

// send writes one frame and reports whether the listener still takes them.
func send(rc *http.ResponseController, enc *json.Encoder, f *peer.Frame) bool {
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
	began, _ := a.revoke(g.attempt)
	if began {
		a.cancelGeneration(g, "caller_asked")
	}
	reply(w, peer.Revoked{ID: g.id, Began: began})
}

// cancelGeneration ends a generation that has begun, at once.
func (a *Agent) cancelGeneration(g *generation, reason string) {
	g.finish(nil, result.New(result.Cancelled, result.RanYes, "cancelled").ForGeneration(g.id, g.count()))
	a.cancelAtEngine(g.id)
	a.recorder.Record(telemetry.Decision{
		Kind: telemetry.KindCancel, Attempt: g.attempt, Generation: g.id, Workspace: g.workspace,
		Target: a.opts.VM, Choice: "cancel", Reason: reason,
	})
}

func (a *Agent) handleRevoke(w http.ResponseWriter, r *http.Request) {
	var msg peer.Revoke
	if !decode(w, r, &msg) {
		return
	}
	if msg.Incarnation != a.incarnation {
		result.Write(w, result.New(result.TargetLeaving, result.RanUnknown, "the target was replaced"))
		return
	}
	began, known := a.revoke(msg.ID)
	if !known {
		result.Write(w, result.New(result.TargetLeaving, result.RanUnknown, "the target is stopping"))
		return
	}
	if g := a.generations.ofAttempt(msg.ID); began && msg.Cancel && g != nil {
		a.cancelGeneration(g, "withdrawn")
	}
	reply(w, peer.Revoked{ID: msg.ID, Began: began})
}

func (a *Agent) handleDrain(w http.ResponseWriter, r *http.Request) {
	var msg peer.Drain
	if !decode(w, r, &msg) {
		return
	}
	a.setDraining(msg.On, "operator")
	reply(w, a.State())
}

func (a *Agent) handleDecisions(w http.ResponseWriter, r *http.Request) {
	reply(w, a.recorder.Find(peer.ParseDecisionQuery(r.URL.Query()).Match))
}
