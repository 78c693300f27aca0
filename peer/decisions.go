package peer

import (
	"context"
	"net/http"
	"net/url"
	"strings"

	"github.com/quetzalglade/quetzalglade/telemetry"
)

// DecisionQuery selects recorded decisions. Empty fields match everything.
type DecisionQuery struct {
	// ID is a request, attempt or generation id, or a prefix of one.
	ID     string
	Kind   telemetry.DecisionKind
	Target string
}

// Values encodes the query for a URL.
func (q DecisionQuery) Values() url.Values {
	v := url.Values{}
	for name, value := range map[string]string{"id": q.ID, "kind": string(q.Kind), "target": q.Target} {
		if value != "" {
			v.Set(name, value)
		}
	}
	return v
}

// ParseDecisionQuery reads a query that Values encoded.
func ParseDecisionQuery(v url.Values) DecisionQuery {
	return DecisionQuery{ID: v.Get("id"), Kind: telemetry.DecisionKind(v.Get("kind")), Target: v.Get("target")}
}

// Match reports whether a decision is selected.
func (q DecisionQuery) Match(d *telemetry.Decision) bool {
	if q.Kind != "" && d.Kind != q.Kind {
		return false
	}
	if q.Target != "" && d.Target != q.Target {
		return false
	}
	return q.ID == "" || hasID(d.Request, q.ID) || hasID(d.Attempt, q.ID) || hasID(d.Generation, q.ID)
}

func hasID(recorded, wanted string) bool { return strings.HasPrefix(recorded, wanted) }

// Decisions asks a process for its recorded decisions, oldest first.
func (c *Client) Decisions(ctx context.Context, addr string, q DecisionQuery) ([]telemetry.Decision, error) {
	var out []telemetry.Decision
	err := c.exchange(ctx, http.MethodGet, addr, PathDecisions+"?"+q.Values().Encode(), nil, &out)
	return out, err
}
