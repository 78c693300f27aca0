package decision

import (
	"sort"
	"time"
)

// SlowLimits tell when a target counts as slow.
type SlowLimits struct {
	// Enter and Leave are the ratios to the median cadence of the peers above
	// which a target becomes slow and below which it recovers.
	Enter float64
	Leave float64
	// MinGap is the cadence below which no target is slow.
	MinGap time.Duration
	// Peers is the least number of targets of a kind to compare.
	Peers int
	// ProbePeriod is the time between requests that probe a slow target.
	ProbePeriod time.Duration
	// Good is the number of good measurements in a row that end slowness.
	Good int
}

// DefaultSlowLimits returns limits that the spread of batch sizes between
// healthy targets does not reach.
func DefaultSlowLimits() SlowLimits {
	return SlowLimits{
		Enter: 3, Leave: 2, MinGap: 5 * time.Millisecond, Peers: 3, ProbePeriod: 2 * time.Second, Good: 3,
	}
}

// Pace is a target's measured time between tokens, or of a call. The agent
// measures it beside the target, so links have no part in it.
type Pace struct {
	VM      string
	Cadence time.Duration
	// At is when the measurement was reported.
	At time.Time
}

// SlowDetector tells which targets of one kind are much slower than their
// peers. A target turns slow at one measurement and recovers after several good
// ones; in between it gets a probe from time to time.
type SlowDetector struct {
	limits SlowLimits
	slow   map[string]*slowTarget
}

type slowTarget struct {
	good  int
	at    time.Time
	probe time.Time
}

// NewSlowDetector returns a detector that knows no slow target.
func NewSlowDetector(limits SlowLimits) *SlowDetector {
	return &SlowDetector{limits: limits, slow: map[string]*slowTarget{}}
}

// Update takes the newest measurements of all targets in and returns the names
// of the slow ones.
func (d *SlowDetector) Update(paces []Pace) map[string]bool {
	median := medianCadence(paces)
	known := make(map[string]*slowTarget, len(d.slow))
	out := map[string]bool{}
	for _, p := range paces {
		if s := d.next(p, median, len(paces)); s != nil {
			known[p.VM] = s
			out[p.VM] = true
		}
	}
	d.slow = known
	return out
}

// next returns a target's state after a measurement, nil if it is not slow.
func (d *SlowDetector) next(p Pace, median time.Duration, peers int) *slowTarget {
	s := d.slow[p.VM]
	if p.Cadence == 0 || median == 0 {
		return s
	}
	ratio := float64(p.Cadence) / float64(median)
	if s == nil {
		if peers < d.limits.Peers || p.Cadence < d.limits.MinGap || ratio <= d.limits.Enter {
			return nil
		}
		return &slowTarget{at: p.At, probe: p.At.Add(d.limits.ProbePeriod)}
	}
	if !p.At.After(s.at) {
		return s
	}
	s.at = p.At
	s.good++
	if p.Cadence >= d.limits.MinGap && ratio >= d.limits.Leave {
		s.good = 0
	}
	if s.good >= d.limits.Good {
		return nil
	}
	return s
}

// Probe reports whether a slow target is due for a probe, and if so counts it
// as sent.
func (d *SlowDetector) Probe(vm string, now time.Time) bool {
	s := d.slow[vm]
	if s == nil || now.Before(s.probe) {
		return false
	}
	s.probe = now.Add(d.limits.ProbePeriod)
	return true
}

func medianCadence(paces []Pace) time.Duration {
	var known []time.Duration
	for _, p := range paces {
		if p.Cadence > 0 {
			known = append(known, p.Cadence)
		}
	}
	if len(known) == 0 {
		return 0
	}
	sort.Slice(known, func(i, j int) bool { return known[i] < known[j] })
	// With an even number the lower of the two keeps one slow target of two
	// from hiding itself.
	return known[(len(known)-1)/2]
}
