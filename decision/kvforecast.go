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

func (c KVCache) known() bool { return c.Blocks > 0 && c.BlockTokens > 0 }

// blocks returns the number of blocks that the given number of tokens needs.
func (c KVCache) blocks(tokens int) int {
	return (tokens + c.BlockTokens - 1) / c.BlockTokens
}

// minRunningProbability is the probability of still running below which an item
// is considered finished when fits checks a horizon.
const minRunningProbability = 0.05

// minForecastProbability is the probability of still running below which an item
// is left out of the forecast for a horizon.
const minForecastProbability = 0.001

// Layout of the horizons, in decode steps. The distance between two horizons is
// horizonStep at first, later 1/horizonDivisor of the previous horizon. The last
// of the numHorizons horizons is maxHorizon.
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
// one token per decode step, so a horizon is also the number of tokens by which
// each of them has grown.
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

// demandAt returns the expected demand in blocks at the horizon with the given
// index plus risk standard deviations.
func (f *forecast) demandAt(horizon int, risk float64) float64 {
	return f.mean[horizon] + risk*math.Sqrt(f.variance[horizon])
}

// peak returns the highest demand over all horizons, at the given risk.
func (f *forecast) peak(risk float64) float64 {
	highest := 0.0
	for i := range f.mean {
		highest = max(highest, f.demandAt(i, risk))
	}
	return highest
}

// stepsUntilFree returns the number of decode steps after which the forecast
// demand stays within limit, which is in blocks, or maxHorizon if it does not.
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

// survival returns the probability that the item generates the given number of
// further tokens.
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

func (k *kvForecaster) curve(it *Item) *lengthCurve { return k.lengths.curve(it.Service, it.Workspace) }

// forecast returns the forecast demand of the running items.
func (k *kvForecaster) forecast(running map[string]*Item) *forecast {
	f := &forecast{}
	for _, it := range running {
		f.add(it, k.curve(it), k.cache)
	}
	return f
}

// fits reports whether the demand including the item stays within limit, which is
// in blocks, for as long as the item is likely to run. Demand after the end of
// the item is not caused by it and is not checked.
func (k *kvForecaster) fits(f *forecast, it *Item, limit float64) bool {
	curve := k.curve(it)
	combined := *f
	combined.add(it, curve, k.cache)
	for i := range horizons {
		if i > 0 && it.survival(curve, horizons[i-1]) < minRunningProbability {
			break
		}
		if combined.demandAt(i, k.risk) > limit {
			return false
		}
	}
	return true
}

// stepsToFit returns the number of decode steps after which the item is expected
// to fit within limit, which is in blocks.
func (k *kvForecaster) stepsToFit(f *forecast, it *Item, limit float64) int {
	single := forecast{}
	single.add(it, k.curve(it), k.cache)
	return f.stepsUntilFree(limit-single.peak(0), k.risk)
}

// Minimum reserve for short work. It applies if the configured share is smaller,
// as for targets on which short prompts are large.
const (
	// reservedShortItems is the number of short items of average size for which
	// KV cache is reserved.
	reservedShortItems = 2.0
	// maxShortFraction is the largest fraction of the KV cache, and of the slots,
	// that the minimum reserve takes.
	maxShortFraction = 0.25
	// shortBlocksSamples sets the weight of the newest item in the average size of
	// short items to 1/shortBlocksSamples.
	shortBlocksSamples = 32.0
)

// observeShort updates the average number of blocks of a short item with an item
// that needs KV cache for the given number of tokens.
func (k *kvForecaster) observeShort(tokens int) {
	if !k.cache.known() {
		return
	}
	blocks := float64(k.cache.blocks(tokens))
	if k.shortBlocks == 0 {
		k.shortBlocks = blocks
	}
	k.shortBlocks += (blocks - k.shortBlocks) / shortBlocksSamples
}

// blockLimit returns the number of blocks that may be in use when the item is
// admitted. share is the configured fraction of the KV cache that is reserved for
// short work; 0 means no reserve.
func (k *kvForecaster) blockLimit(it *Item, share float64) float64 {
	total := float64(k.cache.Blocks)
	if it.Short || share == 0 {
		return total
	}
	reserved := max(share*total, min(reservedShortItems*k.shortBlocks, maxShortFraction*total))
	return total - reserved
}

// usedTokens returns the KV cache size, in tokens, of the blocks that the
// running items hold.
func (k *kvForecaster) usedTokens(running map[string]*Item) int {
	if !k.cache.known() {
		return 0
	}
	tokens := 0
	for _, it := range running {
		tokens += k.cache.blocks(it.PromptTokens+it.generated+1) * k.cache.BlockTokens
	}
	return tokens
}
