// Package sidecar implements the process that runs beside a model engine. It
// polls the engine's load report, which is up to date only on the engine's own
// VM, and streams it to the gateways. A gateway also works without sidecars,
// from the load of its own requests.
package sidecar

// Report is an engine's load report at one moment.
type Report struct {
	// Born is the engine's start time in Unix milliseconds, 0 if unknown.
	Born int64 `json:"born,omitempty"`
	// Draining is set if the engine accepts no new requests. LeavesInMillis is
	// the time until a draining engine ends, 0 if unknown.
	Draining       bool  `json:"draining,omitempty"`
	LeavesInMillis int64 `json:"leaves_in_ms,omitempty"`
	Running        int   `json:"running"`
	Queued         int   `json:"queued"`
	// MemoryUsed is the part of the KV cache, in tokens, that cannot be freed
	// at once.
	MemoryUsed int `json:"memory_used"`
	// MemoryCopies is the part of the used tokens that holds copies of the KV
	// cache of requests at other engines.
	MemoryCopies int `json:"memory_copies,omitempty"`
	MemoryTotal  int `json:"memory_total"`
	// Usual is the engine's slowdown relative to an engine of full speed,
	// without the influence of other load on its host; 0 if unknown.
	Usual float64 `json:"usual,omitempty"`
	Runs  []Run   `json:"runs,omitempty"`
}

// Run is one running request of an engine.
type Run struct {
	Request string `json:"request"`
	// Tokens is the number of tokens in the KV cache, Events the number of
	// events generated.
	Tokens int `json:"tokens"`
	Events int `json:"events"`
}
