package peer

import (
	"context"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/quarantine"
)

// AtMostOnce holds the properties of a call that may run at most once. Only the
// agent process that Call.Incarnation names may run the call. It remembers the
// call's id, so that a repeated message gets the result of the first.
type AtMostOnce struct {
	// Key is the digest of the caller's idempotency key.
	Key string `json:"key"`
	// Fingerprint is the digest of the call's content.
	Fingerprint string `json:"fingerprint"`
	// AgentUptimeMillis is the uptime of the agent process when the sender chose it
	// or, for an issued key, when the key was issued. The call may start only within
	// StartWithinMillis after that time.
	AgentUptimeMillis int64 `json:"seen_ms"`
	StartWithinMillis int64 `json:"fresh_ms"`
}

// OutcomeQuery requests the outcome of a call that may run at most once. If the
// call has not reached the agent after a short wait, the agent withdraws the call,
// which then never starts.
type OutcomeQuery struct {
	// ID identifies the call. If ID is empty, the agent looks up Key instead and
	// withdraws nothing.
	ID  string `json:"id,omitempty"`
	Key string `json:"key,omitempty"`
	// OnlyCall, in a query by Key, is the ID of the only call that the agent may start with the
	// key from now on, unless it has one already. Such a query names the process by its
	// Incarnation, and the state is CallUnknown at another one.
	OnlyCall string `json:"only_call,omitempty"`
	// Incarnation and AgentUptimeMillis are those of the call: the agent process to
	// which it was sent and the uptime of that process when it was chosen.
	Incarnation       string `json:"incarnation,omitempty"`
	AgentUptimeMillis int64  `json:"seen_ms,omitempty"`
	// WaitMillis limits how long the agent delays its response until the call ends.
	WaitMillis int64 `json:"wait_ms"`
}

// CallState is the state of a call at an agent.
type CallState string

// The states of a call.
const (
	// CallWithdrawn means that the call did not run and will not run later.
	CallWithdrawn CallState = "withdrawn"
	// CallRunning means that the call is queued or running.
	CallRunning CallState = "running"
	// CallEnded means that the call has ended and Reply is set.
	CallEnded CallState = "ended"
	// CallUnknown means that this process has no record of the call, either
	// because the call was sent to another process or because the call is older
	// than the retention of records.
	CallUnknown CallState = "unknown"
)

// Outcome answers an OutcomeQuery. Reply is set if the call has ended.
type Outcome struct {
	ID    string    `json:"id"`
	State CallState `json:"fate"`
	Reply *Reply    `json:"reply,omitempty"`
	// Fingerprint is the digest of the call's content.
	Fingerprint string `json:"fingerprint,omitempty"`
}

// Outcome requests the outcome of a call from an agent.
func (c *Client) Outcome(ctx context.Context, addr string, q OutcomeQuery) (Outcome, error) {
	var out Outcome
	if err := c.exchange(ctx, http.MethodPost, addr, PathOutcome, q, &out); err != nil {
		return Outcome{}, err
	}
	if out.Reply != nil {
		if err := out.Reply.CheckHead(); err != nil {
			return Outcome{}, errors.Wrap(err, "outcome of a call")
		}
	}
	return out, nil
}

// SendMarks sends quarantine marks to an entry.
func (c *Client) SendMarks(ctx context.Context, addr string, marks []quarantine.Mark) error {
	return c.exchange(ctx, http.MethodPost, addr, PathMarks, marks, nil)
}

// issuedPrefix is the prefix of the text of all issued keys.
const issuedPrefix = "qk1" + idSeparator

// IssuedKey is an idempotency key that an entry issues to a caller. It names the
// only agent process that may run the call, so the call needs no claim in the
// store.
type IssuedKey struct {
	VM          string
	Incarnation string
	// AgentUptimeMillis is the uptime of the agent process when the key was issued.
	AgentUptimeMillis int64
	Random            string
}

// String returns the key in the form that callers send.
func (k IssuedKey) String() string {
	parts := []string{strconv.FormatInt(k.AgentUptimeMillis, 10), k.Incarnation, k.Random, k.VM}
	return issuedPrefix + strings.Join(parts, idSeparator)
}

// ParseIssuedKey parses a caller's key. It returns false if the key is not an
// issued key.
func ParseIssuedKey(text string) (IssuedKey, bool) {
	rest, ok := strings.CutPrefix(text, issuedPrefix)
	if !ok {
		return IssuedKey{}, false
	}
	const numParts = 4
	parts := strings.SplitN(rest, idSeparator, numParts)
	if len(parts) != numParts {
		return IssuedKey{}, false
	}
	uptimeMillis, err := strconv.ParseInt(parts[0], 10, 64)
	if err != nil || uptimeMillis < 0 || parts[1] == "" || parts[2] == "" || parts[3] == "" {
		return IssuedKey{}, false
	}
	return IssuedKey{AgentUptimeMillis: uptimeMillis, Incarnation: parts[1], Random: parts[2], VM: parts[3]}, true
}
