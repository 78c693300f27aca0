package peer

import (
	"context"
	"net/http"
)

// PathReservations is the path at which agents accept reservations.
const PathReservations = "/peer/v1/reservations"

// Reserve requests capacity for an attempt or call from an agent. The agent
// answers when it has reserved the capacity; the attempt or call is then sent
// with the same id. A reservation by itself runs nothing, and Revoke withdraws
// it.
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
	// QueueMillis limits the time in the agent's queue.
	QueueMillis int64 `json:"queue_ms"`
}

// Reservation confirms a reservation. The agent keeps the capacity reserved for a
// short time only.
type Reservation struct {
	ID   string `json:"id"`
	Load Load   `json:"load"`
}

// Reserve requests capacity from an agent and waits until the agent grants or
// refuses the reservation.
func (c *Client) Reserve(ctx context.Context, addr string, msg *Reserve) (Reservation, error) {
	var out Reservation
	err := c.exchange(ctx, http.MethodPost, addr, PathReservations, msg, &out)
	return out, err
}
