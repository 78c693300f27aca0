package decision

import (
	"sort"
	"time"
)

// Item is a request at an agent, waiting or admitted. The queue owns it after
// Offer.
type Item struct {
	ID        string
	Workspace string
	Service   string
	// Priority orders the work; 0 is the most urgent.
	Priority int
	// Weight is the workspace's share of the target's capacity, relative to other
	// workspaces.
	Weight int
	// Short marks work with short answers, for which slots and KV cache are
	// reserved.
	Short bool
	// PromptTokens is the estimated length of the prompt. MaxTokens is the limit
	// of the output.
	PromptTokens int
	MaxTokens    int
	// KnownLength is the number of output tokens if it is known in advance, otherwise
	// 0. Only benchmarks set it, to measure the value of that knowledge.
	KnownLength int
	Arrived     time.Time
	// Deadline is the time at which a waiting item expires.
	Deadline time.Time

	generated int
	// cost is the estimated cost in output tokens until settle replaces it with the
	// actual cost.
	cost     float64
	startTag float64
	sequence int64
}

// QueueLimits configure a Queue. Slots and MaxWaiting must be set; for all other
// fields the zero value disables the mechanism.
type QueueLimits struct {
	// Slots is the maximum number of running requests.
	Slots int
	// MaxWaiting is the maximum number of waiting requests.
	MaxWaiting int
	// MaxWait is the expected wait above which work is refused immediately.
	MaxWait time.Duration
	// InterTokenTarget is the inter-token latency that should not be exceeded. The
	// concurrency limit and the prefill budget adapt to it.
	InterTokenTarget time.Duration
	// ShortShare is the fraction of slots and KV cache that is reserved for
	// short work.
	ShortShare float64
	// AgeStep is the wait that lowers the priority number of an item by one and so
	// makes it more urgent.
	AgeStep time.Duration
	// Fair divides the target's capacity between workspaces by their weights.
	Fair bool
	// ForecastKV admits work only while the forecast demand fits the KV cache.
	ForecastKV bool
	// KVRisk is the safety margin of the forecast, in standard deviations.
	KVRisk float64
}

// DefaultQueueLimits returns limits with all mechanisms enabled.
func DefaultQueueLimits() QueueLimits {
	return QueueLimits{
		Slots: 128, MaxWaiting: 1024, MaxWait: time.Second, InterTokenTarget: 50 * time.Millisecond, ShortShare: 0.07,
		AgeStep: 5 * time.Second, Fair: true, ForecastKV: true, KVRisk: 2,
	}
}

// Verdict is the result of Offer.
type Verdict struct {
	Accepted bool
	Reason   string
	// RetryAfter is the suggested delay before a retry of refused work.
	RetryAfter time.Duration
}

// The reasons of a Verdict: the item was accepted, the maximum number of items is
// waiting, or the expected wait is too long.
const (
	ReasonQueued       = "queued"
	ReasonFull         = "full"
	ReasonExpectedWait = "expected_wait"
)

// WaitReason is the reason why waiting work is not admitted. Decision records contain
// the values, so they do not change.
type WaitReason string

// The reasons why work is not admitted: all slots are in use (WaitSlots), the KV
// cache has no headroom (WaitKVCache), or the prefill budget is used up
// (WaitPrefillBudget). WaitNone means that no work was kept waiting.
const (
	WaitNone          WaitReason = "none"
	WaitSlots         WaitReason = "slots"
	WaitKVCache       WaitReason = "memory"
	WaitPrefillBudget WaitReason = "prompt_pace"
)

// minShortSlots is the minimum number of slots that are reserved for short work.
// It is limited to maxShortFraction of the concurrency limit.
const minShortSlots = 4.0

// promptTokenCost is the cost of a prompt token. The cost of an output token is 1.
const promptTokenCost = 0.05

// Queue orders and admits the work of one target: first by aged priority, then
// short work before long, then by the shares of the workspaces.
type Queue struct {
	limits  QueueLimits
	waiting []*Item
	running map[string]*Item
	// runningShort is the number of running items that are short.
	runningShort int
	forecaster   kvForecaster
	fairQueue    fairQueue
	limiter      concurrencyLimiter
	workRate     workRate
	offered      int64
	// waitReason is the reason why the last call of Admit left work waiting, and
	// blockedWait the expected wait of the item with that reason.
	waitReason  WaitReason
	blockedWait time.Duration
}

// NewQueue returns an empty queue.
func NewQueue(limits QueueLimits) *Queue {
	return &Queue{
		limits: limits, running: map[string]*Item{}, waitReason: WaitNone, fairQueue: newFairQueue(),
		forecaster: kvForecaster{lengths: NewLengthModel(), risk: limits.KVRisk},
		limiter:    newConcurrencyLimiter(limits.InterTokenTarget, limits.Slots),
	}
}

// SetKVCache sets the size of the target's KV cache.
func (q *Queue) SetKVCache(cache KVCache) { q.forecaster.cache = cache }

// Offer adds an item to the queue or refuses it.
func (q *Queue) Offer(it *Item, now time.Time) Verdict {
	q.offered++
	it.sequence = q.offered
	it.cost = q.expectedCost(it)
	it.startTag = q.fairQueue.startTag(it)
	wait := q.expectedWait(it, now)
	if len(q.waiting) >= q.limits.MaxWaiting {
		return Verdict{Reason: ReasonFull, RetryAfter: retryAfter(it.ID, wait)}
	}
	if q.limits.MaxWait > 0 && wait > min(q.waitLimit(it), it.Deadline.Sub(now)) {
		return Verdict{Reason: ReasonExpectedWait, RetryAfter: retryAfter(it.ID, wait)}
	}
	q.fairQueue.enqueue(it)
	if it.Short {
		q.forecaster.observeShort(it.PromptTokens + int(it.cost))
	}
	q.waiting = append(q.waiting, it)
	return Verdict{Accepted: true, Reason: ReasonQueued}
}

// waitLimit returns the longest expected wait with which the item is accepted.
// With fairness the limit is shorter for workspaces that use more than their
// share, so that an overloaded target refuses them first.
func (q *Queue) waitLimit(it *Item) time.Duration {
	if !q.limits.Fair {
		return q.limits.MaxWait
	}
	return time.Duration(float64(q.limits.MaxWait) / q.fairQueue.overuse(it))
}

// expectedCost returns the estimated cost of an item, in output tokens.
func (q *Queue) expectedCost(it *Item) float64 {
	output := float64(it.KnownLength)
	if it.KnownLength == 0 {
		output = q.forecaster.curve(it).mean(it.MaxTokens)
	}
	return output + promptTokenCost*float64(it.PromptTokens)
}

// expectedWait returns the time for the waiting work ahead of the item, 0 if
// there is none. For long work it adds blockedWait.
func (q *Queue) expectedWait(it *Item, now time.Time) time.Duration {
	workAhead := 0.0
	for _, w := range q.waiting {
		if !q.startsBefore(it, w, now) {
			workAhead += w.cost
		}
	}
	if workAhead == 0 {
		return 0
	}
	wait := q.workRate.duration(workAhead)
	if it.Short {
		return wait
	}
	return wait + q.blockedWait
}

// agedPriority returns the priority after ageing. It may be negative.
func (q *Queue) agedPriority(it *Item, now time.Time) int {
	if q.limits.AgeStep == 0 {
		return it.Priority
	}
	return it.Priority - int(now.Sub(it.Arrived)/q.limits.AgeStep)
}

// startsBefore reports whether a starts before b.
func (q *Queue) startsBefore(a, b *Item, now time.Time) bool {
	if x, y := q.agedPriority(a, now), q.agedPriority(b, now); x != y {
		return x < y
	}
	if a.Short != b.Short && q.limits.ShortShare > 0 {
		return a.Short
	}
	if a.startTag != b.startTag && q.limits.Fair {
		return a.startTag < b.startTag
	}
	return a.sequence < b.sequence
}

// Admit moves the items that may start now to the running set and returns them.
// After the first long item that may not start, only short items are considered,
// since they may use the reserve for short work. After the first short item that
// may not start, or if there is no reserve, no further items are considered. An
// idle target admits any item.
func (q *Queue) Admit(now time.Time) []*Item {
	q.limiter.refill(now)
	q.waitReason, q.blockedWait = WaitNone, 0
	if len(q.waiting) == 0 {
		return nil
	}
	sort.Slice(q.waiting, func(i, j int) bool { return q.startsBefore(q.waiting[i], q.waiting[j], now) })
	var demand *forecast
	if q.limits.ForecastKV && q.forecaster.cache.known() {
		demand = q.forecaster.forecast(q.running)
	}
	var admitted []*Item
	remaining := q.waiting[:0]
	shortOnly := false
	for i, it := range q.waiting {
		if shortOnly && !it.Short {
			remaining = append(remaining, it)
			continue
		}
		if reason := q.waitReasonOf(it, demand); reason != WaitNone {
			q.waitReason = reason
			q.blockedWait = q.blockedWaitOf(it, reason, demand)
			remaining = append(remaining, it)
			if it.Short || q.limits.ShortShare == 0 {
				remaining = append(remaining, q.waiting[i+1:]...)
				break
			}
			shortOnly = true
			continue
		}
		q.start(it, demand)
		admitted = append(admitted, it)
	}
	q.waiting = remaining
	return admitted
}

// blockedWaitOf returns how long an item that is not admitted for the given
// reason is expected to wait.
func (q *Queue) blockedWaitOf(it *Item, reason WaitReason, demand *forecast) time.Duration {
	switch reason {
	case WaitKVCache:
		steps := q.forecaster.stepsToFit(demand, it, q.forecaster.blockLimit(it, q.limits.ShortShare))
		return time.Duration(steps) * q.limiter.interTokenLatency
	case WaitSlots:
		excess := len(q.running) - q.limiter.slots()
		return q.workRate.duration(float64(max(excess, 0)) * it.cost)
	default:
		return 0
	}
}

// waitReasonOf returns the reason why the item may not start, or WaitNone.
func (q *Queue) waitReasonOf(it *Item, demand *forecast) WaitReason {
	switch {
	case len(q.running) == 0:
		return WaitNone
	case !q.hasSlot(it):
		return WaitSlots
	case q.exceedsPrefillBudget(it):
		return WaitPrefillBudget
	case demand != nil && !q.forecaster.fits(demand, it, q.forecaster.blockLimit(it, q.limits.ShortShare)):
		return WaitKVCache
	}
	return WaitNone
}

// hasSlot reports whether the concurrency limit allows the item. Short work may
// use its reserved slots even while more requests run than the limit allows.
func (q *Queue) hasSlot(it *Item) bool {
	slots, reserved := float64(q.limiter.slots()), 0.0
	if q.limits.ShortShare > 0 {
		reserved = max(q.limits.ShortShare*slots, min(minShortSlots, maxShortFraction*slots))
	}
	if it.Short {
		return len(q.running) < q.limiter.slots() || (float64(q.runningShort) < reserved && len(q.running) < q.limits.Slots)
	}
	return float64(len(q.running)) < slots-reserved
}

// exceedsPrefillBudget reports whether the item must wait because the prefill
// credit is used up. Short work may overdraw it by the prefill budget of one
// decode step.
func (q *Queue) exceedsPrefillBudget(it *Item) bool {
	if it.Short {
		return q.limiter.prefillCredit <= -q.limiter.prefillBudget
	}
	return q.limiter.prefillCredit <= 0
}

func (q *Queue) start(it *Item, demand *forecast) {
	q.running[it.ID] = it
	if it.Short {
		q.runningShort++
	}
	q.limiter.prefillCredit -= float64(it.PromptTokens)
	q.workRate.add(promptTokenCost * float64(it.PromptTokens))
	q.fairQueue.admit(it)
	if demand != nil {
		demand.add(it, q.forecaster.curve(it), q.forecaster.cache)
	}
}

// Progress records the number of tokens that a running item has generated. A call
// to a plain service generates no tokens; the agent passes a fixed number to Finish for it.
func (q *Queue) Progress(id string, tokens int) {
	it := q.running[id]
	if it == nil || tokens <= it.generated {
		return
	}
	q.workRate.add(float64(tokens - it.generated))
	it.generated = tokens
}

// Tick updates the estimates from completed work and measured latencies. The
// owner calls it several times a second with the latencies since the last call.
func (q *Queue) Tick(stats InterTokenStats, now time.Time) {
	q.workRate.closeWindow(now, len(q.waiting) > 0)
	q.fairQueue.decay(now)
	q.limiter.observe(stats, len(q.running), q.waitReason == WaitSlots)
}

// Finish removes a completed item and updates the estimates from it.
func (q *Queue) Finish(id string, tokens int) {
	it := q.running[id]
	if it == nil {
		return
	}
	q.Progress(id, tokens)
	q.forecaster.lengths.Observe(it.Service, it.Workspace, tokens)
	q.fairQueue.settle(it, float64(tokens)+promptTokenCost*float64(it.PromptTokens))
	q.removeRunning(it)
}

// removeRunning removes an item from the running set.
func (q *Queue) removeRunning(it *Item) {
	delete(q.running, it.ID)
	if it.Short {
		q.runningShort--
	}
}

// Expired removes and returns the items whose deadline has passed.
func (q *Queue) Expired(now time.Time) []*Item {
	var expired []*Item
	remaining := q.waiting[:0]
	for _, it := range q.waiting {
		if now.After(it.Deadline) {
			q.fairQueue.settle(it, 0)
			expired = append(expired, it)
			continue
		}
		remaining = append(remaining, it)
	}
	q.waiting = remaining
	return expired
}

// Remove removes a waiting or running item that did not complete, without
// updating the length estimates. It reports whether the item was running.
func (q *Queue) Remove(id string) (running bool) {
	if it, ok := q.running[id]; ok {
		q.fairQueue.settle(it, float64(it.generated))
		q.removeRunning(it)
		return true
	}
	for i, it := range q.waiting {
		if it.ID == id {
			q.fairQueue.settle(it, 0)
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			break
		}
	}
	return false
}

// Running returns the number of running items.
func (q *Queue) Running() int { return len(q.running) }

// Waiting returns the number of waiting items.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Slots returns the current concurrency limit.
func (q *Queue) Slots() int { return q.limiter.slots() }

// WaitReason returns the reason why the last call of Admit left work waiting.
func (q *Queue) WaitReason() WaitReason { return q.waitReason }
