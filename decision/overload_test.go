package decision

import (
	"fmt"
	"math/rand/v2"
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
	peak               float64
	hog, retry, leave  bool
	admits             bool
	engines            []*surgeEngine
	queues             []*surgeQueue
	rng                *rand.Rand
	now                time.Time
	tick               int
	waiting            []*surgeStream
	onTimePerSecond    [surgeSeconds]float64
	arrived, onTime    [2][surgeSeconds]float64
	hogs, others       struct{ arrived, onTime float64 }
	late, refused      int
	reasons            map[string]int
	wasted, maxWaiting int
}

// Figures of a surge.
const (
	surgeTick        = 5 * time.Millisecond
	surgeStart       = 6
	surgeLeave       = 9
	surgeEnd         = 14
	surgeSeconds     = 24
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
	hog       bool
	retries   int
	arrived   time.Time
	work      AdmissionWork
	waiting   *WaitingStream
	gateway   int
	nextTry   time.Time
	remaining int
	events    int
	started   bool
}

type surgeQueue struct {
	streams WaitQueue
	shares  UsualShares
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
	e.prefilled += millis / (1.0/14 + (1.0/5-1.0/14)*batch)
	for len(e.queue) > 0 && e.prefilled > 0 {
		st := e.queue[0]
		if len(e.decoding) >= surgeSlots || e.kvTokens()+st.work.PromptTokens > surgeKVTokens {
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
		st.started = true
		s.count(st)
	}
	e.prefilled = min(e.prefilled, 0)
	for e.decoded += millis / (7 + 14*batch); e.decoded >= 1; e.decoded-- {
		running := e.decoding[:0]
		for _, st := range e.decoding {
			if st.events++; st.events < st.work.OutputTokens {
				running = append(running, st)
			}
		}
		e.decoding = running
	}
}

// count counts a stream whose first event is generated.
func (s *surge) count(st *surgeStream) {
	if s.now.Sub(st.arrived) > st.work.Objective {
		s.late++
		return
	}
	s.onTimePerSecond[s.tick/ticksPerSecond]++
	s.onTime[st.kind][s.second(st)]++
	if s.second(st) >= surgeStart && s.second(st) < surgeEnd {
		if st.hog {
			s.hogs.onTime++
		} else {
			s.others.onTime++
		}
	}
}

// second returns the second in which a stream arrived.
func (s *surge) second(st *surgeStream) int {
	return int(surgeSeconds - (s.endsAt().Sub(st.arrived)+time.Second-1)/time.Second)
}

func (s *surge) endsAt() time.Time {
	return s.now.Add(time.Duration(surgeSeconds*ticksPerSecond-s.tick) * surgeTick)
}

// arrive adds the streams that arrive in a tick.
func (s *surge) arrive() {
	second := s.tick / ticksPerSecond
	burst := second >= surgeStart && second < surgeEnd
	for w := range surgeWorkspaces {
		rate := usualLoad * capacityRate / surgeWorkspaces
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
			if s.rng.Float64() < n {
				kind := 0
				if s.rng.Float64() > urgentFraction {
					kind = 1
				}
				s.add(kind, w, 0, 0)
			}
		}
	}
}

func (s *surge) add(kind, workspace, retries int, used time.Duration) {
	st := &surgeStream{id: fmt.Sprint(s.tick, "-", s.rng.Uint32()), kind: kind, hog: s.hog && workspace == 0, retries: retries, arrived: s.now, nextTry: s.now, gateway: s.rng.IntN(s.gateways)}
	st.work = AdmissionWork{ID: st.id, Objective: 1500 * time.Millisecond, Limit: 6*time.Second - used, OutputTokens: 3}
	st.work.PromptTokens = 2200
	if kind == 1 {
		st.work.Objective, st.work.Limit, st.work.OutputTokens = 4*time.Second, 39*time.Second-used, 188
		st.work.PromptTokens, st.work.Long = 3000, true
		st.work.Holdback = &Holdback{UrgentObjective: 1500 * time.Millisecond, UrgentPromptTokens: 2600}
	}
	st.work.Patience = ClientPatience(st.work.Objective, 180*time.Millisecond)
	st.work.KVTokens = st.work.PromptTokens + st.work.OutputTokens
	st.remaining = st.work.PromptTokens
	q := s.queues[st.gateway]
	st.work.OverShare = s.admits && q.shares.Observe(s.now, fmt.Sprint(workspace), st.work.PromptTokens)
	st.waiting = &WaitingStream{Priority: kind, ArrivedAt: s.now, TightAt: s.now.Add(st.work.TightAfter()), LateAt: s.now.Add(st.work.LateAfter()), PromptTokens: st.work.PromptTokens, OverShare: st.work.OverShare}
	q.streams.Add(st.waiting, s.now)
	s.waiting = append(s.waiting, st)
	s.arrived[kind][s.second(st)]++
	if second := s.second(st); second >= surgeStart && second < surgeEnd {
		if st.hog {
			s.hogs.arrived++
		} else {
			s.others.arrived++
		}
	}
}

// place places a waiting stream and reports whether its wait has ended.
func (s *surge) place(st *surgeStream) bool {
	st.work.Waited = s.now.Sub(st.arrived)
	if st.work.Waited > min(st.work.Patience, st.work.Limit) {
		return true
	}
	costs := DefaultPlacementCosts()
	costs = costs.Shared(s.gateways, st.work.PlacementWork)
	var engines []*surgeEngine
	var targets []PlacementTarget
	for _, e := range s.engines {
		if lag := minSurgeLagTicks + s.rng.IntN(maxSurgeLagTicks-minSurgeLagTicks); !e.leaving {
			engines = append(engines, e)
			targets = append(targets, e.history[max(len(e.history)-lag, 0)])
		}
	}
	position, ahead := s.queues[st.gateway].streams.Position(st.waiting, s.gateways, s.now)
	if !s.admits {
		// The policy before admission: urgent streams start at any load, others after a
		// bounded wait.
		position, ahead = 0, QueueAhead{}
		for i := range targets {
			targets[i].Slots = 1 << 20
		}
	}
	a := Admit(&st.work, targets, ahead)
	if !s.admits {
		a = Admission{Calm: true}
		for i := range targets {
			if r, ok := a.room(&st.work, i, &targets[i]); ok {
				a.Rooms = append(a.Rooms, r)
			}
		}
	}
	if a.Action == AdmitRefuse {
		s.reasons[fmt.Sprint(a.Reason, st.kind)]++
		s.refuse(st, a.RetryAfter)
		return true
	}
	rooms, busy := a.Rooms, false
	acceptable := costs.Acceptable(st.work.PlacementWork, targets)
	for try := 0; try < 3 && position < 8 && len(rooms) > 0; try++ {
		var loads []PlacementTarget
		var open []Room
		for _, r := range rooms {
			if acceptable[r.Index] {
				open, loads = append(open, r), append(loads, targets[r.Index])
			}
		}
		i := costs.Pick(st.work.PlacementWork, loads, s.rng.Float64())
		if i < 0 {
			break
		}
		r := open[i]
		if s.send(st, engines[r.Index], r, a.Late && !a.Calm) {
			return true
		}
		busy = true
		rooms = append(open[:i:i], open[i+1:]...)
	}
	if a.MayStartAnywhere(&st.work, busy && s.admits) {
		return s.send(st, engines[costs.Pick(st.work.PlacementWork, targets, s.rng.Float64())], Room{MaxPrefill: noLimit, MaxKVTokens: noLimit}, false)
	}
	return false
}

func (s *surge) send(st *surgeStream, e *surgeEngine, r Room, late bool) bool {
	if !e.account.TryReserve(s.now, &ReservationRequest{ID: st.id, PromptTokens: st.work.PromptTokens, KVTokens: st.work.KVTokens, MaxPrefillTokens: r.MaxPrefill, MaxKVTokens: r.MaxKVTokens, Late: late}) {
		return false
	}
	e.queue = append(e.queue, st)
	return true
}

// refuse lets the client of a refused stream return once.
func (s *surge) refuse(st *surgeStream, _ time.Duration) {
	s.refused++
	if s.retry && st.retries == 0 {
		workspace := 1 + s.rng.IntN(surgeWorkspaces-1)
		if st.hog {
			workspace = 0
		}
		s.add(st.kind, workspace, 1, s.now.Sub(st.arrived))
	}
}

func (s surge) play(seed uint64) *surge {
	s.rng, s.now = rand.New(rand.NewPCG(seed, 5)), time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for range surgeEngines {
		s.engines = append(s.engines, &surgeEngine{history: []PlacementTarget{{Slots: surgeSlots, KVCapacityTokens: surgeKVTokens}}})
	}
	s.reasons = map[string]int{}
	for range s.gateways {
		s.queues = append(s.queues, &surgeQueue{})
	}
	// The usual shares are known from the minutes before.
	for ago := 10 * time.Minute; ago > 0; ago -= 10 * time.Millisecond {
		q := s.queues[s.rng.IntN(s.gateways)]
		q.shares.Observe(s.now.Add(-ago), fmt.Sprint(s.rng.IntN(surgeWorkspaces)), 2500)
	}
	for ; s.tick < surgeSeconds*ticksPerSecond; s.tick++ {
		s.arrive()
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
			e.history = append(e.history, PlacementTarget{
				Slots: surgeSlots, KVCapacityTokens: surgeKVTokens, Requests: len(e.queue) + len(e.decoding), DecodingStreams: len(e.decoding),
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

// lowest returns the lowest goodput of two seconds of the burst.
func (s *surge) lowest() float64 {
	lowest := s.onTimePerSecond[surgeStart]
	for i := surgeStart + 1; i < surgeEnd; i++ {
		lowest = min(lowest, (s.onTimePerSecond[i-1]+s.onTimePerSecond[i])/2)
	}
	return lowest
}

func (s *surge) String() string {
	return fmt.Sprintf("on time before %.2f/%.2f burst %.3f/%.3f after 2 s %.2f/%.2f; goodput lowest %.0f mean %.0f; late %d refused %d wasted %d; others %.2f hog %.2f; max waiting %d %v",
		s.share(0, 2, surgeStart), s.share(1, 2, surgeStart), s.share(0, surgeStart, surgeEnd), s.share(1, surgeStart, surgeEnd),
		s.share(0, surgeEnd+2, surgeSeconds-4), s.share(1, surgeEnd+2, surgeSeconds-4), s.lowest(), (s.share(0, surgeStart, surgeEnd)*total(s.arrived[0][surgeStart:surgeEnd])+s.share(1, surgeStart, surgeEnd)*total(s.arrived[1][surgeStart:surgeEnd]))/(surgeEnd-surgeStart),
		s.late, s.refused, s.wasted, s.others.onTime/max(s.others.arrived, 1), s.hogs.onTime/max(s.hogs.arrived, 1), s.maxWaiting, s.reasons)
}

func total(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum
}

func TestSurge(t *testing.T) {
	convey.Convey("x", t, func() {
		for _, gateways := range []int{12, 25} {
			for name, f := range map[string]surge{
				"calm": {peak: 0.8}, "capacity": {peak: 1}, "quiet": {peak: 0.6, leave: true}, "cap1.5": {peak: 1.5}, "peak": {peak: 3}, "hog": {hog: true, peak: 1.3}, "hog3": {hog: true, peak: 3}, "leave": {peak: 1, leave: true}, "all": {peak: 3, hog: true, retry: true, leave: true},
			} {
				for _, admits := range []bool{false, true} {
					f.gateways, f.admits = gateways, admits
					start := time.Now()
					t.Logf("%d %s admits=%v: %v (%v)", gateways, name, admits, f.play(1), time.Since(start))
				}
			}
		}
	})
}
