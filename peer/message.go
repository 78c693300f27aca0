// Package peer defines the messages that the processes of quetzalglade exchange
// and the client that sends them. Messages are JSON over HTTP, authenticated
// with a shared key. Streams carry one JSON object per line. Agents run beside an
// engine or a plain service on target VMs; entries send them the work of callers.
package peer

import (
	"strings"

	"github.com/quetzalglade/quetzalglade/internal/httphead"
	"github.com/quetzalglade/quetzalglade/quarantine"
	"github.com/quetzalglade/quetzalglade/result"
)

// Paths at which agents and entries serve other processes.
const (
	PathAttempts    = "/peer/v1/attempts"
	PathGenerations = "/peer/v1/generations/"
	PathCalls       = "/peer/v1/calls"
	PathMarks       = "/peer/v1/marks"
	PathOutcome     = "/peer/v1/calls/outcome"
	PathRevoke      = "/peer/v1/revoke"
	PathState       = "/peer/v1/state"
	PathDecisions   = "/peer/v1/decisions"
	PathDrain       = "/peer/v1/drain"
	PathConfig      = "/peer/v1/config"
)

// Load is an agent's load report for its target at the time of sending.
type Load struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// QueuedPromptTokens is the number of prompt tokens of the queued requests.
	QueuedPromptTokens int `json:"queued_prompt"`
	// KVTokens and KVCapacityTokens are the used size and the capacity of the
	// target's KV cache in tokens; KVCapacityTokens is 0 for plain services.
	KVTokens         int `json:"used_tokens"`
	KVCapacityTokens int `json:"total_tokens"`
	// Slots is the concurrency limit that the agent applies now.
	Slots int `json:"slots"`
	// EngineRunning and EngineWaiting are the numbers of requests in the engine's last
	// load report, which lags behind.
	EngineRunning int `json:"engine_running,omitempty"`
	EngineWaiting int `json:"engine_waiting,omitempty"`
	// LatencyMicros is the recent median inter-token latency, or the median
	// latency of calls for plain services.
	LatencyMicros int64 `json:"cadence_us"`
	// WaitMicros is the expected queueing time of new work, ShortWaitMicros that of
	// new work with short answers.
	WaitMicros      int64 `json:"wait_us,omitempty"`
	ShortWaitMicros int64 `json:"short_wait_us,omitempty"`
	// Draining is the agent's State.Draining. It is part of the load, which every reply
	// carries, so that a drain is known before the next heartbeat.
	Draining bool `json:"draining,omitempty"`
}

// State is the state that an agent or entry reports to other processes.
type State struct {
	VM          string `json:"vm"`
	Datacentre  string `json:"datacentre"`
	Region      string `json:"region"`
	Incarnation string `json:"incarnation"`
	Role        string `json:"role"`
	Draining    bool   `json:"draining"`
	// Ready is false while the agent's target does not answer. For an entry, it is
	// false before the entry can accept requests and while it stops.
	Ready bool `json:"ready"`
	// Models are the loaded models and adapters, "model" or "model+adapter".
	Models []string `json:"models,omitempty"`
	// Marks are the quarantine marks that the agent shares, as returned by
	// quarantine.Table.MarksToSend.
	Marks         []quarantine.Mark `json:"marks,omitempty"`
	ConfigVersion int64             `json:"config_version"`
	Load          Load              `json:"load"`
	// UptimeMillis is the time since the agent process started.
	UptimeMillis int64 `json:"uptime_ms,omitempty"`
	// UsableTargets is the number of targets to which an entry may send work.
	UsableTargets int `json:"usable_targets,omitempty"`
	// CrossRegionBytes is the estimated number of bytes that an entry exchanged with
	// targets in other regions since its start.
	CrossRegionBytes int64 `json:"link_bytes,omitempty"`
}

// Attempt requests one generation from an agent. The sender chooses the ids of
// the attempt and the generation; they are unique.
type Attempt struct {
	ID         string `json:"id"`
	Request    string `json:"request"`
	Generation string `json:"generation"`
	Workspace  string `json:"workspace"`
	Service    string `json:"service"`
	Model      string `json:"model"`
	Adapter    string `json:"adapter,omitempty"`
	Priority   int    `json:"priority"`
	Weight     int    `json:"weight"`
	Short      bool   `json:"short,omitempty"`
	Prompt     string `json:"prompt"`
	// PromptTokens is the sender's estimate.
	PromptTokens int `json:"prompt_tokens"`
	MaxTokens    int `json:"max_tokens"`
	// Seed fixes the engine's sampling. With a seed, a generation whose target fails
	// can be run again at another one and compared with the delivered tokens.
	Seed *int64 `json:"seed,omitempty"`
	// QueueMillis limits the time in the agent's queue, ResumeMillis the time for
	// which the generation continues without a connected stream, and TimeoutMillis
	// the total time of the generation.
	QueueMillis   int64  `json:"queue_ms"`
	ResumeMillis  int64  `json:"resume_ms"`
	TimeoutMillis int64  `json:"timeout_ms"`
	Fingerprint   string `json:"fingerprint"`
	ConfigVersion int64  `json:"config_version"`
	// Mark is the sender's quarantine mark for the content, if any.
	Mark *quarantine.Mark `json:"mark,omitempty"`
}

// Frame is one line of a generation's stream. End or Error is set in the last
// frame, which may also have Tokens. A keep-alive frame has none of the three.
type Frame struct {
	// Generation is the id of the generation, so that the receiver detects frames
	// of another stream.
	Generation string `json:"generation"`
	// Offset is the index of the first element of Tokens in the generation,
	// starting at 0.
	Offset int           `json:"offset,omitempty"`
	Tokens []string      `json:"tokens,omitempty"`
	End    *End          `json:"end,omitempty"`
	Error  *result.Error `json:"error,omitempty"`
	// Admitted is set in all frames after the attempt was passed to the engine.
	Admitted bool  `json:"admitted,omitempty"`
	Load     *Load `json:"load,omitempty"`
}

// End is the end marker of a complete generation.
type End struct {
	// Reason is the engine's finish reason: "stop" or "length".
	Reason string `json:"reason"`
	// Tokens is the total number of generated tokens, which the receiver checks.
	Tokens int `json:"tokens"`
	// PromptTokens is the engine's count of the tokens in the prompt.
	PromptTokens int `json:"prompt_tokens"`
}

// Call requests one call to the plain service of an agent.
type Call struct {
	ID string `json:"id"`
	// Incarnation identifies the agent process to which the call is addressed.
	Incarnation string `json:"incarnation"`
	Request     string `json:"request"`
	Workspace   string `json:"workspace"`
	Service     string `json:"service"`
	Priority    int    `json:"priority"`
	Weight      int    `json:"weight"`
	Method      string `json:"method"`
	// Path is the path and query below the service's root.
	Path        string            `json:"path"`
	Header      map[string]string `json:"header,omitempty"`
	Body        []byte            `json:"body,omitempty"`
	Idempotent  bool              `json:"idempotent"`
	QueueMillis int64             `json:"queue_ms"`
	// TimeoutMillis limits the time of the call at the service.
	TimeoutMillis int64 `json:"timeout_ms"`
	ConfigVersion int64 `json:"config_version"`
	// AtMostOnce is set for a call that may run at most once, nil for other calls.
	AtMostOnce *AtMostOnce `json:"once,omitempty"`
}

// Reply answers a Call. Exactly one of Error and Status is set.
type Reply struct {
	ID     string            `json:"id"`
	Status int               `json:"status,omitempty"`
	Header map[string]string `json:"header,omitempty"`
	Body   []byte            `json:"body,omitempty"`
	Error  *result.Error     `json:"error,omitempty"`
	Load   *Load             `json:"load,omitempty"`
}

// CheckHead returns an error, with cause httphead.ErrInvalid, if the reply holds no Error and
// its Status or Header cannot be those of a final HTTP response.
func (r *Reply) CheckHead() error {
	if r.Error != nil {
		return nil
	}
	return httphead.CheckParsed(r.Status, r.Header)
}

// Revoke withdraws an attempt, a call or a reservation, which may not have arrived
// yet.
type Revoke struct {
	ID string `json:"id"`
	// Incarnation identifies the agent process to which the work was sent. A later
	// process at the same address has no record of the work.
	Incarnation string `json:"incarnation"`
	// Cancel also ends a generation that has started. Calls that have started
	// run to completion.
	Cancel bool `json:"cancel,omitempty"`
	// Generation is the id of the generation that Cancel ends, empty for other work. An agent
	// without a record of the work ends the generation at its engine.
	Generation string `json:"generation,omitempty"`
}

// Revoked answers a Revoke. If Started is false, the work has not started and will
// not start later, because the agent remembers the id.
type Revoked struct {
	ID      string `json:"id"`
	Started bool   `json:"began"`
	// Stopped is set if the work does not run and will not start: it has not started, or its
	// engine has confirmed that it has ended, or its engine does not accept connections. Agents
	// of earlier builds do not set it.
	Stopped bool `json:"stopped,omitempty"`
	// Unknown is set if the agent has no record of the work. Started is then meaningless.
	Unknown bool `json:"unknown,omitempty"`
}

// Drain makes an agent stop accepting new work or, if On is false, accept it again.
type Drain struct {
	On bool `json:"on"`
}

// idSeparator separates the parts of generation ids and issued keys. A VM name may
// contain the separator, because the other parts never do.
const idSeparator = "."

// GenerationID returns the id of a generation, built from the VM and the
// incarnation of the agent that runs it and a random part.
func GenerationID(vm, incarnation, random string) string {
	return "gen-" + vm + idSeparator + incarnation + idSeparator + random
}

// ParseGenerationID returns the VM and incarnation in a generation id. It
// returns false if the id is malformed.
func ParseGenerationID(id string) (vm, incarnation string, ok bool) {
	rest, ok := strings.CutPrefix(id, "gen-")
	if !ok {
		return "", "", false
	}
	last := strings.LastIndex(rest, idSeparator)
	if last <= 0 || last == len(rest)-1 {
		return "", "", false
	}
	middle := strings.LastIndex(rest[:last], idSeparator)
	if middle <= 0 || middle == last-1 {
		return "", "", false
	}
	return rest[:middle], rest[middle+1 : last], true
}

// ModelKey returns the name under which engines list a model with an optional
// adapter.
func ModelKey(model, adapter string) string {
	if adapter == "" {
		return model
	}
	return model + "+" + adapter
}
