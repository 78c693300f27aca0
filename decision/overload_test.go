package decision

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// surge is a load pattern: short urgent and long streams from many gateways on engines that
// prefill one prompt after the other, with a burst between surgeStart and surgeEnd.
type surge struct {
	gateways int
	// peak is the load of the burst as a multiple of the capacity. hog makes one workspace
	// send 8 times its usual share, retry makes clients return at once, leave makes a third
	// of the engines leave in the middle of the burst.
	peak float64
	// speed is the speed of the engines relative to that which gateways assume, 0 for 1.
	speed             float64
	hog, retry, leave bool
	// sizes draws prompts from 500 to 6000 tokens, with the same means. longFirst makes the
	// long streams the urgent ones.
	sizes, longFirst bool
	// kvTokens is the KV capacity of an engine.
	kvTokens int
	admits   bool
	engines  []*surgeEngine
	// arrivals draws the arrivals if these must be the same with another policy.
	arrivals        *rand.Rand
	queues          []*surgeQueue
	rng             *rand.Rand
	now             time.Time
	tick            int
	waiting         []*surgeStream
	onTimePerSecond [surgeSeconds + surgeDrain]float64
	arrived, onTime [2][surgeSeconds + surgeDrain]float64
	// inBurst counts the streams of the burst that arrived and that were on time: those of
	// other workspaces and of the one at 8 times its share.
	inBurst [2]struct{ arrived, onTime float64 }
	// largest counts the streams of the burst whose prompts are among the largest tenth.
	largest            [2]struct{ arrived, onTime float64 }
	kvShare            float64
	late, refused      int
	wasted, maxWaiting int
}

// Figures of a surge.
const (
	surgeTick    = 5 * time.Millisecond
	surgeStart   = 6
	surgeLeave   = 9
	surgeEnd     = 14
	surgeSeconds = 21
	// surgeDrain is the time after the last arrivals in which streams end, in seconds.
	surgeDrain       = 6
	surgeEngines     = 41
	surgeWorkspaces  = 10
	surgeSlots       = 24
	surgeKVTokens    = 26900
	capacityRate     = 165.0 // streams per second of all engines
	usualLoad        = 0.6
	urgentFraction   = 0.575
	ticksPerSecond   = int(time.Second / surgeTick)
	surgePollTicks   = 8
	minSurgeLagTicks = 40
	maxSurgeLagTicks = 140
)

type surgeStream struct {
	id        string
	kind      int
	hog       int
	retries   int
	workspace int
	arrived   time.Time
	second    int
	work      AdmissionWork
	waiting   *WaitingStream
	gateway   int
	nextTry   time.Time
	remaining int
	events    int
	sent      time.Time
	expected  time.Duration
	// firstOnTime is set if the first event was on time, firstSecond is when it was.
	firstOnTime bool
	firstSecond int
	largest     bool
}

func (st *surgeStream) inBurst() bool { return st.second >= surgeStart && st.second < surgeEnd }

type surgeQueue struct {
	streams WaitQueue
	shares  UsualShares
	pace    PrefillPace
	readAt  int
	targets []PlacementTarget
	engines []*surgeEngine
}

type surgeEngine struct {
	queue, decoding []*surgeStream
	history         []PlacementTarget
	account         Reservations
	leaving         bool
	prefilled       float64
	decoded         float64
}

func (e *surgeEngine) kvTokens() int {
	tokens := 0
	for _, s := range e.decoding {
		tokens += s.work.PromptTokens + s.events
	}
	return tokens
}

// step lets an engine prefill and decode for a tick.
func (s *surge) step(e *surgeEngine) {
	millis := float64(surgeTick) / float64(time.Millisecond)
	batch := float64(len(e.decoding)) / surgeSlots
	kept := e.queue[:0]
	for i, st := range e.queue {
		if s.now.Sub(st.arrived) > min(st.work.Patience, st.work.Limit) {
			if i == 0 {
				s.wasted += st.work.PromptTokens - st.remaining
			}
			continue
		}
		kept = append(kept, st)
	}
	e.queue = kept
	e.prefilled += s.speed * millis / (1.0/14 + (1.0/5-1.0/14)*batch)
	for len(e.queue) > 0 && e.prefilled > 0 {
		st := e.queue[0]
		if len(e.decoding) >= surgeSlots || e.kvTokens()+st.work.PromptTokens > s.kvTokens {
			break
		}
		done := min(int(e.prefilled)+1, st.remaining)
		st.remaining -= done
		e.prefilled -= float64(done)
		if st.remaining > 0 {
			break
		}
		e.queue = e.queue[1:]
		e.decoding = append(e.decoding, st)
		s.count(st)
	}
	e.prefilled = min(e.prefilled, 0)
	for e.decoded += millis / (7 + 14*batch); e.decoded >= 1; e.decoded-- {
		running := e.decoding[:0]
		for _, st := range e.decoding {
			if st.events++; st.events < st.work.OutputTokens {
				running = append(running, st)
			} else {
				s.complete(st)
			}
		}
		e.decoding = running
	}
}

// count counts a stream whose first event is generated.
func (s *surge) count(st *surgeStream) {
	s.queues[st.gateway].pace.Observe(st.expected, s.now.Sub(st.sent))
	if s.now.Sub(st.arrived) > st.work.Objective {
		s.late++
		return
	}
	st.firstOnTime, st.firstSecond = true, s.tick/ticksPerSecond
}

// complete counts a stream whose last event is generated. It is on time if its first event
// was and if it is complete within its limit.
func (s *surge) complete(st *surgeStream) {
	if !st.firstOnTime || s.now.Sub(st.arrived) > st.work.Limit {
		return
	}
	s.onTimePerSecond[st.firstSecond]++
	s.onTime[st.kind][st.second]++
	if st.inBurst() && st.largest {
		s.largest[st.kind].onTime++
	}
	if st.inBurst() {
		s.inBurst[st.hog].onTime++
	}
}

// arrive adds the streams that arrive in a tick.
func (s *surge) arrive() {
	second := s.tick / ticksPerSecond
	burst := second >= surgeStart && second < surgeEnd
	for w := range surgeWorkspaces {
		rate := usualLoad * s.speed * capacityRate / surgeWorkspaces
		if burst {
			rate *= s.peak / usualLoad
			if s.hog {
				rate *= surgeWorkspaces / (surgeWorkspaces + 7.0)
			}
			if s.hog && w == 0 {
				rate *= 8
			}
		}
		for n := rate * surgeTick.Seconds(); n > 0; n-- {
			if s.arrivals.Float64() < n {
				kind := 0
				if s.arrivals.Float64() > urgentFraction {
					kind = 1
				}
				s.add(kind, w, 0, 0)
			}
		}
	}
}

func (s *surge) add(kind, workspace, retries int, used time.Duration) {
	st := &surgeStream{id: fmt.Sprint(s.tick, "-", s.arrivals.Uint32()), kind: kind, retries: retries, workspace: workspace, arrived: s.now, second: s.tick / ticksPerSecond, nextTry: s.now, gateway: s.arrivals.IntN(s.gateways)}
	if s.hog && workspace == 0 {
		st.hog = 1
	}
	st.work = AdmissionWork{ID: st.id, Objective: 1500 * time.Millisecond, Limit: 6*time.Second - used, OutputTokens: 3}
	st.work.PromptTokens = 2200
	if kind == 1 {
		st.work.Objective, st.work.Limit, st.work.OutputTokens = 4*time.Second, 39*time.Second-used, 188
		st.work.PromptTokens, st.work.Long = 3000, true
		st.work.Holdback = &Holdback{UrgentObjective: 1500 * time.Millisecond, UrgentPromptTokens: 2600}
	}
	if s.longFirst {
		s.swapUrgency(st)
	}
	if s.sizes {
		// The exponents keep the means of the prompts.
		u := s.arrivals.Float64()
		st.work.PromptTokens = 500 + int(5500*math.Pow(u, [2]float64{2.2, 1.2}[kind]))
		st.largest = u > 0.9
	}
	st.work.Patience = ClientPatience(st.work.Objective, 180*time.Millisecond)
	st.work.KVTokens = st.work.PromptTokens + st.work.OutputTokens
	st.remaining = st.work.PromptTokens
	q := s.queues[st.gateway]
	st.work.OverShare = s.admits && q.shares.Observe(s.now, fmt.Sprint(workspace), st.work.PromptTokens)
	st.waiting = &WaitingStream{Priority: s.priority(kind), ArrivedAt: s.now, TightAt: s.now.Add(st.work.TightAfter()), LateAt: s.now.Add(st.work.LateAfter()), PromptTokens: st.work.PromptTokens, OverShare: st.work.OverShare}
	q.streams.Add(st.waiting, s.now)
	s.waiting = append(s.waiting, st)
	s.arrived[kind][st.second]++
	if st.inBurst() && st.largest {
		s.largest[kind].arrived++
	}
	if st.inBurst() {
		s.inBurst[st.hog].arrived++
	}
}

// swapUrgency gives a long stream priority 0 and an objective of 1.8 s, and holds short ones.
func (s *surge) swapUrgency(st *surgeStream) {
	st.work.Holdback = nil
	if st.kind == 1 {
		st.work.Objective = 1800 * time.Millisecond
		return
	}
	st.work.OutputTokens = 2
	st.work.Holdback = &Holdback{UrgentObjective: 1800 * time.Millisecond, UrgentPromptTokens: 2600}
}

func (s *surge) priority(kind int) int {
	if s.longFirst {
		return 1 - kind
	}
	return kind
}

// reports returns the engines that a gateway knows, and their reports, 200 to 700 ms old.
func (s *surge) reports(q *surgeQueue) ([]PlacementTarget, []*surgeEngine) {
	if s.tick-q.readAt < surgePollTicks && q.targets != nil {
		return q.targets, q.engines
	}
	q.readAt, q.targets, q.engines = s.tick, nil, nil
	for _, e := range s.engines {
		if lag := minSurgeLagTicks + s.rng.IntN(maxSurgeLagTicks-minSurgeLagTicks); !e.leaving {
			q.engines = append(q.engines, e)
			q.targets = append(q.targets, e.history[max(len(e.history)-lag, 0)])
		}
	}
	return q.targets, q.engines
}

// admitBefore is the policy before admission: nothing is refused, urgent streams start at any
// load, and others after a bounded wait.
func admitBefore(w *AdmissionWork, targets []PlacementTarget) Admission {
	a := Admission{Calm: true}
	for i := range targets {
		t := &targets[i]
		r := Room{Index: i, MaxPrefill: MaxBacklogTokens(w.PlacementWork, w.Objective, t), MaxKVTokens: noLimit}
		if w.Holdback != nil {
			r.MaxPrefill, r.MaxKVTokens = w.Holdback.MaxBacklogTokens(w.PlacementWork, t), t.KVCapacityTokens
		}
		if t.PrefillTokens <= r.MaxPrefill && (w.Holdback == nil || t.KVTokens+w.KVTokens <= r.MaxKVTokens) {
			a.Rooms = append(a.Rooms, r)
		}
	}
	return a
}

// place places a waiting stream and reports whether its wait has ended.
func (s *surge) place(st *surgeStream) bool {
	st.work.Waited = s.now.Sub(st.arrived)
	if st.work.Waited > min(st.work.Patience, st.work.Limit) {
		return true
	}
	q := s.queues[st.gateway]
	targets, engines := s.reports(q)
	a := admitBefore(&st.work, targets)
	if s.admits {
		st.work.Pace = q.pace.Factor()
		a = Admit(&st.work, targets, q.streams.Ahead(st.waiting, s.gateways, s.now))
		q.streams.SetNoRoom(st.waiting, a.HasNoRoom())
	}
	if a.Action == AdmitRefuse {
		s.refuse(st)
		return true
	}
	costs := DefaultPlacementCosts()
	costs = costs.Shared(s.gateways, st.work.PlacementWork)
	choice, busy := costs.ChooseRooms(st.work.PlacementWork, targets, a.Rooms), false
	for range 3 {
		room, ok := choice.Next(s.rng.Float64())
		if !ok {
			break
		}
		if s.send(st, engines[room.Index], room, a.Late && !a.Calm) {
			return true
		}
		busy = s.admits
	}
	if a.MayStartAnywhere(&st.work, busy) {
		return s.send(st, engines[costs.Pick(st.work.PlacementWork, targets, s.rng.Float64())], Room{MaxPrefill: noLimit, MaxKVTokens: noLimit}, false)
	}
	return false
}

func (s *surge) send(st *surgeStream, e *surgeEngine, r Room, late bool) bool {
	if !e.account.TryReserve(s.now, &ReservationRequest{ID: st.id, PromptTokens: st.work.PromptTokens, KVTokens: st.work.KVTokens, MaxPrefillTokens: r.MaxPrefill, MaxKVTokens: r.MaxKVTokens, Late: late}) {
		return false
	}
	e.queue = append(e.queue, st)
	st.sent, st.expected = s.now, ExpectedPrefill(&e.history[max(len(e.history)-minSurgeLagTicks, 0)], e.account.PrefillTokens())
	return true
}

// refuse lets the client of a refused stream return once.
func (s *surge) refuse(st *surgeStream) {
	s.refused++
	if s.retry && st.retries == 0 {
		s.add(st.kind, st.workspace, 1, s.now.Sub(st.arrived))
	}
}

func (s surge) play(seed uint64) *surge {
	s.speed, s.kvTokens = cmp.Or(s.speed, 1), cmp.Or(s.kvTokens, surgeKVTokens)
	s.rng, s.now = rand.New(rand.NewPCG(seed, 5)), time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s.arrivals = s.rng
	if s.longFirst {
		s.arrivals = rand.New(rand.NewPCG(seed, 6))
	}
	for range surgeEngines {
		s.engines = append(s.engines, &surgeEngine{history: []PlacementTarget{{Slots: surgeSlots, KVCapacityTokens: s.kvTokens}}})
	}
	for range s.gateways {
		s.queues = append(s.queues, &surgeQueue{})
	}
	// The usual shares are known from the minutes before.
	for ago := 10 * time.Minute; ago > 0; ago -= 10 * time.Millisecond {
		q := s.queues[s.rng.IntN(s.gateways)]
		q.shares.Observe(s.now.Add(-ago), fmt.Sprint(s.rng.IntN(surgeWorkspaces)), 2500)
	}
	for ; s.tick < (surgeSeconds+surgeDrain)*ticksPerSecond; s.tick++ {
		if s.tick < surgeSeconds*ticksPerSecond {
			s.arrive()
		}
		waiting := s.waiting
		s.waiting = nil
		for _, st := range waiting {
			if !s.now.Before(st.nextTry) {
				if s.place(st) {
					s.queues[st.gateway].streams.Remove(st.waiting)
					continue
				}
				st.nextTry = s.now.Add(30*time.Millisecond + time.Duration(s.rng.IntN(70))*time.Millisecond)
			}
			s.waiting = append(s.waiting, st)
		}
		s.maxWaiting = max(s.maxWaiting, len(s.waiting))
		for i, e := range s.engines {
			e.leaving = s.leave && s.tick >= surgeLeave*ticksPerSecond && i%3 == 0
			s.step(e)
			if s.tick%surgePollTicks == 0 {
				queued := map[string]bool{}
				for _, st := range e.queue {
					queued[st.id] = true
				}
				e.account.Observe(s.now, len(e.queue), min(len(e.queue), 1), e.kvTokens()+len(e.decoding)*typicalSurgeOutput, func(id string) bool { return !queued[id] })
			}
			if second := s.tick / ticksPerSecond; second >= surgeStart && second < surgeEnd {
				s.kvShare += float64(e.kvTokens()) / float64(s.kvTokens*surgeEngines*(surgeEnd-surgeStart)*ticksPerSecond)
			}
			e.history = append(e.history, PlacementTarget{
				Slots: surgeSlots, KVCapacityTokens: s.kvTokens, Requests: len(e.queue) + len(e.decoding), DecodingStreams: len(e.decoding),
				PrefillTokens: e.account.PrefillTokens(), KVTokens: e.account.KVTokens(),
			})
		}
		s.now = s.now.Add(surgeTick)
	}
	return &s
}

// typicalSurgeOutput is the remaining output that sidecars assume for a stream.
const typicalSurgeOutput = 500

// share returns the share of the streams of a kind that arrived in [from, to) and were on
// time.
func (s *surge) share(kind, from, to int) float64 {
	var arrived, onTime float64
	for i := from; i < to; i++ {
		arrived += s.arrived[kind][i]
		onTime += s.onTime[kind][i]
	}
	return onTime / max(arrived, 1)
}

// workspaceShare returns the share of the streams of the burst that were on time.
func (s *surge) workspaceShare(hog int) float64 {
	return s.inBurst[hog].onTime / max(s.inBurst[hog].arrived, 1)
}

// perSecond returns the goodput in [from, to), in streams per second.
func (s *surge) perSecond(from, to int) float64 {
	sum := 0.0
	for _, n := range s.onTimePerSecond[from:to] {
		sum += n
	}
	return sum / float64(to-from)
}

// lowest returns the lowest goodput in two seconds of the burst, as a fraction of the goodput
// at capacity of the engines that serve then.
func (s *surge) lowest(atCapacity float64) float64 {
	lowest := 1e9
	for i := surgeStart; i < surgeEnd-1; i++ {
		capacity := atCapacity * s.speed
		if s.leave && i+1 >= surgeLeave {
			capacity *= 1 - float64((surgeEngines+2)/3)/surgeEngines
		}
		lowest = min(lowest, s.perSecond(i, i+2)/capacity)
	}
	return lowest
}

func (s *surge) String() string {
	return fmt.Sprintf("goodput before %.0f burst %.0f after %.0f; urgent/long on time in the burst %.2f/%.2f after %.2f/%.2f; late %d refused %d wasted %d; others %.2f hog %.2f; waiting %d",
		s.perSecond(2, surgeStart), s.perSecond(surgeStart, surgeEnd), s.perSecond(surgeEnd+2, surgeEnd+6), s.share(0, surgeStart, surgeEnd), s.share(1, surgeStart, surgeEnd),
		s.share(0, surgeEnd+2, surgeEnd+5), s.share(1, surgeEnd+2, surgeEnd+5), s.late, s.refused, s.wasted,
		s.workspaceShare(0), s.workspaceShare(1), s.maxWaiting)
}

// Guards against a burst in which engines prefill prompts in the order of their arrival, so
// that all first events are late, clients leave before them, and the service stays late for
// many seconds after the burst. Guards also against one workspace whose burst takes the
// capacity of the others, and against refusals without overload.
func TestGoodputSurvivesAPeakOfThreeTimesTheCapacity(t *testing.T) {
	patterns := []struct {
		name string
		surge
	}{
		{"capacity", surge{peak: 1}},
		{"peak of 3", surge{peak: 3}},
		{"one workspace at 8 times its share", surge{peak: 3, hog: true}},
		{"clients return at once", surge{peak: 3, retry: true}},
		{"a third of the engines leaves", surge{peak: 3, leave: true}},
		{"engines at six tenths of the assumed speed", surge{peak: 3, speed: 0.6}},
		{"all at once", surge{peak: 3, hog: true, retry: true, leave: true}},
	}
	for _, gateways := range []int{12, 25} {
		before, with := make([]*surge, len(patterns)), make([]*surge, len(patterns))
		var wg sync.WaitGroup
		for i, p := range patterns {
			wg.Go(func() {
				p.gateways = gateways
				if i == 1 || i >= len(patterns)-2 {
					before[i] = p.play(1)
				}
				p.admits = true
				with[i] = p.play(1)
			})
		}
		wg.Wait()
		atCapacity := with[0].perSecond(surgeStart+2, surgeEnd)
		for i, p := range patterns {
			b, w := before[i], with[i]
			t.Logf("%d gateways, %s: lowest %.2f; %v", gateways, p.name, w.lowest(atCapacity), w)
			if b != nil {
				t.Logf("policy before: lowest %.2f; %v", b.lowest(atCapacity), b)
			}
			convey.Convey(fmt.Sprint(p.name, ", gateways: ", gateways), t, func() {
				if i == 0 {
					convey.So(w.refused, convey.ShouldEqual, 0)
					convey.So(w.workspaceShare(0), convey.ShouldBeGreaterThan, 0.95)
					return
				}
				convey.So(w.lowest(atCapacity), convey.ShouldBeGreaterThanOrEqualTo, 0.9)
				convey.So(w.share(0, surgeStart, surgeEnd), convey.ShouldBeGreaterThan, w.share(1, surgeStart, surgeEnd))
				convey.So(w.share(0, surgeEnd+2, surgeEnd+5), convey.ShouldBeGreaterThan, 0.95)
				convey.So(w.perSecond(surgeEnd+2, surgeEnd+6), convey.ShouldBeGreaterThan, 0.9*usualLoad*w.speed*capacityRate)
				convey.So(w.wasted, convey.ShouldEqual, 0)
				if b != nil {
					convey.So(b.perSecond(surgeEnd+2, surgeEnd+6), convey.ShouldBeLessThan, 0.5*usualLoad*w.speed*capacityRate)
				}
				if p.hog {
					convey.So(w.workspaceShare(0), convey.ShouldBeGreaterThan, w.workspaceShare(1))
				}
			})
		}
	}
}

// Guards against a size of prompts above which no target has room, however long a stream
// waits.
func TestLargePromptsAreServedUnderOverload(t *testing.T) {
	for _, seed := range []uint64{1} {
		for _, peak := range []float64{1, 1.5, 3} {
			s := surge{gateways: 25, peak: peak, sizes: true, admits: true}.play(seed)
			for kind, name := range []string{"urgent", "long"} {
				all, largest := s.share(kind, surgeStart, surgeEnd), s.largest[kind].onTime/max(s.largest[kind].arrived, 1)
				t.Logf("seed %d, peak %.1f, %s: on time %.3f, of the largest tenth %.3f; %v", seed, peak, name, all, largest, s)
				convey.Convey(fmt.Sprint(name, " streams with large prompts, seed ", seed, ", peak ", peak), t, func() {
					convey.So(largest, convey.ShouldBeGreaterThanOrEqualTo, all/2)
				})
			}
		}
	}
}

// Guards against held short streams that leave KV memory to long ones although they free
// their own at once, and against urgent long streams that fill the KV memory of an engine
// while others have room.
func TestUrgentLongStreamsDoNotTakeTheRoomOfShortOnes(t *testing.T) {
	for _, seed := range []uint64{1} {
		for _, peak := range []float64{0.9, 1.1, 1.3, 3} {
			s := surge{gateways: 25, peak: peak, longFirst: true, kvTokens: 16000}
			before := s.play(seed)
			s.admits = true
			with := s.play(seed)
			for kind, name := range []string{"short", "long"} {
				b, w := before.share(kind, surgeStart, surgeEnd), with.share(kind, surgeStart, surgeEnd)
				t.Logf("seed %d, peak %.1f, KV in use %.2f, %s: on time %.3f, with the policy before %.3f", seed, peak, with.kvShare, name, w, b)
				convey.Convey(fmt.Sprint(name, " streams beside urgent long ones, seed ", seed, ", peak ", peak), t, func() {
					convey.So(w, convey.ShouldBeGreaterThanOrEqualTo, b)
				})
			}
		}
	}
}

// Guards against late work that takes the room of work that was denied, and against a
// reservation of an earlier gateway that is taken for late.
func TestLateReservationsGiveWay(t *testing.T) {
	convey.Convey("Late work is denied while other work was denied a moment ago", t, func() {
		var r Reservations
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		late := &ReservationRequest{ID: "late", PromptTokens: 100, MaxPrefillTokens: 9000, MaxKVTokens: noLimit, Late: true}
		convey.So(r.TryReserve(now, &ReservationRequest{ID: "a", PromptTokens: 3000, MaxPrefillTokens: 0, MaxKVTokens: noLimit}), convey.ShouldBeTrue)
		convey.So(r.TryReserve(now, &ReservationRequest{ID: "b", PromptTokens: 3000, MaxPrefillTokens: 0, MaxKVTokens: noLimit}), convey.ShouldBeFalse)
		convey.So(r.TryReserve(now.Add(lateYield/2), late), convey.ShouldBeFalse)
		convey.So(r.TryReserve(now.Add(lateYield), late), convey.ShouldBeTrue)
	})
}
