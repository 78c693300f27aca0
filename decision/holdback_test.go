package decision

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// crowdedFleet is a load of two kinds of prompts, urgent and long ones, from many gateways
// on engines that prefill one prompt after the other. For some seconds, the long ones exceed
// what the engines prefill. Gateways see the engines' backlogs with a delay.
type crowdedFleet struct {
	gateways, engines int
	// reserves is false for gateways that choose by the reports alone. holdsBack is false
	// for gateways that start long work at once.
	reserves, holdsBack bool
}

// crowdResult holds the fractions of the prompts that were prefilled within their objective,
// and the number of those that were prefilled at all.
type crowdResult struct {
	urgentOnTime, longOnTime float64
	served                   int
}

// Figures of a crowdedFleet.
const (
	crowdTick       = 5 * time.Millisecond
	crowdReportLag  = 200 * time.Millisecond
	crowdPollPeriod = 40 * time.Millisecond
	crowdLength     = 24 * time.Second
	urgentPrompt    = 2200
	urgentObjective = 1500 * time.Millisecond
	urgentPerSecond = 27
	longPrompt      = 3000
	longObjective   = 4 * time.Second
	longPerSecond   = 20
	crestPerSecond  = 40
	tokensPerTick   = 25
)

type crowdPrompt struct {
	id        string
	urgent    bool
	arrived   time.Time
	remaining int
	nextTry   time.Time
	work      PlacementWork
}

type crowdEngine struct {
	queue   []*crowdPrompt
	history []int
	account Reservations
}

func (e *crowdEngine) backlog() int {
	tokens := 0
	for _, p := range e.queue {
		tokens += p.remaining
	}
	return tokens
}

// crowd is the state of a crowdedFleet that is played.
type crowd struct {
	crowdedFleet
	rng      *rand.Rand
	engines  []*crowdEngine
	costs    PlacementCosts
	holdback Holdback
	waiting  []*crowdPrompt
	asked    [2]int
	onTime   [2]int
	served   int
}

// play plays the load and counts the prompts.
func (f crowdedFleet) play(seed uint64) crowdResult {
	costs := DefaultPlacementCosts()
	c := &crowd{
		crowdedFleet: f, rng: rand.New(rand.NewPCG(seed, 3)), costs: costs.Shared(f.gateways, PlacementWork{KVTokens: 1}),
		holdback: Holdback{UrgentObjective: urgentObjective, UrgentPromptTokens: urgentPrompt},
	}
	for range f.engines {
		c.engines = append(c.engines, &crowdEngine{})
	}
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for tick := range int(crowdLength / crowdTick) {
		now := start.Add(time.Duration(tick) * crowdTick)
		c.arrive(tick, now)
		c.start(now)
		for _, e := range c.engines {
			c.prefill(e, now)
			e.history = append(e.history, e.backlog())
			if tick%int(crowdPollPeriod/crowdTick) == 0 {
				e.poll(now)
			}
		}
	}
	return crowdResult{
		urgentOnTime: float64(c.onTime[0]) / float64(c.asked[0]), longOnTime: float64(c.onTime[1]) / float64(c.asked[1]), served: c.served,
	}
}

// arrive adds the prompts that arrive in a tick.
func (c *crowd) arrive(tick int, now time.Time) {
	longRate := float64(longPerSecond)
	if second := float64(tick) * crowdTick.Seconds(); second > 4 && second < 9 {
		longRate = crestPerSecond
	}
	for kind, rate := range []float64{urgentPerSecond, longRate} {
		if c.rng.Float64() >= rate*crowdTick.Seconds() {
			continue
		}
		p := &crowdPrompt{id: fmt.Sprint(kind, "-", tick), urgent: kind == 0, arrived: now, remaining: longPrompt, nextTry: now}
		if p.urgent {
			p.remaining = urgentPrompt
		}
		p.work = PlacementWork{PromptTokens: p.remaining, KVTokens: p.remaining, Long: !p.urgent}
		c.asked[kind]++
		c.waiting = append(c.waiting, p)
	}
}

// start places the waiting prompts that are due.
func (c *crowd) start(now time.Time) {
	var waiting []*crowdPrompt
	for _, p := range c.waiting {
		if !now.Before(p.nextTry) {
			if c.place(p, now) {
				continue
			}
			p.nextTry = now.Add(30*time.Millisecond + time.Duration(c.rng.IntN(70))*time.Millisecond)
		}
		waiting = append(waiting, p)
	}
	c.waiting = waiting
}

// prefill lets an engine prefill for a tick.
func (c *crowd) prefill(e *crowdEngine, now time.Time) {
	for budget := tokensPerTick; budget > 0 && len(e.queue) > 0; {
		p := e.queue[0]
		done := min(budget, p.remaining)
		p.remaining -= done
		budget -= done
		if p.remaining > 0 {
			return
		}
		e.queue = e.queue[1:]
		c.served++
		kind, objective := 1, longObjective
		if p.urgent {
			kind, objective = 0, urgentObjective
		}
		if now.Sub(p.arrived) <= objective {
			c.onTime[kind]++
		}
	}
}

// poll reconciles the account of an engine.
func (e *crowdEngine) poll(now time.Time) {
	queued := map[string]bool{}
	for _, p := range e.queue {
		queued[p.id] = true
	}
	e.account.Observe(now, len(e.queue), min(len(e.queue), 1), 0, func(id string) bool { return !queued[id] })
}

// place sends a prompt to an engine and reports whether it was sent.
func (c *crowd) place(p *crowdPrompt, now time.Time) bool {
	targets := make([]PlacementTarget, len(c.engines))
	for i, e := range c.engines {
		if lag := int(crowdReportLag / crowdTick); len(e.history) > lag {
			targets[i].PrefillTokens = e.history[len(e.history)-lag]
		}
	}
	send := func(i int) bool {
		c.engines[i].queue = append(c.engines[i].queue, p)
		return true
	}
	if c.reserves {
		for range 3 {
			i := c.costs.Pick(p.work, targets, c.rng.Float64())
			limit := MaxBacklogTokens(p.work, urgentObjective, &targets[i])
			if !p.urgent && c.holdsBack {
				limit = c.holdback.MaxBacklogTokens(p.work, &targets[i])
			}
			if tryReserve(&c.engines[i].account, now, p.id, p.work.PromptTokens, p.work.KVTokens, limit, -1) {
				return send(i)
			}
			targets[i].PrefillTokens = c.engines[i].account.PrefillTokens()
		}
	}
	if c.holdsBack && !p.urgent && !c.holdback.MustStart(now.Sub(p.arrived), longObjective, crowdLength) {
		return false
	}
	return send(c.costs.Pick(p.work, targets, c.rng.Float64()))
}

// Guards against a load pattern in which short urgent work waits behind long work in the
// engines: long prompts exceed what the engines prefill, and many gateways choose by reports
// that are older than their work.
func TestUrgentWorkDoesNotWaitBehindLongWorkInACrowd(t *testing.T) {
	convey.Convey("Urgent prompts are on time, and nearly as many prompts are served as without the rules", t, func() {
		for seed := range uint64(3) {
			plain := crowdedFleet{gateways: 29, engines: 29}.play(seed)
			reserved := crowdedFleet{gateways: 29, engines: 29, reserves: true}.play(seed)
			both := crowdedFleet{gateways: 29, engines: 29, reserves: true, holdsBack: true}.play(seed)
			t.Logf("seed %d: plain %+v, reserved %+v, both %+v", seed, plain, reserved, both)
			convey.So(both.urgentOnTime, convey.ShouldBeGreaterThan, 0.95)
			convey.So(plain.urgentOnTime, convey.ShouldBeLessThan, 0.95)
			convey.So(both.urgentOnTime, convey.ShouldBeGreaterThanOrEqualTo, reserved.urgentOnTime)
			convey.So(float64(both.served), convey.ShouldBeGreaterThan, 0.95*float64(plain.served))
		}
	})
}

// Guards against long streams at slow engines, which have room because nothing is placed
// there: the streams pause for longer than their objective allows.
func TestSlowTargetWithRoomIsNotAcceptable(t *testing.T) {
	convey.Convey("A slow engine is acceptable for a long stream only if the others are crowded", t, func() {
		costs := DefaultPlacementCosts()
		work := PlacementWork{PromptTokens: 3000, KVTokens: 4000, Long: true}
		targets := []PlacementTarget{{Slots: 24, PrefillTokens: 2000, Requests: 3}, {Slots: 24, BaselineSlowdown: 1.3}}
		drawn := func() []int {
			var indices []int
			choice := costs.ChooseRooms(work, targets, []Room{{Index: 0}, {Index: 1}})
			for room, ok := choice.Next(0); ok; room, ok = choice.Next(0) {
				indices = append(indices, room.Index)
			}
			return indices
		}
		convey.So(costs.Acceptable(work, targets), convey.ShouldResemble, []bool{true, false})
		convey.So(drawn(), convey.ShouldResemble, []int{0})
		targets[0].PrefillTokens = 9000
		convey.So(costs.Acceptable(work, targets), convey.ShouldResemble, []bool{false, true})
		convey.So(drawn(), convey.ShouldResemble, []int{1})
	})
}

// Guards against held work that waits until it cannot be done any more.
func TestHeldWorkStartsInTime(t *testing.T) {
	convey.Convey("The wait is bounded by the objective and by the time limit", t, func() {
		var h Holdback
		convey.So(h.MustStart(9*time.Second, 4*time.Second, 39*time.Second), convey.ShouldBeFalse)
		convey.So(h.MustStart(11*time.Second, 4*time.Second, 39*time.Second), convey.ShouldBeTrue)
		convey.So(h.MustStart(2*time.Second, 4*time.Second, 6*time.Second), convey.ShouldBeTrue)
	})
}

func tryReserve(r *Reservations, now time.Time, id string, promptTokens, kvTokens, maxPrefillTokens, maxKVTokens int) bool {
	return r.TryReserve(now, &ReservationRequest{ID: id, PromptTokens: promptTokens, KVTokens: kvTokens, MaxPrefillTokens: maxPrefillTokens, MaxKVTokens: maxKVTokens})
}

// Guards against an account that counts requests which have ended, or that misses requests
// which have not arrived yet.
func TestReservations(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	none := func(string) bool { return false }
	convey.Convey("A granted request counts at once, until its first event", t, func() {
		var r Reservations
		convey.So(tryReserve(&r, start, "a", 3000, 4000, 500, 9000), convey.ShouldBeTrue)
		convey.So(tryReserve(&r, start, "b", 3000, 4000, 500, 9000), convey.ShouldBeFalse)
		convey.So(tryReserve(&r, start, "b", 3000, 4000, 3000, 7000), convey.ShouldBeFalse)
		convey.So(tryReserve(&r, start, "b", 3000, 4000, 3000, 8000), convey.ShouldBeTrue)
		convey.So(r.PrefillTokens(), convey.ShouldEqual, 6000)
		r.Observe(start.Add(50*time.Millisecond), 0, 0, 0, none)
		convey.So(r.PrefillTokens(), convey.ShouldEqual, 6000)
		r.Observe(start.Add(time.Second), 1, 1, 1000, func(id string) bool { return id == "a" })
		convey.So(r.PrefillTokens(), convey.ShouldEqual, 1500)
		convey.So(r.KVTokens(), convey.ShouldEqual, 1000)
	})
	convey.Convey("Requests that end without an event are dropped, and those without a reservation are counted", t, func() {
		var r Reservations
		tryReserve(&r, start, "a", 3000, 4000, -1, -1)
		r.Observe(start.Add(time.Second), 0, 0, 0, none)
		convey.So(r.PrefillTokens(), convey.ShouldEqual, 0)
		r.Observe(start.Add(time.Second), 2, 0, 0, none)
		convey.So(r.PrefillTokens(), convey.ShouldEqual, 2*unreservedPromptTokens)
		tryReserve(&r, start, "c", 100, 100, -1, -1)
		r.Observe(start.Add(maxReservationAge+time.Second), 1, 0, 0, none)
		convey.So(r.PrefillTokens(), convey.ShouldEqual, unreservedPromptTokens)
	})
}

// Guards against work for a target that has just been added and has no load report: all
// processes take it for idle.
func TestUnreportedTargetsCountAsTheMean(t *testing.T) {
	convey.Convey("A target without a report has at least the mean load of those with one", t, func() {
		targets := []PlacementTarget{
			{Requests: 4, PrefillTokens: 1000, KVTokens: 9000},
			{Requests: 6, PrefillTokens: 3000, KVTokens: 11000},
			{Unreported: true},
			{Unreported: true, PrefillTokens: 8000},
			{Unreachable: true, Requests: 90},
		}
		AssumeMeanLoad(targets)
		convey.So(targets[2], convey.ShouldResemble, PlacementTarget{Unreported: true, Requests: 5, PrefillTokens: 2000, KVTokens: 10000})
		convey.So(targets[3].PrefillTokens, convey.ShouldEqual, 8000)
		alone := []PlacementTarget{{Unreported: true, Requests: 1}}
		AssumeMeanLoad(alone)
		convey.So(alone[0].Requests, convey.ShouldEqual, 1)
	})
}
