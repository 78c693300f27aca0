package decision

import "math"

// KVCache is the size of a target's KV cache. The zero value means that the size
// is unknown or does not limit the work.
type KVCache struct {
	// Blocks is the number of KV cache blocks. BlockTokens is the number of
	// tokens in each block.
	Blocks      int
	BlockTokens int
}

func (m KVCache) known() bool { return m.Blocks > 0 && m.BlockTokens > 0 }

// blocks returns the number of blocks that the given number of tokens needs.
func (m KVCache) blocks(tokens int) int {
	return (tokens + m.BlockTokens - 1) / m.BlockTokens
}

// minRunningProbability is the probability below which a request is considered
// finished at a horizon.
const minRunningProbability = 0.05

// minForecastProbability is the probability below which a request is left out
// of the forecast.
const minForecastProbability = 0.001

// Spacing of the horizons in tokens: horizonStep at first, later
// 1/horizonDivisor of the previous horizon.
const (
	horizonStep    = 8
	horizonDivisor = 8
	maxHorizon     = 1 << 16
	numHorizons    = 69
)

// horizons are the points at which KV cache demand is forecast, in decode steps
// from now.
var horizons = spaceHorizons()

func spaceHorizons() [numHorizons]int {
	var out [numHorizons]int
	for i := 1; i < numHorizons; i++ {
		out[i] = min(out[i-1]+max(horizonStep, out[i-1]/horizonDivisor), maxHorizon)
	}
	return out
}

// forecast holds the expected number of KV cache blocks of a set of requests at
// each horizon, and the variance of that number. Each running request grows by
// one token per decode step, so a horizon is the same step for all of them.
type forecast struct {
	mean     [numHorizons]float64
	variance [numHorizons]float64
}

// add adds an item to the forecast. The item counts until the end of the
// interval between horizons in which it finishes.
func (f *forecast) add(it *Item, curve *lengthCurve, cache KVCache) {
	currentTokens := it.PromptTokens + it.generated + 1
	for i, h := range horizons {
		p := 1.0
		if i > 0 {
			p = it.survival(curve, horizons[i-1]+1)
		}
		if p < minForecastProbability {
			return
		}
		if it.KnownLength > 0 {
			h = min(h, max(it.KnownLength-it.generated, 0))
		}
		blocks := float64(cache.blocks(currentTokens + h))
		f.mean[i] += p * blocks
		f.variance[i] += p * (1 - p) * blocks * blocks
	}
}

// demandAt returns the expected demand at a horizon plus risk standard
// deviations.
func (f *forecast) demandAt(horizon int, risk float64) float64 {
	return f.mean[horizon] + risk*math.Sqrt(f.variance[horizon])
}

// peak returns the highest demand over all horizons.
func (f *forecast) peak(risk float64) float64 {
	highest := 0.0
	for i := range f.mean {
		highest = max(highest, f.demandAt(i, risk))
	}
	return highest
}

// stepsUntilFree returns the number of decode steps after which the forecast
// demand stays within limit.
func (f *forecast) stepsUntilFree(limit, risk float64) int {
	index, highest := len(horizons)-1, 0.0
	for i := len(horizons) - 1; i >= 0; i-- {
		highest = max(highest, f.demandAt(i, risk))
		if highest > limit {
			break
		}
		index = i
	}
	return horizons[index]
}

// survival returns the probability that the item generates further tokens more
// than it has generated so far.
func (it *Item) survival(curve *lengthCurve, further int) float64 {
	if it.KnownLength == 0 {
		return curve.survival(it.generated, further, it.MaxTokens)
	}
	if it.generated+further <= it.KnownLength {
		return 1
	}
	return 0
}

// kvForecaster forecasts the KV cache demand of a target and decides whether an
// item fits.
type kvForecaster struct {
	cache   KVCache
	lengths *LengthModel
	risk    float64
	// shortBlocks is the moving average of the blocks that a short item needs.
	shortBlocks float64
}

func (l *kvForecaster) curve(it *Item) *lengthCurve { return l.lengths.curve(it.Service, it.Workspace) }

// forecast returns the forecast demand of the running items.
func (l *kvForecaster) forecast(running map[string]*Item) *forecast {
	f := &forecast{}
	for _, it := range running {
		f.add(it, l.curve(it), l.cache)
	}
	return f
}

// fits reports whether the demand including the item stays within limit, in
// blocks, for as long as the item is likely to run. Demand after the end of the
// item is not caused by it and is not checked.
func (l *kvForecaster) fits(f *forecast, it *Item, limit float64) bool {
	curve := l.curve(it)
	combined := *f
	combined.add(it, curve, l.cache)
	for i := range horizons {
		if i > 0 && it.survival(curve, horizons[i-1]) < minRunningProbability {
			break
		}
		if combined.demandAt(i, l.risk) > limit {
			return false
		}
	}
	return true
}

// stepsToFit returns the number of decode steps after which the item is
// expected to fit within limit, in blocks.
func (l *kvForecaster) stepsToFit(f *forecast, it *Item, limit float64) int {
	single := forecast{}
	single.add(it, l.curve(it), l.cache)
	return f.stepsUntilFree(limit-single.peak(0), l.risk)
}

// KV cache that is reserved for short work even if the configured share is
// smaller, for targets on which short prompts are large: enough for
// reservedShortItems items, up to maxShortFraction of the KV cache.
// shortBlocksSamples is the number of samples in the moving average of a short
// item's blocks.
const (
	reservedShortItems = 2.0
	maxShortFraction   = 0.25
	shortBlocksSamples = 32.0
)

// observeShort updates the average number of blocks of a short item.
func (l *kvForecaster) observeShort(tokens int) {
	if !l.cache.known() {
		return
	}
	blocks := float64(l.cache.blocks(tokens))
	if l.shortBlocks == 0 {
		l.shortBlocks = blocks
	}
	l.shortBlocks += (blocks - l.shortBlocks) / shortBlocksSamples
}

// blockLimit returns the number of blocks that may be in use when the item is
// admitted. share is the fraction of the KV cache that is reserved for short
// work.
func (l *kvForecaster) blockLimit(it *Item, share float64) float64 {
	total := float64(l.cache.Blocks)
	if it.Short || share == 0 {
		return total
	}
	reserved := max(share*total, min(reservedShortItems*l.shortBlocks, maxShortFraction*total))
	return total - reserved
}

// usedTokens returns the KV cache size, in tokens, of the blocks that the
// running items hold.
func (l *kvForecaster) usedTokens(running map[string]*Item) int {
	if !l.cache.known() {
		return 0
	}
	tokens := 0
	for _, it := range running {
		tokens += l.cache.blocks(it.PromptTokens+it.generated+1) * l.cache.BlockTokens
	}
	return tokens
}
