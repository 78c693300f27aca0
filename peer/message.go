// Package peer defines the messages between the processes of quetzalglade and
// the client that sends them: HTTP with JSON, authenticated with a shared key.
// Streams are JSON objects, one a line.
package peer

import (
	"strings"

	"github.com/quetzalglade/quetzalglade/quarantine"
	"github.com/quetzalglade/quetzalglade/result"
)

// Paths of the agent's and the entry's interface for other processes.
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

// Load is an agent's exact account of its target at the time of sending.
type Load struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// QueuedPrompt is the number of prompt tokens that wait.
	QueuedPrompt int `json:"queued_prompt"`
	// UsedTokens and TotalTokens describe the target's memory in tokens;
	// TotalTokens is 0 for plain services.
	UsedTokens  int `json:"used_tokens"`
	TotalTokens int `json:"total_tokens"`
	// Slots is the concurrency that the agent allows now.
	Slots int `json:"slots"`
	// EngineRunning and EngineWaiting are the engine's own account, which lags.
	EngineRunning int `json:"engine_running,omitempty"`
	EngineWaiting int `json:"engine_waiting,omitempty"`
	// CadenceMicros is the recent median time between tokens or of a call.
	CadenceMicros int64 `json:"cadence_us"`
	// WaitMicros and ShortWaitMicros are the waits that the agent expects for
	// new long and short work.
	WaitMicros      int64 `json:"wait_us,omitempty"`
	ShortWaitMicros int64 `json:"short_wait_us,omitempty"`
}

// State is what an agent tells other processes of itself.
type State struct {
	VM          string `json:"vm"`
	Datacentre  string `json:"datacentre"`
	Region      string `json:"region"`
	Incarnation string `json:"incarnation"`
	Role        string `json:"role"`
	Draining    bool   `json:"draining"`
	// Ready is false while the target does not answer.
	Ready bool `json:"ready"`
	// Models are the loaded models and adapters, "model" or "model+adapter".
	Models []string `json:"models,omitempty"`
	// Marks are the contents that stopped engines, as the agent knows them.
	Marks         []quarantine.Mark `json:"marks,omitempty"`
	ConfigVersion int64             `json:"config_version"`
	Load          Load              `json:"load"`
	// UptimeMillis is the age of the agent process.
	UptimeMillis int64 `json:"uptime_ms,omitempty"`
	// UsableTargets is the number of targets that an entry may send work to.
	UsableTargets int `json:"usable_targets,omitempty"`
	// LinkBytes estimates what an entry exchanged with targets in other regions
	// since its start.
	LinkBytes int64 `json:"link_bytes,omitempty"`
}

// Attempt asks an agent to run one generation. Attempt and generation ids are
// chosen by the sender and are unique.
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
	// Seed fixes the engine's sampling; with a seed a lost generation can be
	// run again and verified.
	Seed *int64 `json:"seed,omitempty"`
	// QueueMillis bounds the wait at the agent; ResumeMillis how long the
	// generation goes on without a listener; TimeoutMillis its whole time.
	QueueMillis   int64  `json:"queue_ms"`
	ResumeMillis  int64  `json:"resume_ms"`
	TimeoutMillis int64  `json:"timeout_ms"`
	Fingerprint   string `json:"fingerprint"`
	ConfigVersion int64  `json:"config_version"`
	// Mark is what the sender holds against the content.
	Mark *quarantine.Mark `json:"mark,omitempty"`
}

// Frame is one line of a generation's stream. Exactly one of Tokens, End and
// Error is set, or none in a keep-alive.
type Frame struct {
	// Generation repeats the id, so that a crossed stream is detected.
	Generation string `json:"generation"`
	// Offset is the index of the first of Tokens, counted from 0.
	Offset int           `json:"offset,omitempty"`
	Tokens []string      `json:"tokens,omitempty"`
	End    *End          `json:"end,omitempty"`
	Error  *result.Error `json:"error,omitempty"`
	// Admitted is set once, when the engine was given the work.
	Admitted bool  `json:"admitted,omitempty"`
	Load     *Load `json:"load,omitempty"`
}

// End closes a complete generation.
type End struct {
	// Reason is the engine's finish reason: "stop" or "length".
	Reason string `json:"reason"`
	// Tokens is the total number of tokens, for the receiver to check.
	Tokens int `json:"tokens"`
	// PromptTokens is the engine's count of the prompt.
	PromptTokens int `json:"prompt_tokens"`
}

// Call asks an agent to make one call to its plain service.
type Call struct {
	ID string `json:"id"`
	// Incarnation is the agent process that the call is meant for.
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
	// TimeoutMillis bounds the call at the service.
	TimeoutMillis int64 `json:"timeout_ms"`
	ConfigVersion int64 `json:"config_version"`
	// Once is set for a call that may run at most once.
	Once *Once `json:"once,omitempty"`
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

// Revoke withdraws an attempt or call that may not have arrived yet.
type Revoke struct {
	ID string `json:"id"`
	// Incarnation is the agent process that the work was sent to. Another one
	// knows nothing of it.
	Incarnation string `json:"incarnation"`
	// Cancel also ends a generation that has begun. Calls that have begun are
	// carried through.
	Cancel bool `json:"cancel,omitempty"`
}

// Revoked answers Revoke. If Began is false the work has not started and,
// since the agent remembers the id, never will.
type Revoked struct {
	ID    string `json:"id"`
	Began bool   `json:"began"`
}

// Drain tells an agent to stop or to resume taking new work.
type Drain struct {
	On bool `json:"on"`
}

// idSeparator stands between the parts of a generation id. VM names that hold
// it are handled, since the other parts never do.
const idSeparator = "."

// GenerationID builds the id of a generation from the agent that holds it, the
// agent's incarnation and a random part.
func GenerationID(vm, incarnation, random string) string {
	return "gen-" + vm + idSeparator + incarnation + idSeparator + random
}

// ParseGenerationID returns the VM and incarnation that a generation id names.
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

// ModelKey names a model with an optional adapter as engines list it.
func ModelKey(model, adapter string) string {
	if adapter == "" {
		return model
	}
	return model + "+" + adapter
}
