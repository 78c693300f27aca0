package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/internal/bodybudget"
	"github.com/quetzalglade/quetzalglade/result"
	"github.com/quetzalglade/quetzalglade/routing"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

// Memory for the bodies of requests: bodyMemoryFraction of the VM's memory, which is
// defaultMemoryMB if it is unknown. With the buffered responses and what the process needs
// without requests it stays below the soft limit of the Go runtime, so that collections
// keep up with it.
const (
	bodyMemoryFraction = 0.25
	defaultMemoryMB    = 128
	bytesPerMB         = 1 << 20
)

func bodyMemoryBytes(memoryMB int) int64 {
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	return int64(bodyMemoryFraction * float64(memoryMB) * bytesPerMB)
}

// Limits of the rest of a body that is read and discarded after the request was refused: a
// client whose upload is cut off does not read the error response.
const (
	maxDiscardBytes = 1 << 20
	maxDiscardTime  = 500 * time.Millisecond
)

// memoryRetryAfter is the delay after which clients are asked to retry if there is no memory
// for their request's body.
const memoryRetryAfter = 400 * time.Millisecond

// readBody reads the body of a request once there is memory for it.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, req *request, limit int64) *result.Error {
	if limit == 0 {
		limit = defaultBodyBytes
	}
	startedAt := time.Now()
	options := bodybudget.Options{
		Declared: r.ContentLength, MaxBytes: limit, Priority: req.priority, Stop: g.stopPhase.dispatch.Done(), Deadline: req.deadline, Hold: req.conn.HoldQuietly, Gone: req.conn.PeerClosed,
		// A stream is continued at another target, which needs the body.
		Keep: req.route.Kind == routing.Stream, Unrepeatable: req.route.Kind != routing.Idempotent,
	}
	var content hash.Hash
	if bodybudget.IsLarge(r.ContentLength) {
		content = newFingerprint(req.workspace, r.Method, r.Host, r.RequestURI)
		options.Observer = content
	}
	defer g.endUpload(w)()
	body, err := g.bodies.Read(r.Context(), r.Body, &options)
	switch {
	case err == nil:
		req.body = body
		if content != nil {
			req.bodyFingerprint = hex.EncodeToString(content.Sum(nil))
		}
		return nil
	case errors.Is(err, bodybudget.ErrTooLarge):
		g.discardBodyInTime(w, r, limit+maxDiscardBytes)
		return result.New(result.BodyTooLarge, result.RanNo, "the body exceeds %d bytes", limit)
	case errors.Is(err, bodybudget.ErrFull):
		telemetry.Info(g.opts.Logger, "no memory for body", "request", req.ID, "route", req.route.Name, "priority", req.priority,
			"declared", r.ContentLength, "held", g.bodies.Used(), "limit", g.bodies.MaxBytes(), "waited_ms", time.Since(startedAt).Milliseconds(), "err", err)
		g.discardBodyInTime(w, r, limit)
		if g.stopPhase.dispatchEnded() {
			return stoppingError()
		}
		return result.New(result.MemoryFull, result.RanNo, "no memory is free for this body").RetryAfter(memoryRetryAfter)
	}
	if g.stopPhase.answer.Err() != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		w.Header().Set("Connection", "close")
		return stoppingError()
	}
	return result.New(result.InvalidRequest, result.RanNo, "the body could not be read")
}

// discardBodyInTime is like discardBody, but leaves the body unread once the requests in progress must be
// answered.
func (g *Gateway) discardBodyInTime(w http.ResponseWriter, r *http.Request, limit int64) {
	if g.stopPhase.answer.Err() != nil {
		w.Header().Set("Connection", "close")
		return
	}
	discardBody(w, r, limit)
}

// endUpload makes reads of the body fail once the requests in progress must be answered. The
// caller must call cancel when the body has been read.
func (g *Gateway) endUpload(w http.ResponseWriter) (cancel func()) {
	controller := http.NewResponseController(w)
	ended := make(chan struct{})
	stop := context.AfterFunc(g.stopPhase.answer, func() {
		defer close(ended)
		_ = controller.SetReadDeadline(time.Now())
	})
	return func() {
		if !stop() {
			<-ended
			// The server reads on beside the response to see whether the client leaves.
			_ = controller.SetReadDeadline(time.Time{})
		}
	}
}

// discardBody reads the rest of a body without keeping it, for maxDiscardTime at most. A
// client that waits for a permission to send its body gets the response instead.
func discardBody(w http.ResponseWriter, r *http.Request, limit int64) {
	if r.Header.Get("Expect") != "" {
		return
	}
	controller := http.NewResponseController(w)
	if err := controller.SetReadDeadline(time.Now().Add(maxDiscardTime)); err == nil {
		defer func() { _ = controller.SetReadDeadline(time.Time{}) }()
	}
	_, err := io.CopyN(io.Discard, r.Body, limit)
	if err != nil && !errors.Is(err, io.EOF) {
		// The server would read on without a limit before it sends the response.
		w.Header().Set("Connection", "close")
	}
}

func (r *request) releaseBody() {
	if r.body != nil {
		r.body.Release()
	}
}

// newFingerprint returns the hash of a request's content without its body.
func newFingerprint(workspace, method, host, path string) hash.Hash {
	h := sha256.New()
	for _, part := range []string{workspace, method, host, path} {
		_, _ = io.WriteString(h, part)
		h.Write([]byte{0})
	}
	return h
}
