package peer

import (
	"context"
	"net/http"
	"strconv"
	"strings"

	"github.com/quetzalglade/quetzalglade/quarantine"
)

// Once marks a call that may run at most once. The agent process that the call
// names remembers its id, so that a repeated message joins the first.
type Once struct {
	// Key is the digest of the caller's key.
	Key string `json:"key"`
	// Fingerprint is the digest of the call's content.
	Fingerprint string `json:"fingerprint"`
	// SeenMillis is the uptime of the agent process when it was chosen. The
	// call may begin only within FreshMillis of it, however late it arrives.
	SeenMillis  int64 `json:"seen_ms"`
	FreshMillis int64 `json:"fresh_ms"`
}

// OutcomeQuery asks an agent what became of a call that may run at most once.
// A call that the agent has not heard of by the end of the wait is withdrawn:
// it never begins.
type OutcomeQuery struct {
	// ID names the call. If it is empty, Key is looked up instead and nothing
	// is withdrawn.
	ID          string `json:"id,omitempty"`
	Key         string `json:"key,omitempty"`
	Incarnation string `json:"incarnation,omitempty"`
	SeenMillis  int64  `json:"seen_ms,omitempty"`
	WaitMillis  int64  `json:"wait_ms"`
}

// CallFate is what an agent knows of a call.
type CallFate string

// The fates of a call.
const (
	// FateWithdrawn means that the call did not run and never will.
	FateWithdrawn CallFate = "withdrawn"
	// FateRunning means that it waits or runs.
	FateRunning CallFate = "running"
	// FateEnded means that Reply holds its answer.
	FateEnded CallFate = "ended"
	// FateUnknown means that this process cannot tell: it is another one than
	// the call was sent to, or its memory does not reach back far enough.
	FateUnknown CallFate = "unknown"
)

// Outcome answers an OutcomeQuery.
type Outcome struct {
	ID    string   `json:"id"`
	Fate  CallFate `json:"fate"`
	Reply *Reply   `json:"reply,omitempty"`
	// Fingerprint is that of the call's content.
	Fingerprint string `json:"fingerprint,omitempty"`
}

// Outcome asks an agent what became of a call.
func (c *Client) Outcome(ctx context.Context, addr string, q OutcomeQuery) (Outcome, error) {
	var out Outcome
	err := c.exchange(ctx, http.MethodPost, addr, PathOutcome, q, &out)
	return out, err
}

// Marks tells an entry of contents that stopped engines.
func (c *Client) Marks(ctx context.Context, addr string, marks []quarantine.Mark) error {
	return c.exchange(ctx, http.MethodPost, addr, PathMarks, marks, nil)
}

// issuedPrefix starts every issued key.
const issuedPrefix = "qk1" + idSeparator

// IssuedKey is a key that names the one agent process that may run the call. It
// needs no entry in the store.
type IssuedKey struct {
	VM          string
	Incarnation string
	// SeenMillis is the uptime of the agent process when the key was issued.
	SeenMillis int64
	Random     string
}

// String returns the key as callers send it.
func (k IssuedKey) String() string {
	parts := []string{strconv.FormatInt(k.SeenMillis, 10), k.Incarnation, k.Random, k.VM}
	return issuedPrefix + strings.Join(parts, idSeparator)
}

// ParseIssuedKey reports whether a caller's key is an issued one, and its
// parts.
func ParseIssuedKey(text string) (IssuedKey, bool) {
	rest, ok := strings.CutPrefix(text, issuedPrefix)
	if !ok {
		return IssuedKey{}, false
	}
	const parts = 4
	p := strings.SplitN(rest, idSeparator, parts)
	if len(p) != parts {
		return IssuedKey{}, false
	}
	seen, err := strconv.ParseInt(p[0], 10, 64)
	if err != nil || seen < 0 || p[1] == "" || p[2] == "" || p[3] == "" {
		return IssuedKey{}, false
	}
	return IssuedKey{SeenMillis: seen, Incarnation: p[1], Random: p[2], VM: p[3]}, true
}
