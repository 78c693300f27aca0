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
	// ID is a request, attempt or generation id, or the prefix of such an id.
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

// Match reports whether the query selects a decision.
func (q DecisionQuery) Match(d *telemetry.Decision) bool {
	if q.Kind != "" && d.Kind != q.Kind {
		return false
	}
	if q.Target != "" && d.Target != q.Target {
		return false
	}
	return q.ID == "" || hasIDPrefix(d.Request, q.ID) || hasIDPrefix(d.Attempt, q.ID) || hasIDPrefix(d.Generation, q.ID)
}

func hasIDPrefix(id, prefix string) bool { return strings.HasPrefix(id, prefix) }

// Decisions returns the recorded decisions of a process that the query selects,
// oldest first.
func (c *Client) Decisions(ctx context.Context, addr string, q DecisionQuery) ([]telemetry.Decision, error) {
	var out []telemetry.Decision
	err := c.exchange(ctx, http.MethodGet, addr, PathDecisions+"?"+q.Values().Encode(), nil, &out)
	return out, err
}
