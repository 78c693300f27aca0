package decision

import (
	"math"
	"math/bits"
)

// Layout of a histogram of output lengths in tokens. Each length below
// lengthSubBuckets has its own bucket, and each octave above it has
// lengthSubBuckets buckets of equal width. Lengths above maxLength count as
// maxLength. lengthBuckets includes an empty bucket above that of maxLength.
const (
	lengthSubBits    = 4
	lengthSubBuckets = 1 << lengthSubBits
	lengthBuckets    = 226
	maxLength        = 1 << 17
)

// Parameters of the length model.
const (
	// lengthTimeConstant is the number of observations after which the weight of
	// an old one has decayed to 1/e.
	lengthTimeConstant = 2000.0
	// priorWeight is the number of observations that a more general distribution
	// counts for in a more specific one.
	priorWeight = 8.0
	// priorScale is the scale in tokens of the distribution that is assumed
	// without observations: P(L >= n) = min(1, priorScale/n) for a length L.
	priorScale = 256.0
)

// lengthBucket returns the index of the bucket of a length.
func lengthBucket(n int) int {
	n = min(max(n, 0), maxLength)
	if n < lengthSubBuckets {
		return n
	}
	e := bits.Len(uint(n)) - 1
	return (e-lengthSubBits+1)*lengthSubBuckets + (n>>(e-lengthSubBits))&(lengthSubBuckets-1)
}

// bucketStart returns the lowest length of a bucket.
func bucketStart(i int) int {
	if i < lengthSubBuckets {
		return i
	}
	return (lengthSubBuckets + i%lengthSubBuckets) << (i/lengthSubBuckets - 1)
}

// Parameters of the detector for a change of the output lengths. The rank of a
// length is the fraction of the earlier lengths below it. Without a change the
// ranks are uniform in [0, 1], so their mean stays near one half.
const (
	// rankTimeConstant is the number of observations over which ranks are
	// averaged.
	rankTimeConstant = 8.0
	// rankTolerance is the deviation of the mean rank from one half above which
	// the lengths are assumed to have changed.
	rankTolerance = 0.3
	// changedDecay multiplies the old counts at each observation while the mean
	// rank indicates a change.
	changedDecay = 0.5
)

// lengthHistogram counts observed lengths with exponential decay. The decay is
// faster after a change of lengths.
type lengthHistogram struct {
	count   float64
	buckets [lengthBuckets]float64
	// rankDeviation is the moving average of the ranks minus one half.
	rankDeviation float64
}

func (h *lengthHistogram) observe(n int) {
	decay := 1 - 1/lengthTimeConstant
	if h.count > 0 {
		h.rankDeviation += (h.rankOf(n) - 0.5 - h.rankDeviation) / rankTimeConstant
	}
	if math.Abs(h.rankDeviation) > rankTolerance {
		decay = changedDecay
	}
	for i := range h.buckets {
		h.buckets[i] *= decay
	}
	h.count = h.count*decay + 1
	h.buckets[lengthBucket(n)]++
}

// rankOf returns the fraction of the earlier lengths below n. Lengths in the
// bucket of n count half.
func (h *lengthHistogram) rankOf(n int) float64 {
	i := lengthBucket(n)
	below := h.buckets[i] / 2
	for _, c := range h.buckets[:i] {
		below += c
	}
	return below / h.count
}

// lengthCurve is a distribution of the output length L. It holds
// P(L >= bucketStart(i)) for each bucket i.
type lengthCurve [lengthBuckets + 1]float64

// priorCurve returns the curve that is assumed without observations. It is
// scale-free: half of the requests that have generated n tokens are expected to
// reach 2n.
func priorCurve() *lengthCurve {
	var c lengthCurve
	for i := range lengthBuckets {
		c[i] = min(1, priorScale/float64(max(bucketStart(i), 1)))
	}
	return &c
}

// refine combines the observations of h with the more general curve c.
func (c *lengthCurve) refine(h *lengthHistogram) *lengthCurve {
	var out lengthCurve
	tail := 0.0
	for i := lengthBuckets - 1; i >= 0; i-- {
		tail += h.buckets[i]
		out[i] = (tail + priorWeight*c[i]) / (h.count + priorWeight)
	}
	return &out
}

// survivalAt returns P(L >= n). All lengths in the bucket of n count as at least
// n.
func (c *lengthCurve) survivalAt(n int) float64 { return c[lengthBucket(n)] }

// survival returns the probability that a request reaches generated + further
// tokens and continues, given that it has reached generated tokens. limit is the
// maximum number of output tokens, at which a request ends, or 0 for unlimited.
func (c *lengthCurve) survival(generated, further, limit int) float64 {
	if further <= 0 {
		return 1
	}
	if limit > 0 && generated+further >= limit {
		return 0
	}
	current := c.survivalAt(generated)
	if current <= 0 {
		return 0
	}
	return min(1, c.survivalAt(generated+further)/current)
}

// mean returns the expected length under a limit, at least 1. A limit of 0 means
// maxLength.
func (c *lengthCurve) mean(limit int) float64 {
	if limit <= 0 {
		limit = maxLength
	}
	sum := 0.0
	for i := range lengthBuckets - 1 {
		low, high := bucketStart(i), min(bucketStart(i+1), limit)
		if low >= limit {
			break
		}
		sum += float64(high-low) * (c[i] + c[i+1]) / 2
	}
	return max(sum, 1)
}

// LengthModel learns the distribution of output lengths per service and
// workspace. A workspace with few observations uses the distribution of its
// service as prior, and a service uses that of all work. Without observations a
// heavy-tailed distribution up to the caller's limit is assumed.
type LengthModel struct {
	histograms map[lengthKey]*lengthHistogram
	curves     map[lengthKey]*lengthCurve
}

// lengthKey identifies a distribution: of a workspace at a service, of a
// service if the workspace is empty, of all work if both are empty.
type lengthKey struct{ service, workspace string }

// maxLengthKeys limits the number of separate distributions. Beyond it, new
// services and workspaces use the more general distributions.
const maxLengthKeys = 4096

// NewLengthModel returns a model without observations.
func NewLengthModel() *LengthModel {
	return &LengthModel{histograms: map[lengthKey]*lengthHistogram{}, curves: map[lengthKey]*lengthCurve{}}
}

// Observe records the output length in tokens of a complete request.
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

// Survival returns the probability that a request reaches generated + further
// output tokens and continues, given that it has reached generated tokens. limit
// is the caller's limit of output tokens, at which a request ends.
func (m *LengthModel) Survival(service, workspace string, generated, further, limit int) float64 {
	return m.curve(service, workspace).survival(generated, further, limit)
}

// Mean returns the expected output length in tokens of a new request under the
// caller's limit.
func (m *LengthModel) Mean(service, workspace string, limit int) float64 {
	return m.curve(service, workspace).mean(limit)
}

func (m *LengthModel) curve(service, workspace string) *lengthCurve {
	key := lengthKey{service, workspace}
	if c := m.curves[key]; c != nil {
		return c
	}
	c := priorCurve()
	for _, k := range []lengthKey{{}, {service: service}, key} {
		if h := m.histograms[k]; h != nil {
			c = c.refine(h)
		}
	}
	m.curves[key] = c
	return c
}
