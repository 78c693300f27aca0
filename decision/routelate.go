package decision

import "time"

// PlannedReservation is one planned reservation request to a target. A reservation
// is granted once the target can start the work.
type PlannedReservation struct {
	// Target is an index into the targets.
	Target int
	// After is the delay since the first reservation request. The request is not
	// sent if a reservation was granted earlier.
	After time.Duration
}

// ReservationLimits limit the reservation requests that are sent for one request.
type ReservationLimits struct {
	// Count is the maximum number of reservation requests.
	Count int
	// Interval is the delay between the reservation requests.
	Interval time.Duration
	// CrossRegionDelay is the round trip time to another region. A target there is
	// asked only after the work has waited that long in its own region.
	CrossRegionDelay time.Duration
}

// DefaultReservationLimits returns limits for a latency of 30 ms between regions.
func DefaultReservationLimits() ReservationLimits {
	return ReservationLimits{Count: 3, Interval: 5 * time.Millisecond, CrossRegionDelay: 60 * time.Millisecond}
}

// BindsLate reports whether the work is bound late, that is to the first target that
// grants a reservation: the policy is PolicyLateBinding, the work is long, and it
// would wait even at the best target. Without a wait, the round trip of a
// reservation would only add latency.
func (r *Router) BindsLate(w Work, best *Target, limits ReservationLimits) bool {
	return r.policy == PolicyLateBinding && !w.Short && (best.Wait > limits.Interval || best.Queued > 0)
}

// PlanReservations plans the reservation requests for work, starting with the best
// target. If a target in the router's region is asked first, targets in other
// regions are asked only after the round trip time between regions; otherwise they
// are asked without that delay.
func (r *Router) PlanReservations(choice Choice, targets []Target, limits ReservationLimits) []PlannedReservation {
	var probes []PlannedReservation
	var delay time.Duration
	reachedOtherRegion := false
	for _, i := range choice.Order {
		if len(probes) >= limits.Count {
			break
		}
		if targets[i].Region != r.region && !reachedOtherRegion {
			reachedOtherRegion = true
			// A target in the router's region is asked first, so this reservation
			// request and the later ones are delayed by the round trip time.
			if len(probes) > 0 {
				delay = max(delay, limits.CrossRegionDelay)
			}
		}
		probes = append(probes, PlannedReservation{Target: i, After: delay})
		delay += limits.Interval
	}
	return probes
}
