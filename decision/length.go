package decision

import (
	"math"
	"math/bits"
)

// Shape of a length histogram: each octave of lengths has lengthSubBuckets
// buckets of equal width.
const (
	lengthSubBits    = 4
	lengthSubBuckets = 1 << lengthSubBits
	lengthBuckets    = 226
	maxLength        = 1 << 17
)

// Parameters of the length model.
const (
	// lengthMemory is the number of observations after which an old one weighs
	// 1/e.
	lengthMemory = 2000.0
	// lengthShrink is the number of observations that a more general
	// distribution weighs in a more special one.
	lengthShrink = 8.0
	// unseenScale is the scale of the distribution that is assumed where
	// nothing has been observed, in tokens: P(L >= n) = unseenScale / n.
	unseenScale = 256.0
)

func lengthBucket(n int) int {
	n = min(max(n, 0), maxLength)
	if n < lengthSubBuckets {
		return n
	}
	e := bits.Len(uint(n)) - 1
	return (e-lengthSubBits+1)*lengthSubBuckets + (n>>(e-lengthSubBits))&(lengthSubBuckets-1)
}

// lengthEdge returns the lowest length of a bucket.
func lengthEdge(i int) int {
	if i < lengthSubBuckets {
		return i
	}
	return (lengthSubBuckets + i%lengthSubBuckets) << (i/lengthSubBuckets - 1)
}

// Parameters of the test for changed lengths. The rank of a length among those
// before it is uniform while nothing changes, so its mean over rankMemory
// observations stays near one half.
const (
	rankMemory    = 8.0
	rankTolerance = 0.3
	// changedFade multiplies the old counts at each observation while the ranks
	// say that lengths have changed.
	changedFade = 0.5
)

// lengthHistogram counts observed lengths; old counts fade, and fast once
// lengths have changed.
type lengthHistogram struct {
	count   float64
	buckets [lengthBuckets]float64
	// rank is the recent mean of the ranks, less one half.
	rank float64
}

func (h *lengthHistogram) observe(n int) {
	fade := 1 - 1/lengthMemory
	if h.count > 0 {
		h.rank += (h.rankOf(n) - 0.5 - h.rank) / rankMemory
	}
	if math.Abs(h.rank) > rankTolerance {
		fade = changedFade
	}
	for i := range h.buckets {
		h.buckets[i] *= fade
	}
	h.count = h.count*fade + 1
	h.buckets[lengthBucket(n)]++
}

// rankOf returns the part of earlier lengths below n, counting half of those
// alike.
func (h *lengthHistogram) rankOf(n int) float64 {
	i := lengthBucket(n)
	below := h.buckets[i] / 2
	for _, c := range h.buckets[:i] {
		below += c
	}
	return below / h.count
}

// lengthCurve is P(L >= lengthEdge(i)) for each bucket i.
type lengthCurve [lengthBuckets + 1]float64

// unseenCurve is scale-free: of a generation that has n tokens, half are
// expected to reach 2n.
func unseenCurve() *lengthCurve {
	var c lengthCurve
	for i := range lengthBuckets {
		c[i] = min(1, unseenScale/float64(max(lengthEdge(i), 1)))
	}
	return &c
}

// refine mixes what h has observed into the more general curve c.
func (c *lengthCurve) refine(h *lengthHistogram) *lengthCurve {
	var out lengthCurve
	tail := 0.0
	for i := lengthBuckets - 1; i >= 0; i-- {
		tail += h.buckets[i]
		out[i] = (tail + lengthShrink*c[i]) / (h.count + lengthShrink)
	}
	return &out
}

// at returns P(L >= n), where each length counts as the longest of its bucket.
func (c *lengthCurve) at(n int) float64 { return c[lengthBucket(n)] }

// survival returns the probability that a generation which has reached have
// tokens reaches further ones, where limit ends every generation.
func (c *lengthCurve) survival(have, further, limit int) float64 {
	if further <= 0 {
		return 1
	}
	if limit > 0 && have+further >= limit {
		return 0
	}
	reached := c.at(have)
	if reached <= 0 {
		return 0
	}
	return min(1, c.at(have+further)/reached)
}

// mean returns the expected length under a limit.
func (c *lengthCurve) mean(limit int) float64 {
	if limit <= 0 {
		limit = maxLength
	}
	sum := 0.0
	for i := range lengthBuckets - 1 {
		low, high := lengthEdge(i), min(lengthEdge(i+1), limit)
		if low >= limit {
			break
		}
		sum += float64(high-low) * (c[i] + c[i+1]) / 2
	}
	return max(sum, 1)
}

// LengthModel learns how long the answers of a service and workspace are. A
// workspace with few observations borrows from its service, a service from all
// work, and where nothing is known a heavy tail up to the caller's limit is
// assumed.
type LengthModel struct {
	histograms map[lengthKey]*lengthHistogram
	curves     map[lengthKey]*lengthCurve
}

// lengthKey names a distribution: of a workspace at a service, of a service
// with an empty workspace, of all work with both empty.
type lengthKey struct{ service, workspace string }

// maxLengthKeys bounds the distributions that are kept apart.
const maxLengthKeys = 4096

// NewLengthModel returns a model without observations.
func NewLengthModel() *LengthModel {
	return &LengthModel{histograms: map[lengthKey]*lengthHistogram{}, curves: map[lengthKey]*lengthCurve{}}
}

// Observe learns the length of a complete answer.
func (m *LengthModel) Observe(service, workspace string, tokens int) {
	m.observe(lengthKey{}, tokens)
	m.observe(lengthKey{service: service}, tokens)
	m.observe(lengthKey{service, workspace}, tokens)
	clear(m.curves)
}

func (m *LengthModel) observe(k lengthKey, tokens int) {
	h := m.histograms[k]
	if h == nil {
		if len(m.histograms) >= maxLengthKeys {
			return
		}
		h = &lengthHistogram{}
		m.histograms[k] = h
	}
	h.observe(tokens)
}

// Survival returns the probability that an answer which has reached have
// tokens reaches further ones under the caller's limit.
func (m *LengthModel) Survival(service, workspace string, have, further, limit int) float64 {
	return m.curve(service, workspace).survival(have, further, limit)
}

// Mean returns the expected length of a new answer under the caller's limit.
func (m *LengthModel) Mean(service, workspace string, limit int) float64 {
	return m.curve(service, workspace).mean(limit)
}

func (m *LengthModel) curve(service, workspace string) *lengthCurve {
	key := lengthKey{service, workspace}
	if c := m.curves[key]; c != nil {
		return c
	}
	c := unseenCurve()
	for _, k := range []lengthKey{{}, {service: service}, key} {
		if h := m.histograms[k]; h != nil {
			c = c.refine(h)
		}
	}
	m.curves[key] = c
	return c
}
