// Package sidecar implements the process that runs beside a model engine. It
// polls the engine's load report, which is up to date only on the engine's own
// VM, and streams it to the gateways. A gateway also works without sidecars,
// from the load of its own requests.
package sidecar

import (
	"fmt"
	"time"
)

// RefusedError is the error of a poll that the engine turned away.
type RefusedError struct {
	Status int
	// Leaving is set if the engine states that it stops soon.
	Leaving bool
	// RetryAfter is how long the engine wants no requests from this process, 0 if not
	// stated.
	RetryAfter time.Duration
}

// Error implements the error interface.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused with status %d, retry after %v", e.Status, e.RetryAfter)
}

// Report is an engine's load report at one moment.
type Report struct {
	// StartMillis is the engine's start time in Unix milliseconds, 0 if unknown.
	StartMillis int64 `json:"born,omitempty"`
	// Draining is set if the engine accepts no new requests. LeavesInMillis is
	// the time in milliseconds until a draining engine stops, 0 if unknown.
	Draining       bool  `json:"draining,omitempty"`
	LeavesInMillis int64 `json:"leaves_in_ms,omitempty"`
	// Running is the number of requests in prefill or decode, Queued the number
	// of requests that wait for that.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// PrefillTokens is the number of prompt tokens that the engine has to prefill, including
	// those of requests that are on their way to it; 0 if unknown.
	PrefillTokens int `json:"backlog,omitempty"`
	// KVTokens is the used part of the KV cache, in tokens, without tokens that
	// can be freed at once.
	KVTokens int `json:"memory_used"`
	// KVCopyTokens is the part of KVTokens that holds copies of the KV cache of
	// requests at other engines. KVCapacityTokens is the size of the KV cache.
	KVCopyTokens     int `json:"memory_copies,omitempty"`
	KVCapacityTokens int `json:"memory_total"`
	// BaselineSlowdown is the factor by which the engine's work takes longer than
	// at the reference speed, without the influence of other load on its host;
	// 0 if unknown.
	BaselineSlowdown float64 `json:"usual,omitempty"`
	// ColdMillis is how long the engine stays cold, in milliseconds; nil if unknown.
	ColdMillis *int64 `json:"cold_ms,omitempty"`
	// Requests are the running requests that have generated an event.
	Requests []RunningRequest `json:"runs,omitempty"`
}

// RunningRequest is one running request of an engine that has generated an
// event.
type RunningRequest struct {
	ID string `json:"request"`
	// KVTokens is the number of the request's tokens in the KV cache, Events the
	// number of events generated.
	KVTokens int `json:"tokens"`
	Events   int `json:"events"`
}
