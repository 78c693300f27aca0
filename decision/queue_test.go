package decision

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var testStart = time.Unix(1_700_000_000, 0)

// newTestItem returns an item with default values. If configure is not nil, it is
// called to change them.
func newTestItem(id string, configure func(*Item)) *Item {
	it := &Item{
		ID: id, Workspace: "w", Service: "guide", Priority: 1, Weight: 1, PromptTokens: 100, MaxTokens: 1000,
		Arrived: testStart, Deadline: testStart.Add(time.Minute),
	}
	if configure != nil {
		configure(it)
	}
	return it
}

func joinIDs(items []*Item) string {
	s := ""
	for _, it := range items {
		s += it.ID
	}
	return s
}

// TestQueueOrder guards against work that starts too late because one of the
// criteria of the order is ignored or applied in the wrong sequence.
func TestQueueOrder(t *testing.T) {
	tests := []struct {
		name   string
		limits QueueLimits
		items  []*Item
		after  time.Duration
		want   string
	}{
		{"arrival", QueueLimits{Slots: 9, MaxWaiting: 9}, []*Item{newTestItem("a", nil), newTestItem("b", nil)}, 0, "ab"},
		{"priority", QueueLimits{Slots: 9, MaxWaiting: 9}, []*Item{newTestItem("a", nil), newTestItem("b", func(i *Item) { i.Priority = 0 })}, 0, "ba"},
		{"short before long", QueueLimits{Slots: 9, MaxWaiting: 9, ShortShare: 0.1}, []*Item{newTestItem("a", nil), newTestItem("b", func(i *Item) { i.Short = true })}, 0, "ba"},
		{
			"ageing",
			QueueLimits{Slots: 9, MaxWaiting: 9, AgeStep: time.Second},
			[]*Item{newTestItem("a", func(i *Item) { i.Priority = 5 }), newTestItem("b", func(i *Item) { i.Arrived = testStart.Add(7 * time.Second) })},
			8 * time.Second, "ab",
		},
		{
			"fair between workspaces",
			QueueLimits{Slots: 9, MaxWaiting: 9, Fair: true},
			[]*Item{newTestItem("a", nil), newTestItem("b", nil), newTestItem("c", nil), newTestItem("d", func(i *Item) { i.Workspace = "other" })},
			0, "adbc",
		},
		{
			"weights",
			QueueLimits{Slots: 9, MaxWaiting: 9, Fair: true},
			[]*Item{
				newTestItem("a", nil), newTestItem("b", nil), newTestItem("c", nil),
				newTestItem("d", func(i *Item) { i.Workspace, i.Weight = "heavy", 4 }),
				newTestItem("e", func(i *Item) { i.Workspace, i.Weight = "heavy", 4 }),
				newTestItem("f", func(i *Item) { i.Workspace, i.Weight = "heavy", 4 }),
			},
			0, "adefbc",
		},
	}
	for _, tt := range tests {
		q := NewQueue(tt.limits)
		for _, it := range tt.items {
			q.Offer(it, testStart)
		}
		if got := joinIDs(q.Admit(testStart.Add(tt.after))); got != tt.want {
			t.Errorf("%s: admitted %s, want %s", tt.name, got, tt.want)
		}
	}
}

// TestSlotsAreReservedForShortWork guards against long work that takes all slots, so
// that short work waits until a long item ends.
func TestSlotsAreReservedForShortWork(t *testing.T) {
	q := NewQueue(QueueLimits{Slots: 10, MaxWaiting: 100, ShortShare: 0.2})
	for i := range 20 {
		q.Offer(newTestItem(fmt.Sprint(i), nil), testStart)
	}
	if n := len(q.Admit(testStart)); n != 8 {
		t.Fatalf("%d long items started, want 8 in 10 slots", n)
	}
	q.Offer(newTestItem("s", func(i *Item) { i.Short = true }), testStart)
	if got := joinIDs(q.Admit(testStart)); got != "s" {
		t.Fatalf("admitted %q, want the short item", got)
	}
	if q.WaitReason() != WaitSlots {
		t.Fatalf("wait reason is %q, want slots", q.WaitReason())
	}
}

// TestKVCacheIsReservedForShortWork guards against a reserve that is too small for
// short work: the prompts of the short items are large for this target, so the
// configured share alone would not reserve enough KV cache for them.
func TestKVCacheIsReservedForShortWork(t *testing.T) {
	q := NewQueue(QueueLimits{Slots: 100, MaxWaiting: 100, ForecastKV: true, ShortShare: 0.05})
	q.SetKVCache(KVCache{Blocks: 100, BlockTokens: 16})
	shortItem := func(i *Item) { i.Short, i.KnownLength, i.PromptTokens = true, 10, 200 }
	longItem := func(i *Item) { i.KnownLength = 120 }
	q.Offer(newTestItem("s", shortItem), testStart)
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		q.Offer(newTestItem(id, longItem), testStart)
	}
	for _, it := range q.Admit(testStart) {
		q.Progress(it.ID, it.KnownLength-1)
	}
	q.Finish("s", 10)
	q.Offer(newTestItem("t", shortItem), testStart)
	q.Offer(newTestItem("u", shortItem), testStart)
	if got := joinIDs(q.Admit(testStart)); got != "tu" {
		t.Fatalf("admitted %q, want both short items", got)
	}
}

// TestKVForecastDelaysWork guards against a forecast that admits work for which the
// KV cache is too small later, or that keeps work waiting although it fits because
// other work ends in time.
func TestKVForecastDelaysWork(t *testing.T) {
	limits := QueueLimits{Slots: 100, MaxWaiting: 100, ForecastKV: true}
	withLength := func(n int) func(*Item) { return func(i *Item) { i.KnownLength = n } }
	tests := []struct {
		name    string
		lengths []int
		want    int
	}{
		{"both fit at their full length", []int{300, 300}, 2},
		{"the sum of the full lengths does not fit", []int{500, 500}, 1},
		{"the first ends before the second has grown", []int{50, 800}, 2},
		{"an item that never fits starts alone", []int{5000, 500}, 1},
		{"the second ends before the first needs its blocks", []int{900, 10}, 2},
	}
	for _, tt := range tests {
		q := NewQueue(limits)
		q.SetKVCache(KVCache{Blocks: 64, BlockTokens: 16})
		for i, n := range tt.lengths {
			q.Offer(newTestItem(fmt.Sprint(i), withLength(n)), testStart)
		}
		if got := len(q.Admit(testStart)); got != tt.want {
			t.Errorf("%s: %d started, want %d", tt.name, got, tt.want)
		}
	}
}

// TestExpectedWaitRefusesOnOffer guards against accepting work that would wait
// longer than MaxWait: it must be refused on arrival instead of expiring in the
// queue.
func TestExpectedWaitRefusesOnOffer(t *testing.T) {
	q := NewQueue(QueueLimits{Slots: 1, MaxWaiting: 1000, MaxWait: time.Second})
	withHundredTokens := func(i *Item) { i.KnownLength, i.PromptTokens = 100, 0 }
	q.Offer(newTestItem("run", withHundredTokens), testStart)
	q.Admit(testStart)
	now := testStart
	for i := range 100 {
		now = now.Add(100 * time.Millisecond)
		q.Progress("run", 10*(i+1))
		q.Tick(InterTokenStats{}, now)
	}
	accepted := 0
	for i := range 10 {
		it := newTestItem(fmt.Sprint(i), withHundredTokens)
		it.Deadline = now.Add(time.Minute)
		v := q.Offer(it, now)
		if v.Accepted {
			accepted++
			continue
		}
		if v.Reason != ReasonExpectedWait || v.RetryAfter < time.Second {
			t.Fatalf("unexpected refusal %+v", v)
		}
	}
	if accepted != 2 {
		t.Fatalf("%d items of 100 tokens were accepted at 100 tokens/s, want 2", accepted)
	}
}

// TestConcurrencyFollowsInterTokenLatency guards against a concurrency limit that
// does not converge to the latency target, or that shrinks because of late tokens
// that prefill causes and a smaller batch would not avoid.
func TestConcurrencyFollowsInterTokenLatency(t *testing.T) {
	c := newConcurrencyLimiter(50*time.Millisecond, 128)
	for range 200 {
		n := float64(c.slots())
		latency := 10*time.Millisecond + time.Duration(n*float64(time.Millisecond))
		c.observe(InterTokenStats{Count: samplesPerAdjustment, Median: latency}, c.slots(), true)
	}
	if n := c.slots(); n < 25 || n > 40 {
		t.Errorf("%d slots for a latency of 10 ms + 1 ms per slot, want 25 to 40 for the target of 50 ms", n)
	}
	limit := c.limit
	for c.prefillBudget > minPrefillBudget {
		c.observe(InterTokenStats{Count: samplesPerAdjustment, Late: samplesPerAdjustment / 10, Median: 20 * time.Millisecond}, 0, false)
	}
	if c.limit != limit {
		t.Errorf("the limit changed to %v: a long tail with a good median is caused by prefill", c.limit)
	}
}

// queueModel tracks the expected content of a queue over a sequence of calls.
type queueModel struct {
	limits    QueueLimits
	queue     *Queue
	cache     KVCache
	waiting   map[string]*Item
	running   map[string]*Item
	generated map[string]int
	now       time.Time
	lastID    int
}

func (m *queueModel) offer(t *rapid.T) {
	m.lastID++
	it := newTestItem(fmt.Sprint(m.lastID), func(i *Item) {
		i.Workspace = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "workspace")
		i.Short = rapid.Bool().Draw(t, "short")
		i.KnownLength = rapid.IntRange(1, 1000).Draw(t, "length")
		i.Arrived = m.now
		i.Deadline = m.now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "wait")) * time.Second)
	})
	if m.queue.Offer(it, m.now).Accepted {
		m.waiting[it.ID] = it
	}
}

func (m *queueModel) admit(t *rapid.T) {
	admitted := m.queue.Admit(m.now)
	if len(m.running) == 0 && len(m.waiting) > 0 && len(admitted) == 0 {
		t.Fatalf("an idle target with waiting items starts none")
	}
	for _, it := range admitted {
		if m.waiting[it.ID] == nil {
			t.Fatalf("item %s started but was not waiting", it.ID)
		}
		delete(m.waiting, it.ID)
		m.running[it.ID] = it
	}
}

// stepTokens is the number of tokens that each running item generates in a step
// of the model.
const stepTokens = 100

// step lets all running items generate tokens and ends the complete ones.
func (m *queueModel) step(*rapid.T) {
	m.now = m.now.Add(100 * time.Millisecond)
	for id, it := range m.running {
		m.generated[id] = min(m.generated[id]+stepTokens, it.KnownLength)
		m.queue.Progress(id, m.generated[id])
		if m.generated[id] >= it.KnownLength {
			m.queue.Finish(id, m.generated[id])
			delete(m.running, id)
		}
	}
	m.queue.Tick(InterTokenStats{}, m.now)
}

func (m *queueModel) expire(*rapid.T) {
	for _, it := range m.queue.Expired(m.now) {
		delete(m.waiting, it.ID)
	}
}

func (m *queueModel) remove(t *rapid.T) {
	id := fmt.Sprint(rapid.IntRange(0, m.lastID).Draw(t, "id"))
	if m.queue.Remove(id) != (m.running[id] != nil) {
		t.Fatalf("Remove(%s) does not report whether the item was running", id)
	}
	delete(m.waiting, id)
	delete(m.running, id)
}

func (m *queueModel) check(t *rapid.T) {
	q := m.queue
	if q.Waiting() != len(m.waiting) || q.Running() != len(m.running) {
		t.Fatalf("%d waiting and %d running, want %d and %d", q.Waiting(), q.Running(), len(m.waiting), len(m.running))
	}
	if q.Running() > m.limits.Slots || q.Waiting() > m.limits.MaxWaiting {
		t.Fatalf("limits exceeded: %d running, %d waiting", q.Running(), q.Waiting())
	}
	blocks := 0
	for id, it := range m.running {
		blocks += m.cache.blocks(it.PromptTokens + m.generated[id] + 1)
	}
	if blocks > m.cache.Blocks {
		t.Fatalf("%d blocks used, capacity %d", blocks, m.cache.Blocks)
	}
}

// TestQueueInvariants checks random sequences of calls: no item is lost or
// started twice, limits hold, and items with known lengths never overcommit the
// KV cache.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := QueueLimits{
			Slots: rapid.IntRange(1, 8).Draw(t, "slots"), MaxWaiting: rapid.IntRange(1, 8).Draw(t, "length"),
			Fair: rapid.Bool().Draw(t, "fair"), ShortShare: rapid.Float64Range(0, 0.5).Draw(t, "share"), ForecastKV: true,
			AgeStep: time.Second, MaxWait: time.Second,
		}
		model := &queueModel{
			limits: limits, queue: NewQueue(limits), cache: KVCache{Blocks: 128, BlockTokens: 16}, now: testStart,
			waiting: map[string]*Item{}, running: map[string]*Item{}, generated: map[string]int{},
		}
		model.queue.SetKVCache(model.cache)
		t.Repeat(map[string]func(*rapid.T){
			"offer": model.offer, "admit": model.admit, "step": model.step, "expire": model.expire, "remove": model.remove, "": model.check,
		})
	})
}

// TestHeavyWorkspaceIsRefusedFirst guards against a workspace that fills the queue
// of a target, so that the expected wait causes refusals of other workspaces.
func TestHeavyWorkspaceIsRefusedFirst(t *testing.T) {
	q := NewQueue(QueueLimits{Slots: 10, MaxWaiting: 100, Fair: true, MaxWait: time.Second})
	withHundredTokens := func(workspace string) func(*Item) {
		return func(i *Item) { i.Workspace, i.KnownLength, i.PromptTokens = workspace, 100, 0 }
	}
	for i := range 10 {
		workspace := "heavy"
		if i == 0 {
			workspace = "light"
		}
		q.Offer(newTestItem(fmt.Sprint("r", i), withHundredTokens(workspace)), testStart)
	}
	q.Admit(testStart)
	q.workRate = workRate{perSecond: 100, windowStart: testStart}
	q.Offer(newTestItem("first", withHundredTokens("third")), testStart)
	if v := q.Offer(newTestItem("h", withHundredTokens("heavy")), testStart); v.Accepted {
		t.Fatalf("a workspace that uses nine tenths of the target is accepted with the same wait as others")
	}
	if v := q.Offer(newTestItem("l", withHundredTokens("light")), testStart); !v.Accepted {
		t.Fatalf("a workspace that uses one tenth of the target is refused: %+v", v)
	}
}
