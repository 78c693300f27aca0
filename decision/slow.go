package decision

import (
	"sort"
	"time"
)

// SlowLimits define when a target counts as slow.
type SlowLimits struct {
	// Enter and Leave are ratios of a target's latency to the median latency of all
	// targets of its kind. A target becomes slow above Enter and recovers below
	// Leave.
	Enter float64
	Leave float64
	// MinLatency is the latency below which no target becomes slow and every sample
	// of a slow target is good.
	MinLatency time.Duration
	// MinTargets is the number of targets of one kind below which none becomes slow.
	MinTargets int
	// ProbePeriod is the time between probes of a slow target.
	ProbePeriod time.Duration
	// RecoverySamples is the number of consecutive good samples, with a latency
	// below MinLatency or a ratio below Leave, after which a target is no longer
	// slow.
	RecoverySamples int
}

// DefaultSlowLimits returns limits that healthy targets with different batch
// sizes do not reach.
func DefaultSlowLimits() SlowLimits {
	return SlowLimits{
		Enter: 3, Leave: 2, MinLatency: 5 * time.Millisecond, MinTargets: 3, ProbePeriod: 2 * time.Second, RecoverySamples: 3,
	}
}

// LatencySample is a target's measured inter-token latency, or the latency per
// call of a target that serves a plain service. The agent measures it on the
// target's VM, so it does not include network latency.
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

// slowTarget is the state of a target that counts as slow.
type slowTarget struct {
	// goodSamples is the number of consecutive good samples.
	goodSamples int
	// measuredAt is the time of the newest sample, so that a repeated sample does
	// not count.
	measuredAt time.Time
	nextProbe  time.Time
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
	for _, sample := range samples {
		if s := d.nextState(sample, median, len(samples)); s != nil {
			states[sample.VM] = s
			slow[sample.VM] = true
		}
	}
	d.slow = states
	return slow
}

// nextState returns a target's state after a sample, or nil if the target is
// not slow.
func (d *SlowDetector) nextState(sample LatencySample, median time.Duration, peers int) *slowTarget {
	s := d.slow[sample.VM]
	if sample.Latency == 0 || median == 0 {
		return s
	}
	ratio := float64(sample.Latency) / float64(median)
	if s == nil {
		if peers < d.limits.MinTargets || sample.Latency < d.limits.MinLatency || ratio <= d.limits.Enter {
			return nil
		}
		return &slowTarget{measuredAt: sample.ReportedAt, nextProbe: sample.ReportedAt.Add(d.limits.ProbePeriod)}
	}
	if !sample.ReportedAt.After(s.measuredAt) {
		return s
	}
	s.measuredAt = sample.ReportedAt
	s.goodSamples++
	if sample.Latency >= d.limits.MinLatency && ratio >= d.limits.Leave {
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
	for _, sample := range samples {
		if sample.Latency > 0 {
			latencies = append(latencies, sample.Latency)
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
