package standin

import (
	"encoding/json"
	"net/http"
	"slices"
)

// Order is a control request to an engine.
type Order struct {
	// Fencing is the fencing number of the sender. Unless IgnoreFencing is set,
	// the engine refuses an order whose number is lower than the highest that it
	// has received.
	Fencing int64 `json:"fencing"`
	// Action is "load", "unload" or "role".
	Action string `json:"action"`
	Model  string `json:"model,omitempty"`
	Role   string `json:"role,omitempty"`
}

type orderState struct {
	models         []string
	role           string
	highestFencing int64
	applied        []Order
}

// Orders returns the applied orders, oldest first.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders.applied)
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		http.Error(w, "bad order", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Fencing < e.orders.highestFencing && !e.opts.IgnoreFencing {
		http.Error(w, "fencing number is old", http.StatusConflict)
		return
	}
	e.orders.highestFencing = max(e.orders.highestFencing, o.Fencing)
	e.orders.apply(o)
	writeJSON(w, o)
}

func (l *orderState) apply(o Order) {
	l.applied = append(l.applied, o)
	switch o.Action {
	case "load":
		if !slices.Contains(l.models, o.Model) {
			l.models = append(l.models, o.Model)
		}
	case "unload":
		l.models = slices.DeleteFunc(l.models, func(m string) bool { return m == o.Model })
	case "role":
		l.role = o.Role
	}
}
