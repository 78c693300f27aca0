package gateway

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/internal/httpclient"
	"github.com/quetzalglade/quetzalglade/quarantine"
	"github.com/quetzalglade/quetzalglade/registry"
	"github.com/quetzalglade/quetzalglade/result"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

// Timing of the probe, an attempt to connect, that detects a crashed target.
const (
	// crashProbeDelay is the time between a failed attempt and the probe. A
	// target that only closed the connection accepts new ones by then.
	crashProbeDelay = 150 * time.Millisecond
	// crashProbeTimeout limits the probe.
	crashProbeTimeout = 500 * time.Millisecond
)

// fingerprint identifies a request's content: requests of the same workspace
// with the same method, host, path and body have the same fingerprint.
func (r *request) fingerprint() string {
	if r.bodyFingerprint != "" {
		return r.bodyFingerprint
	}
	h := newFingerprint(r.workspace, r.upstream.Method, r.upstream.Host, r.upstream.Path)
	for _, piece := range r.body.Pieces() {
		h.Write(piece)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// quarantineError returns an error if the request's content is in quarantine
// because it crashed targets, otherwise nil.
func (g *Gateway) quarantineError(req *request) *result.Error {
	now := time.Now()
	if g.quarantine.Empty() || g.quarantine.Status(req.fingerprint(), now) != quarantine.Quarantined {
		return nil
	}
	return result.New(result.Quarantined, result.RanNo, "this content stopped several targets")
}

// quarantinedPartError returns an error if a part of the request's prompt is quarantined because it
// crashed targets, otherwise nil. A request that is the trial of a quarantined part passes.
func (g *Gateway) quarantinedPartError(ctx context.Context, req *request) *result.Error {
	part, quarantined, ok := g.parts.Quarantined(req.SharedParts)
	if !ok || g.parts.ClaimTrial(ctx, part, quarantined) {
		return nil
	}
	failure := result.New(result.Quarantined, result.RanNo, "a part of the prompt stopped several targets")
	if at, ok := quarantined.TrialAt(); ok {
		failure = failure.RetryAfter(max(time.Until(at), minTrialRetryAfter))
	}
	return failure
}

// minTrialRetryAfter is the shortest delay after which clients are asked to retry a
// request with a quarantined part. It covers the trial of the part.
const minTrialRetryAfter = time.Second

// soundRunTime is the time after the first event of an answer after which the answer
// counts as one that its target survived.
const soundRunTime = 500 * time.Millisecond

// sendPartEvidence sends evidence to all other gateways, without waiting. A gateway that
// it does not reach receives it through the store.
func (g *Gateway) sendPartEvidence(evidence []decision.PartEvidence) {
	others := g.members.Others()
	go func() {
		limiter := make(chan struct{}, maxEvidenceSends)
		for i := range others {
			limiter <- struct{}{}
			go func() {
				defer func() { <-limiter }()
				ctx, cancel := context.WithTimeout(context.Background(), evidenceSendTimeout)
				defer cancel()
				resp, err := httpclient.SendJSON(ctx, g.opts.PeerClient, http.MethodPost, "http://"+others[i].Addr+pathPartEvidence, evidence)
				if err != nil {
					telemetry.Info(g.opts.Logger, "sending part evidence failed", "to", others[i].Name, "err", err)
					return
				}
				httpclient.CloseBody(resp)
			}()
		}
	}()
}

// Path and limits of the exchange of part evidence between gateways.
const (
	pathPartEvidence    = "/quarantine/v1/parts"
	evidenceSendTimeout = time.Second
	maxEvidenceSends    = 16
	maxEvidenceBytes    = 256 << 10
)

// handlePartEvidence receives evidence from another gateway.
func (g *Gateway) handlePartEvidence(w http.ResponseWriter, r *http.Request) {
	var evidence []decision.PartEvidence
	if err := json.NewDecoder(io.LimitReader(r.Body, maxEvidenceBytes)).Decode(&evidence); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	g.parts.Merge(evidence...)
}

// checkCrash probes a target after an attempt failed. If the target accepts no
// connection, checkCrash records a crash with the fingerprint of the request, and, if
// its VM refuses the connection, with the shared parts of its prompt. It records neither
// if the target has survived the begin of the answer: such a request ran beside the cause.
// checkCrash ignores targets that are leaving, since they stop without a crash. The
// argument events is the number of events that the client has received.
func (g *Gateway) checkCrash(req *request, t *registry.Target, events int, survivedBegin bool) {
	if t.Load.IsLeaving() {
		return
	}
	fingerprint := req.fingerprint()
	go func() {
		time.Sleep(crashProbeDelay)
		ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
		defer cancel()
		conn, err := g.connPool.DialNew(ctx, t.Addr)
		if err == nil {
			conn.Close()
			return
		}
		if t.Load.IsLeaving() {
			return
		}
		crashID := t.ID + "/" + strconv.FormatInt(t.StartMillis, 10)
		if !survivedBegin {
			g.quarantine.Enqueue(g.quarantine.RecordCrash(crashID, []string{fingerprint}, time.Now()))
		}
		if !survivedBegin && errors.Is(err, syscall.ECONNREFUSED) {
			g.parts.RecordCrash(crashID, req.SharedParts)
		}
		telemetry.Info(g.opts.Logger, "target crashed", "target", t.ID, "request", req.ID, "fingerprint", fingerprint,
			"status", g.quarantine.Status(fingerprint, time.Now()).String(), "parts", strings.Join(req.SharedParts, ","), "events", events, "err", err)
	}()
}

// clearSuspect clears the request's content of suspicion after it has run
// without a crash.
func (g *Gateway) clearSuspect(req *request) {
	if g.quarantine.Empty() {
		return
	}
	g.quarantine.Enqueue(g.quarantine.ClearSuspect(req.fingerprint(), time.Now()))
}
