package decision

import (
	"sort"
	"time"
)

// SlowLimits define when a target counts as slow.
type SlowLimits struct {
	// Enter and Leave are ratios to the median latency of the peers. A target
	// becomes slow above Enter and recovers below Leave.
	Enter float64
	Leave float64
	// MinLatency is the latency below which no target becomes slow.
	MinLatency time.Duration
	// Peers is the minimum number of targets of a kind that can be compared.
	Peers int
	// ProbePeriod is the time between probes of a slow target.
	ProbePeriod time.Duration
	// RecoverySamples is the number of consecutive good samples after which a target is no
	// longer slow.
	RecoverySamples int
}

// DefaultSlowLimits returns limits that healthy targets with different batch
// sizes do not reach.
func DefaultSlowLimits() SlowLimits {
	return SlowLimits{
		Enter: 3, Leave: 2, MinLatency: 5 * time.Millisecond, Peers: 3, ProbePeriod: 2 * time.Second, RecoverySamples: 3,
	}
}

// LatencySample is a target's measured inter-token latency, or its latency per call. The
// agent measures it on the target's VM, so it does not include network latency.
type LatencySample struct {
	VM      string
	Latency time.Duration
	// ReportedAt is the time at which the sample was reported.
	ReportedAt time.Time
}

// SlowDetector detects targets of one kind that are much slower than their
// peers. One sample makes a target slow, and several consecutive good samples
// make it normal again. Slow targets are probed periodically.
type SlowDetector struct {
	limits SlowLimits
	slow   map[string]*slowTarget
}

type slowTarget struct {
	goodSamples int
	measuredAt  time.Time
	nextProbe   time.Time
}

// NewSlowDetector returns a detector without slow targets.
func NewSlowDetector(limits SlowLimits) *SlowDetector {
	return &SlowDetector{limits: limits, slow: map[string]*slowTarget{}}
}

// Update processes the newest sample of each target and returns the VM names of
// the slow targets.
func (d *SlowDetector) Update(samples []LatencySample) map[string]bool {
	median := medianLatency(samples)
	states := make(map[string]*slowTarget, len(d.slow))
	slow := map[string]bool{}
	for _, p := range samples {
		if s := d.nextState(p, median, len(samples)); s != nil {
			states[p.VM] = s
			slow[p.VM] = true
		}
	}
	d.slow = states
	return slow
}

// nextState returns a target's state after a sample, or nil if the target is
// not slow.
func (d *SlowDetector) nextState(p LatencySample, median time.Duration, peers int) *slowTarget {
	s := d.slow[p.VM]
	if p.Latency == 0 || median == 0 {
		return s
	}
	ratio := float64(p.Latency) / float64(median)
	if s == nil {
		if peers < d.limits.Peers || p.Latency < d.limits.MinLatency || ratio <= d.limits.Enter {
			return nil
		}
		return &slowTarget{measuredAt: p.ReportedAt, nextProbe: p.ReportedAt.Add(d.limits.ProbePeriod)}
	}
	if !p.ReportedAt.After(s.measuredAt) {
		return s
	}
	s.measuredAt = p.ReportedAt
	s.goodSamples++
	if p.Latency >= d.limits.MinLatency && ratio >= d.limits.Leave {
		s.goodSamples = 0
	}
	if s.goodSamples >= d.limits.RecoverySamples {
		return nil
	}
	return s
}

// Probe reports whether a slow target is due for a probe. If so, it schedules
// the next one.
func (d *SlowDetector) Probe(vm string, now time.Time) bool {
	s := d.slow[vm]
	if s == nil || now.Before(s.nextProbe) {
		return false
	}
	s.nextProbe = now.Add(d.limits.ProbePeriod)
	return true
}

func medianLatency(samples []LatencySample) time.Duration {
	var latencies []time.Duration
	for _, p := range samples {
		if p.Latency > 0 {
			latencies = append(latencies, p.Latency)
		}
	}
	if len(latencies) == 0 {
		return 0
	}
	sort.Slice(latencies, func(i, j int) bool { return latencies[i] < latencies[j] })
	// For an even number of samples the lower of the two middle ones is used.
	// Otherwise, of two targets, the slow one would raise the median that it is
	// compared with.
	return latencies[(len(latencies)-1)/2]
}
