package standin

import (
	"encoding/json"
	"net/http"
	"slices"
)

// Order is a control request to an engine: to load or unload a model, or to take a
// role.
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

// orderState is the state of an engine that orders change, with the applied orders,
// oldest first.
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

func (s *orderState) apply(o Order) {
	s.applied = append(s.applied, o)
	switch o.Action {
	case "load":
		if !slices.Contains(s.models, o.Model) {
			s.models = append(s.models, o.Model)
		}
	case "unload":
		s.models = slices.DeleteFunc(s.models, func(m string) bool { return m == o.Model })
	case "role":
		s.role = o.Role
	}
}
