package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/internal/httpclient"
)

// PathReserve is the HTTP path at which gateways reserve for a request before they send it
// to the engine.
const PathReserve = "/sidecar/v1/reserve"

// Reservation is the body of a request to PathReserve. Sizes are in tokens; a negative
// maximum does not apply.
type Reservation struct {
	RequestID    string `json:"request"`
	PromptTokens int    `json:"prompt"`
	// KVTokens is the KV cache that the request is expected to need.
	KVTokens int `json:"memory"`
	// MaxPrefillTokens is the largest backlog of prompts at which the reservation is
	// granted, MaxKVTokens the largest use of the KV cache with the request.
	MaxPrefillTokens int `json:"max_backlog"`
	MaxKVTokens      int `json:"max_memory"`
	// Late is set for work that can only be late or exceeds the share of its workspace. It
	// gives way to work whose reservation was denied.
	Late bool `json:"late,omitempty"`
	// ColdLimit is the number of requests that the sidecar grants in a second while the
	// engine may be cold, nil for no limit.
	ColdLimit *int `json:"cold_limit,omitempty"`
	// ColdOnly asks only for a grant within ColdLimit and reserves nothing.
	ColdOnly bool `json:"cold_only,omitempty"`
}

// ReservationResult is the response to a Reservation. Report is the engine's load, nil if
// the engine cannot be reached.
type ReservationResult struct {
	Granted bool    `json:"granted"`
	Report  *Report `json:"report,omitempty"`
	// ColdMillis is how long the engine stays cold, in milliseconds; nil if unknown.
	ColdMillis *int64 `json:"cold_ms,omitempty"`
	// ColdGranted is set if the request is granted and counted within ColdLimit. Sidecars
	// of earlier builds ignore the limit and do not set it.
	ColdGranted bool `json:"cold_granted,omitempty"`
	// ColdDenied is set if the reservation is denied because of ColdLimit.
	ColdDenied bool `json:"cold_denied,omitempty"`
}

// Limits of the messages about reservations.
const (
	maxReservationBytes = 4 << 10
	maxRequestIDBytes   = 256
	maxReservedTokens   = 1 << 28
)

// typicalOutputTokens is the assumed remaining output of a request that generates.
const typicalOutputTokens = 500

// observe updates the account of reservations from a report. Callers hold the lock.
func (s *Sidecar) observe(report *Report, now time.Time) {
	started := make(map[string]bool, len(report.Requests))
	for i := range report.Requests {
		started[report.Requests[i].ID] = true
	}
	prefilling := max(report.Running-len(report.Requests), 0)
	s.reservations.Observe(now, prefilling+report.Queued, prefilling, report.KVTokens+len(report.Requests)*typicalOutputTokens,
		func(id string) bool { return started[id] })
	report.PrefillTokens = s.reservations.PrefillTokens()
}

func (s *Sidecar) handleReserve(w http.ResponseWriter, r *http.Request) {
	var in Reservation
	err := json.NewDecoder(io.LimitReader(r.Body, maxReservationBytes)).Decode(&in)
	if err != nil || in.RequestID == "" || len(in.RequestID) > maxRequestIDBytes || in.PromptTokens < 0 || in.KVTokens < 0 ||
		in.PromptTokens > maxReservedTokens || in.KVTokens > maxReservedTokens {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// Encode fails only if the client has disconnected.
	_ = json.NewEncoder(w).Encode(s.reserveAwaiting(r.Context(), &in))
}

// reserve grants a reservation if the engine is reachable, does not leave, and is within the
// limits of the reservation. A grant within ColdLimit alone does not need a reachable engine.
func (s *Sidecar) reserve(in *Reservation) ReservationResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	result := ReservationResult{ColdMillis: s.cold.remainingMillis(now, s.maxStatementAge())}
	hasReport := s.latest.Report != nil
	if !hasReport && !in.ColdOnly {
		return result
	}
	result.ColdDenied = !s.allowsCold(now, in.ColdLimit)
	result.Granted = !result.ColdDenied && (in.ColdOnly || !s.latest.Report.Draining &&
		s.reservations.TryReserve(now, &decision.ReservationRequest{
			ID: in.RequestID, PromptTokens: in.PromptTokens, KVTokens: in.KVTokens,
			MaxPrefillTokens: in.MaxPrefillTokens, MaxKVTokens: in.MaxKVTokens, Late: in.Late,
		}))
	if result.Granted {
		// Grants of a warm engine count too: it may turn cold within the span.
		s.cold.grants.Record(now)
		result.ColdGranted = in.ColdLimit != nil
	}
	if !hasReport {
		return result
	}
	report := *s.latest.Report
	report.PrefillTokens = s.reservations.PrefillTokens()
	report.Requests = nil
	report.ColdMillis = result.ColdMillis
	result.Report = &report
	return result
}

// Reserve reserves at the sidecar at addr.
func (c *Client) Reserve(ctx context.Context, addr string, in *Reservation) (ReservationResult, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return ReservationResult{}, errors.Wrap(err, "encode reservation")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+PathReserve, bytes.NewReader(body))
	if err != nil {
		return ReservationResult{}, errors.Wrap(err, "create reservation")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return ReservationResult{}, errors.Wrap(err, "reserve")
	}
	defer httpclient.CloseBody(resp)
	if resp.StatusCode != http.StatusOK {
		return ReservationResult{}, errors.Newf("reserve: status %d", resp.StatusCode)
	}
	var out ReservationResult
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxLineBytes)).Decode(&out); err != nil {
		return ReservationResult{}, errors.Wrap(err, "reserve: decode response")
	}
	return out, nil
}
