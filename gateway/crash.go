package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
	"time"

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
	h := sha256.New()
	for _, part := range []string{r.workspace, r.upstream.Method, r.upstream.Host, r.upstream.Path} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(r.upstream.Body)
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

// checkCrash probes a target after an attempt failed. If the target accepts no
// connection, checkCrash records a crash with the fingerprint of the request.
// It ignores targets that are leaving, since they stop without a crash.
// The argument events is the number of events that the client has received.
func (g *Gateway) checkCrash(req *request, t *registry.Target, events int) {
	if t.Load.IsLeaving() {
		return
	}
	fingerprint := req.fingerprint()
	go func() {
		time.Sleep(crashProbeDelay)
		ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
		defer cancel()
		if conn, err := g.connPool.DialNew(ctx, t.Addr); err == nil {
			conn.Close()
			return
		}
		if t.Load.IsLeaving() {
			return
		}
		crashID := t.ID + "/" + strconv.FormatInt(t.StartMillis, 10)
		marks := g.quarantine.RecordCrash(crashID, []string{fingerprint}, time.Now())
		g.quarantine.Enqueue(marks)
		telemetry.Info(g.opts.Logger, "target crashed", "target", t.ID, "request", req.ID, "fingerprint", fingerprint,
			"status", g.quarantine.Status(fingerprint, time.Now()).String(), "parts", strings.Join(req.SharedParts, ","), "events", events)
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
