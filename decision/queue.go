package decision

import (
	"sort"
	"time"
)

// Item is a request at an agent, waiting or admitted. It belongs to the queue
// from Offer on.
type Item struct {
	ID        string
	Workspace string
	Service   string
	// Priority orders the work; 0 is the most urgent.
	Priority int
	// Weight is the workspace's share relative to others.
	Weight int
	// Short marks work whose answers are short, for which room is kept.
	Short bool
	// PromptTokens is the estimate of the prompt, MaxTokens the bound of the
	// output.
	PromptTokens int
	MaxTokens    int
	// Length is the length of the answer if it is told in advance, else 0. Only
	// benches that measure the worth of that knowledge set it.
	Length  int
	Arrived time.Time
	// Deadline is when the wait ends in a refusal.
	Deadline time.Time

	tokens int
	cost   float64
	tag    float64
	order  int64
}

// QueueLimits bound a target's work. The zero values of all but Slots and
// Length switch a mechanism off.
type QueueLimits struct {
	// Slots is the largest number of requests in progress.
	Slots int
	// Length is the number of requests waiting.
	Length int
	// MaxWait is the expected wait from which on work is refused at once.
	MaxWait time.Duration
	// TokenGap is the target of the time between tokens; it bounds the batch.
	TokenGap time.Duration
	// ShortShare is the part of slots and memory that is kept for short work.
	ShortShare float64
	// AgeStep is the wait that raises an item by one priority.
	AgeStep time.Duration
	// Fair shares the target between workspaces by their weights.
	Fair bool
	// Memory admits work only while the forecast demand fits the memory, with
	// MemoryRisk standard deviations to spare.
	Memory     bool
	MemoryRisk float64
}

// DefaultQueueLimits returns limits with all mechanisms on.
func DefaultQueueLimits() QueueLimits {
	return QueueLimits{
		Slots: 128, Length: 1024, MaxWait: time.Second, TokenGap: 50 * time.Millisecond, ShortShare: 0.07,
		AgeStep: 5 * time.Second, Fair: true, Memory: true, MemoryRisk: 2,
	}
}

// Verdict is the answer to an offered item.
type Verdict struct {
	Accepted bool
	Reason   string
	// RetryAfter is the suggested delay after a refusal.
	RetryAfter time.Duration
}

// The reasons of verdicts.
const (
	ReasonQueued       = "queued"
	ReasonFull         = "full"
	ReasonExpectedWait = "expected_wait"
)

// Hold is a stable word for what keeps waiting work from starting.
type Hold string

// The holds.
const (
	HoldNone   Hold = "none"
	HoldSlots  Hold = "slots"
	HoldMemory Hold = "memory"
	HoldPace   Hold = "prompt_pace"
)

// shortSlotsKept is the least number of slots that are kept for short work,
// where there are enough.
const shortSlotsKept = 4.0

// promptCost is the work of a prompt token relative to an output token.
const promptCost = 0.05

// Queue orders and admits the work of one target. Lower priority numbers go
// first, short work before long, then by the workspaces' shares.
type Queue struct {
	limits  QueueLimits
	waiting []*Item
	running map[string]*Item
	// short is the number of running items that are short.
	short   int
	ledger  ledger
	fair    fairness
	speed   concurrency
	rate    rate
	arrived int64
	hold    Hold
	// stall is the time that the first held item is expected to wait for what
	// holds it.
	stall time.Duration
}

// NewQueue returns an empty queue.
func NewQueue(limits QueueLimits) *Queue {
	return &Queue{
		limits: limits, running: map[string]*Item{}, hold: HoldNone, fair: newFairness(),
		ledger: ledger{lengths: NewLengthModel(), risk: limits.MemoryRisk},
		speed:  newConcurrency(limits.TokenGap, limits.Slots),
	}
}

// SetMemory tells the target's memory.
func (q *Queue) SetMemory(m Memory) { q.ledger.memory = m }

// Offer adds an item to the queue or refuses it.
func (q *Queue) Offer(it *Item, now time.Time) Verdict {
	q.arrived++
	it.order = q.arrived
	it.cost = q.expectedCost(it)
	it.tag = q.fair.start(it)
	wait := q.waitOf(it, now)
	if len(q.waiting) >= q.limits.Length {
		return Verdict{Reason: ReasonFull, RetryAfter: retryAfter(it.ID, wait)}
	}
	if q.limits.MaxWait > 0 && wait > min(q.maxWait(it), it.Deadline.Sub(now)) {
		return Verdict{Reason: ReasonExpectedWait, RetryAfter: retryAfter(it.ID, wait)}
	}
	q.fair.enter(it)
	if it.Short {
		q.ledger.observeShort(it.PromptTokens + int(it.cost))
	}
	q.waiting = append(q.waiting, it)
	return Verdict{Accepted: true, Reason: ReasonQueued}
}

// maxWait returns the expected wait up to which the item is accepted. With
// fairness, those who use more than their share of a crowded target are refused
// first.
func (q *Queue) maxWait(it *Item) time.Duration {
	if !q.limits.Fair {
		return q.limits.MaxWait
	}
	return time.Duration(float64(q.limits.MaxWait) / q.fair.excess(it))
}

func (q *Queue) expectedCost(it *Item) float64 {
	output := float64(it.Length)
	if it.Length == 0 {
		output = q.ledger.curve(it).mean(it.MaxTokens)
	}
	return output + promptCost*float64(it.PromptTokens)
}

// waitOf returns the time that the work ahead of it takes and, for long work,
// the time that the first in line is held.
func (q *Queue) waitOf(it *Item, now time.Time) time.Duration {
	ahead := 0.0
	for _, w := range q.waiting {
		if !q.before(it, w, now) {
			ahead += w.cost
		}
	}
	if ahead == 0 {
		return 0
	}
	wait := q.rate.wait(ahead)
	if it.Short {
		return wait
	}
	return wait + q.stall
}

// level is the priority after ageing.
func (q *Queue) level(it *Item, now time.Time) int {
	if q.limits.AgeStep == 0 {
		return it.Priority
	}
	return it.Priority - int(now.Sub(it.Arrived)/q.limits.AgeStep)
}

func (q *Queue) before(a, b *Item, now time.Time) bool {
	if x, y := q.level(a, now), q.level(b, now); x != y {
		return x < y
	}
	if a.Short != b.Short && q.limits.ShortShare > 0 {
		return a.Short
	}
	if a.tag != b.tag && q.limits.Fair {
		return a.tag < b.tag
	}
	return a.order < b.order
}

// Admit moves what may start now from the queue to the running set.
func (q *Queue) Admit(now time.Time) []*Item {
	q.speed.refill(now)
	q.hold, q.stall = HoldNone, 0
	if len(q.waiting) == 0 {
		return nil
	}
	sort.Slice(q.waiting, func(i, j int) bool { return q.before(q.waiting[i], q.waiting[j], now) })
	var demand *forecast
	if q.limits.Memory && q.ledger.memory.known() {
		demand = q.ledger.forecast(q.running)
	}
	var out []*Item
	kept := q.waiting[:0]
	shortOnly := false
	for i, it := range q.waiting {
		if shortOnly && !it.Short {
			kept = append(kept, it)
			continue
		}
		if hold := q.holds(it, demand); hold != HoldNone {
			q.hold = hold
			q.stall = q.stallOf(it, hold, demand)
			kept = append(kept, it)
			if it.Short || q.limits.ShortShare == 0 {
				kept = append(kept, q.waiting[i+1:]...)
				break
			}
			shortOnly = true
			continue
		}
		q.start(it, demand)
		out = append(out, it)
	}
	q.waiting = kept
	return out
}

// stallOf returns how long the first held item is expected to wait for what
// holds it.
func (q *Queue) stallOf(it *Item, hold Hold, demand *forecast) time.Duration {
	switch hold {
	case HoldMemory:
		steps := q.ledger.stepsToFit(demand, it, q.ledger.bound(it, q.limits.ShortShare))
		return time.Duration(steps) * q.speed.cadence
	case HoldSlots:
		over := len(q.running) - q.speed.slots()
		return q.rate.wait(float64(max(over, 0)) * it.cost)
	default:
		return 0
	}
}

// holds returns what keeps the item from starting.
func (q *Queue) holds(it *Item, demand *forecast) Hold {
	switch {
	case len(q.running) == 0:
		return HoldNone
	case !q.hasSlot(it):
		return HoldSlots
	case q.lacksPace(it):
		return HoldPace
	case demand != nil && !q.ledger.fits(demand, it, q.ledger.bound(it, q.limits.ShortShare)):
		return HoldMemory
	}
	return HoldNone
}

// hasSlot reports whether concurrency allows the item. The slots kept for short
// work are open to it even while the limit is below what runs.
func (q *Queue) hasSlot(it *Item) bool {
	slots, kept := float64(q.speed.slots()), 0.0
	if q.limits.ShortShare > 0 {
		kept = max(q.limits.ShortShare*slots, min(shortSlotsKept, maxShortShare*slots))
	}
	if it.Short {
		return len(q.running) < q.speed.slots() || (float64(q.short) < kept && len(q.running) < q.limits.Slots)
	}
	return float64(len(q.running)) < slots-kept
}

// lacksPace reports whether the item would lengthen the gap of a step that has
// prompts enough. Short work may go one step ahead.
func (q *Queue) lacksPace(it *Item) bool {
	if it.Short {
		return q.speed.credit <= -q.speed.pace
	}
	return q.speed.credit <= 0
}

func (q *Queue) start(it *Item, demand *forecast) {
	q.running[it.ID] = it
	if it.Short {
		q.short++
	}
	q.speed.credit -= float64(it.PromptTokens)
	q.rate.add(promptCost * float64(it.PromptTokens))
	q.fair.admit(it)
	if demand != nil {
		demand.add(it, q.ledger.curve(it), q.ledger.memory)
	}
}

// Progress tells how many tokens a running item has, or that a call is done.
func (q *Queue) Progress(id string, tokens int) {
	it := q.running[id]
	if it == nil || tokens <= it.tokens {
		return
	}
	q.rate.add(float64(tokens - it.tokens))
	it.tokens = tokens
}

// Tick updates what is learned from the flow of work. The owner calls it
// several times a second with the gaps since the last call.
func (q *Queue) Tick(g Gaps, now time.Time) {
	q.rate.roll(now, len(q.waiting) > 0)
	q.fair.roll(now)
	q.speed.observe(g, len(q.running), q.hold == HoldSlots)
}

// Finish takes a complete item out and learns from it.
func (q *Queue) Finish(id string, tokens int) {
	it := q.running[id]
	if it == nil {
		return
	}
	q.Progress(id, tokens)
	q.ledger.lengths.Observe(it.Service, it.Workspace, tokens)
	q.fair.settle(it, float64(tokens)+promptCost*float64(it.PromptTokens))
	q.leave(it)
}

// leave takes an item out of the running set.
func (q *Queue) leave(it *Item) {
	delete(q.running, it.ID)
	if it.Short {
		q.short--
	}
}

// Expired removes and returns the items whose deadline has passed.
func (q *Queue) Expired(now time.Time) []*Item {
	var out []*Item
	kept := q.waiting[:0]
	for _, it := range q.waiting {
		if now.After(it.Deadline) {
			q.fair.settle(it, 0)
			out = append(out, it)
			continue
		}
		kept = append(kept, it)
	}
	q.waiting = kept
	return out
}

// Remove takes an item out, waiting or running, without learning from it. It
// reports whether the item was running.
func (q *Queue) Remove(id string) (running bool) {
	if it, ok := q.running[id]; ok {
		q.fair.settle(it, float64(it.tokens))
		q.leave(it)
		return true
	}
	for i, it := range q.waiting {
		if it.ID == id {
			q.fair.settle(it, 0)
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			break
		}
	}
	return false
}

// Running returns the number of admitted items.
func (q *Queue) Running() int { return len(q.running) }

// Waiting returns the number of waiting items.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Slots returns the concurrency that is allowed now.
func (q *Queue) Slots() int { return q.speed.slots() }

// Hold returns what kept work waiting at the last Admit.
func (q *Queue) Hold() Hold { return q.hold }
