package decision

import (
	"testing"

	"pgregory.net/rapid"
)

// TestLengthBucketsPartitionLengths guards against lengths outside their bucket and
// against gaps between buckets, as errors in the arithmetic of octaves cause them.
func TestLengthBucketsPartitionLengths(t *testing.T) {
	last := -1
	for n := range maxLength {
		i := lengthBucket(n)
		if n < bucketStart(i) || n >= bucketStart(i+1) {
			t.Fatalf("length %d is outside its bucket %d [%d, %d)", n, i, bucketStart(i), bucketStart(i+1))
		}
		if i != last && i != last+1 {
			t.Fatalf("bucket index of length %d jumps from %d to %d", n, last, i)
		}
		last = i
	}
}

// TestSurvivalIsMonotonic checks that, for any observations, survival is within
// [0, 1], does not increase with the horizon and is 0 from the limit on.
func TestSurvivalIsMonotonic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewLengthModel()
		for _, n := range rapid.SliceOf(rapid.IntRange(0, maxLength)).Draw(t, "lengths") {
			m.Observe("s", "w", n)
		}
		generated := rapid.IntRange(0, maxLength).Draw(t, "generated")
		limit := rapid.IntRange(1, maxLength).Draw(t, "limit")
		last := 1.0
		for _, h := range horizons {
			p := m.Survival("s", "w", generated, h, limit)
			if p < 0 || p > last {
				t.Fatalf("survival for %d further tokens is %v, at the previous horizon %v", h, p, last)
			}
			if h > 0 && generated+h >= limit && p != 0 {
				t.Fatalf("survival beyond the limit is %v, want 0", p)
			}
			last = p
		}
		if mean := m.Mean("s", "w", limit); mean < 1 || mean > float64(limit)+1 {
			t.Fatalf("mean %v is out of range for limit %d", mean, limit)
		}
	})
}

// TestLengthModelFallsBack guards against wrong estimates for workspaces and
// services with few observations, which must use the more general distributions,
// and against a survival near 0 beyond all observed lengths.
func TestLengthModelFallsBack(t *testing.T) {
	m := NewLengthModel()
	const limit = 10_000
	priorMean := m.Mean("guide", "new", limit)
	for range 200 {
		m.Observe("guide", "known", 2000)
		m.Observe("triage", "known", 10)
	}
	tests := []struct {
		name               string
		service, workspace string
		low, high          float64
	}{
		{"observations of the workspace", "guide", "known", 1500, 2500},
		{"service of a new workspace", "guide", "new", 1500, 2500},
		{"short service of a new workspace", "triage", "new", 5, 200},
		{"all work for a new service", "quote", "new", 300, 1500},
	}
	for _, tt := range tests {
		if got := m.Mean(tt.service, tt.workspace, limit); got < tt.low || got > tt.high {
			t.Errorf("%s: mean %v, want %v to %v (without observations %v)", tt.name, got, tt.low, tt.high, priorMean)
		}
	}
	if p := m.Survival("triage", "known", 4000, 4000, limit); p < 0.3 {
		t.Errorf("survival far beyond all observed lengths is %v, want at least 0.3", p)
	}
}

// TestLengthModelAdaptsToShorterAnswers guards against estimates that stay too high
// because thousands of earlier observations outweigh those after a change.
func TestLengthModelAdaptsToShorterAnswers(t *testing.T) {
	m := NewLengthModel()
	for range 2000 {
		m.Observe("guide", "w", 5000)
	}
	for range 60 {
		m.Observe("guide", "w", 50)
	}
	if mean := m.Mean("guide", "w", 10_000); mean > 200 {
		t.Errorf("mean is %v after lengths changed to 50 for 60 observations, want at most 200", mean)
	}
}
