package decision

import "time"

// Probe is one reservation to ask for.
type Probe struct {
	// Target is an index into the targets.
	Target int
	// After is the delay from the start, if no grant came before.
	After time.Duration
}

// ProbeLimits bound the reservations of one request.
type ProbeLimits struct {
	// Count is the largest number of reservations.
	Count int
	// Patience is the wait at targets of the own region before another one is
	// asked too.
	Patience time.Duration
	// Crossing is the round trip to another region: work goes there only if the
	// wait at home has exceeded it.
	Crossing time.Duration
}

// DefaultProbeLimits returns the limits for regions 30 ms apart.
func DefaultProbeLimits() ProbeLimits {
	return ProbeLimits{Count: 3, Patience: 5 * time.Millisecond, Crossing: 60 * time.Millisecond}
}

// Probes plans the reservations of a request from the best target on. Targets
// of another region are asked after those at home have had the time of a
// crossing; if there is no target at home they are asked at once.
func (r *Router) Probes(choice Choice, targets []Target, limits ProbeLimits) []Probe {
	var probes []Probe
	var after time.Duration
	away := false
	for _, i := range choice.Order {
		if len(probes) >= limits.Count {
			break
		}
		if targets[i].Region != r.region && !away {
			away = true
			// The last of the reservations is for the other region.
			if len(probes) > 0 {
				after = max(after, limits.Crossing)
			}
		}
		probes = append(probes, Probe{Target: i, After: after})
		after += limits.Patience
	}
	return probes
}
