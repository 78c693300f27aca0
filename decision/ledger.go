package decision

import "math"

// Memory describes a target's memory for tokens. The zero value means that it
// is unknown or does not bound the work.
type Memory struct {
	// Blocks is the number of blocks, BlockTokens the tokens of each.
	Blocks      int
	BlockTokens int
}

func (m Memory) known() bool { return m.Blocks > 0 && m.BlockTokens > 0 }

// blocks returns the blocks that hold the given tokens.
func (m Memory) blocks(tokens int) int {
	return (tokens + m.BlockTokens - 1) / m.BlockTokens
}

// unlikely is the probability below which a generation does not count as
// running at a horizon.
const unlikely = 0.05

// negligible is the probability from which on a generation is left out of the
// forecast.
const negligible = 0.001

// Spacing of the horizons, in tokens: horizonStep at first, then a part of the
// distance.
const (
	horizonStep = 8
	horizonPart = 8
	maxHorizon  = 1 << 16
	numHorizons = 69
)

// horizons are the points of time, in tokens from now, at which the demand for
// memory is forecast.
var horizons = spaceHorizons()

func spaceHorizons() [numHorizons]int {
	var out [numHorizons]int
	for i := 1; i < numHorizons; i++ {
		out[i] = min(out[i-1]+max(horizonStep, out[i-1]/horizonPart), maxHorizon)
	}
	return out
}

// forecast sums the blocks that a set of generations is expected to hold at
// each horizon, and the variance of that sum. Generations that run together
// grow by one token a step, so a horizon is the same step for all of them.
type forecast struct {
	mean     [numHorizons]float64
	variance [numHorizons]float64
}

// add takes an item into the sum. It counts to the end of the interval between
// horizons in which it ends.
func (f *forecast) add(it *Item, curve *lengthCurve, mem Memory) {
	held := it.PromptTokens + it.tokens + 1
	for i, h := range horizons {
		p := 1.0
		if i > 0 {
			p = it.survival(curve, horizons[i-1]+1)
		}
		if p < negligible {
			return
		}
		if it.Length > 0 {
			h = min(h, max(it.Length-it.tokens, 0))
		}
		size := float64(mem.blocks(held + h))
		f.mean[i] += p * size
		f.variance[i] += p * (1 - p) * size * size
	}
}

// at returns the demand at a horizon, risk standard deviations above what is
// expected.
func (f *forecast) at(horizon int, risk float64) float64 {
	return f.mean[horizon] + risk*math.Sqrt(f.variance[horizon])
}

// peak returns the largest demand over all horizons.
func (f *forecast) peak(risk float64) float64 {
	top := 0.0
	for i := range f.mean {
		top = max(top, f.at(i, risk))
	}
	return top
}

// room returns the number of steps after which the forecast demand leaves the
// given blocks free for good.
func (f *forecast) room(free, risk float64) int {
	at, top := len(horizons)-1, 0.0
	for i := len(horizons) - 1; i >= 0; i-- {
		top = max(top, f.at(i, risk))
		if top > free {
			break
		}
		at = i
	}
	return horizons[at]
}

// survival returns the probability that it still runs after further tokens.
func (it *Item) survival(curve *lengthCurve, further int) float64 {
	if it.Length == 0 {
		return curve.survival(it.tokens, further, it.MaxTokens)
	}
	if it.tokens+further <= it.Length {
		return 1
	}
	return 0
}

// ledger is the account of a target's memory.
type ledger struct {
	memory  Memory
	lengths *LengthModel
	risk    float64
	// shortBlocks is the recent mean of the blocks of a short item.
	shortBlocks float64
}

func (l *ledger) curve(it *Item) *lengthCurve { return l.lengths.curve(it.Service, it.Workspace) }

// forecast returns the demand of the running items.
func (l *ledger) forecast(running map[string]*Item) *forecast {
	f := &forecast{}
	for _, it := range running {
		f.add(it, l.curve(it), l.memory)
	}
	return f
}

// fits reports whether the demand stays within a bound, in blocks, for as long as it is likely to run. What happens after its end is not its doing.
func (l *ledger) fits(f *forecast, it *Item, bound float64) bool {
	curve := l.curve(it)
	with := *f
	with.add(it, curve, l.memory)
	for i := range horizons {
		if i > 0 && it.survival(curve, horizons[i-1]) < unlikely {
			break
		}
		if with.at(i, l.risk) > bound {
			return false
		}
	}
	return true
}

// stepsToFit returns the number of steps after which it is expected to fit.
func (l *ledger) stepsToFit(f *forecast, it *Item, bound float64) int {
	alone := forecast{}
	alone.add(it, l.curve(it), l.memory)
	return f.room(bound-alone.peak(0), l.risk)
}

// Room for short work beyond its share of memory, where its prompts are large
// for the target.
const (
	shortItemsKept = 2.0
	maxShortShare  = 0.25
	shortMemory    = 32.0
)

// observeShort learns the blocks that a short item takes.
func (l *ledger) observeShort(tokens int) {
	if !l.memory.known() {
		return
	}
	blocks := float64(l.memory.blocks(tokens))
	if l.shortBlocks == 0 {
		l.shortBlocks = blocks
	}
	l.shortBlocks += (blocks - l.shortBlocks) / shortMemory
}

// bound returns the blocks that may be taken when the item joins, where share
// of the memory is kept for short work.
func (l *ledger) bound(it *Item, share float64) float64 {
	total := float64(l.memory.Blocks)
	if it.Short || share == 0 {
		return total
	}
	kept := max(share*total, min(shortItemsKept*l.shortBlocks, maxShortShare*total))
	return total - kept
}

// used returns the tokens of memory that the running items hold in blocks.
func (l *ledger) used(running map[string]*Item) int {
	if !l.memory.known() {
		return 0
	}
	sum := 0
	for _, it := range running {
		sum += l.memory.blocks(it.PromptTokens+it.tokens+1) * l.memory.BlockTokens
	}
	return sum
}
