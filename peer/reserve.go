package peer

import (
	"context"
	"net/http"
)

// PathReservations is where agents take reservations.
const PathReservations = "/peer/v1/reservations"

// Reserve asks an agent for room for an attempt or call. The agent answers when
// it has room; the attempt or call is then sent under the same id. Until that
// happens nothing runs, and Revoke withdraws the reservation.
type Reserve struct {
	// ID is the id of the attempt or call.
	ID          string `json:"id"`
	Incarnation string `json:"incarnation"`
	Request     string `json:"request"`
	Workspace   string `json:"workspace"`
	Service     string `json:"service"`
	Priority    int    `json:"priority"`
	Weight      int    `json:"weight"`
	Short       bool   `json:"short,omitempty"`
	// PromptTokens is the sender's estimate.
	PromptTokens int `json:"prompt_tokens,omitempty"`
	MaxTokens    int `json:"max_tokens,omitempty"`
	// QueueMillis bounds the wait at the agent.
	QueueMillis int64 `json:"queue_ms"`
}

// Granted says that the agent keeps the room for a short time.
type Granted struct {
	ID   string `json:"id"`
	Load Load   `json:"load"`
}

// Reserve asks an agent for room and waits until it is granted or refused.
func (c *Client) Reserve(ctx context.Context, addr string, msg *Reserve) (Granted, error) {
	var out Granted
	err := c.exchange(ctx, http.MethodPost, addr, PathReservations, msg, &out)
	return out, err
}
