package decision

import (
	"hash/fnv"
	"math"
	"time"
)

// MaxSearching is the number of waiting streams of a service that search for room at the same
// time in one process. It exceeds the streams that all engines together start between two
// searches, and bounds the requests to the sidecars.
const MaxSearching = 8

// AdmissionAction is what happens to a stream that has not started.
type AdmissionAction string

// The actions of admission.
const (
	// AdmitOnTime starts a stream whose first event can meet its objective.
	AdmitOnTime AdmissionAction = "start"
	// AdmitLate starts a stream that can only be late, with capacity that no other work
	// wants.
	AdmitLate AdmissionAction = "start late"
	// AdmitWait keeps a stream waiting in front of the engines.
	AdmitWait AdmissionAction = "wait"
	// AdmitRefuse gives a stream up.
	AdmitRefuse AdmissionAction = "refuse"
)

// Reasons for which streams wait or are refused.
const (
	reasonNoRoom     = "no room at any target"
	reasonBehind     = "other streams are ahead"
	reasonGivesWay   = "the capacity is wanted by work that can be on time"
	reasonClientGone = "the first event would come after the client has left"
	reasonDeadline   = "the stream would not be complete by its deadline"
	reasonQueue      = "the queue is too long"
	reasonNoSpare    = "no spare capacity for late work"
)

// Parameters of admission under overload.
const (
	// calmSlotShare is the share of the slots in use below which nothing is refused as long
	// as fewer than MaxSearching streams wait; a refusal there is a fault. Some streams wait
	// for a moment at any load, while they ask for reservations.
	calmSlotShare = 0.5
	// calmBacklogTokens is the mean backlog of a target above which prompts queue at the
	// engines: half a prompt, which is what an engine has left of a prompt in prefill.
	calmBacklogTokens = 1300
	// idleTokenMillis is the time to prefill one prompt token at an engine that decodes
	// nothing: 14 tokens per millisecond.
	idleTokenMillis = 1.0 / 14
	// stepMillis is the shortest time between two events of a stream.
	stepMillis = 7
	// minHeldBacklogTokens is the backlog at which held work may start at any engine. With half
	// a usual prompt, 0.84 of the urgent streams were on time at three times the capacity in
	// place of 0.89.
	minHeldBacklogTokens = 800
	// usualPromptTokens is the size of a usual prompt. Larger ones count as usual in the limits
	// that protect other work, and long held work of any size does: with limits by the size,
	// small prompts took all room, and 4 to 9 % of the largest tenth were on time at three
	// times the capacity, against 28 % of all long streams.
	usualPromptTokens = 2600
	// remainingShare is the part of the time left until the objective within which a
	// prompt must be prefilled. The rest covers the error of the rates.
	remainingShare = 0.85
	// lateSlotShare and lateKVShare are the shares of a target's slots and KV cache up to
	// which late work starts there. The rest is for work that can be on time.
	lateSlotShare = 0.75
	lateKVShare   = 0.75
	// lateWaitShare is the part of the time between its objective and its last useful
	// moment that late work waits for spare capacity. A client that is refused then has
	// time for another try. With a quarter, work was refused at a load equal to the
	// capacity.
	lateWaitShare = 0.5
	// maxOutputShare bounds the time for the output as a part of the limit. The client's
	// estimate of its output may be far too high, and must not cause a refusal by itself.
	maxOutputShare = 0.5
	// maxRetryShare is the part of the remaining time up to which clients honour a retry
	// delay.
	maxRetryShare = 1.0 / 3
	// minOverloadRetryAfter is the shortest retry delay under overload. Shorter ones
	// return the client before the queue has changed.
	minOverloadRetryAfter = 250 * time.Millisecond
	// minClientPatience, objectivePatience and gapPatience define how long a client waits
	// for an event: the longest of a fixed time, a multiple of the latency objective and a
	// multiple of the objective for gaps.
	minClientPatience = 2 * time.Second
	objectivePatience = 4
	gapPatience       = 8
)

// ClientPatience returns how long a client waits for the first event of a stream before it
// disconnects.
func ClientPatience(objective, gapObjective time.Duration) time.Duration {
	return max(minClientPatience, objectivePatience*objective, gapPatience*gapObjective)
}

// AdmissionWork is a stream that has not started, at one moment. Times count from its
// arrival.
type AdmissionWork struct {
	PlacementWork
	// ID spreads retry delays.
	ID        string
	Waited    time.Duration
	Objective time.Duration
	// Patience is when the client leaves without a first event, Limit when the stream must
	// be complete.
	Patience time.Duration
	Limit    time.Duration
	// OutputTokens is the expected output, 0 if unknown.
	OutputTokens int
	// OverShare marks work beyond the usual share of its workspace.
	OverShare bool
	// Pace is the measured duration of prefills relative to the expected one, at least 1.
	Pace float64
	// Holdback is the rule that protects more urgent work, nil for the most urgent kind.
	Holdback *Holdback
}

// LateAfter returns the wait after which the stream can be late only, even at an idle engine
// at normal speed.
func (w *AdmissionWork) LateAfter() time.Duration {
	return w.Objective - millisDuration(idleTokenMillis*float64(w.PromptTokens))
}

// TightAfter returns the wait after which the stream can be on time only at an engine without
// another prompt before it. A large prompt counts as a usual one: it would come after all
// others of its priority from its arrival on.
func (w *AdmissionWork) TightAfter() time.Duration {
	return max(w.Objective-millisDuration(2*loadedTokenMillis*float64(min(w.PromptTokens, usualPromptTokens))), 0)
}

// QueueAhead is the waiting work in front of a stream.
type QueueAhead struct {
	// Others is the number of other streams that wait in this process.
	Others int
	// Ahead is the number of those that are ahead of the stream and search for room, OnTime
	// the number of those ahead that can be on time.
	Ahead  int
	OnTime int
	// Tokens are the prompts of the streams ahead. Processes is the number of processes that
	// each have such a queue.
	Tokens    int
	Processes int
}

// Room is a target at which a stream may start, with the limits of its reservation there; a
// negative limit does not apply.
type Room struct {
	Index       int
	MaxPrefill  int
	MaxKVTokens int
}

// Admission is the decision about a stream at one moment, with the values that decided.
type Admission struct {
	Action AdmissionAction
	Reason string
	// Rooms are the targets at which the stream may start.
	Rooms []Room
	// Late is set if the stream can only be late or exceeds the share of its workspace: it
	// gives way to other work.
	Late bool
	// Calm is set if the targets are not overloaded. A stream then starts after a bounded
	// wait even if no target grants a reservation.
	Calm bool
	// RetryAfter is the delay after which a refused client can be served, 0 if it is not
	// within the time that clients wait.
	RetryAfter time.Duration
	// Wait is the expected wait behind the work ahead, Prefill the shortest time from a
	// start to the first event, Useful the time after which a first event has no value.
	Wait, Prefill, Useful time.Duration
}

// targetTokenMillis estimates the time in which a target prefills one prompt token: it grows
// with the number of streams that the target decodes.
func targetTokenMillis(t *PlacementTarget) float64 {
	batch := 0.0
	if t.Slots > 0 {
		batch = min(float64(max(t.DecodingStreams, 0))/float64(t.Slots), 1)
	}
	return (idleTokenMillis + (loadedTokenMillis-idleTokenMillis)*batch) * max(t.Slowdown, 1)
}

// ExpectedPrefill returns the expected time in which a target prefills its backlog.
func ExpectedPrefill(t *PlacementTarget, backlog int) time.Duration {
	return millisDuration(targetTokenMillis(t) * float64(backlog))
}

// PrefillPace measures how long prefills take relative to the expected time, as a moving
// average of the streams of one service. The rates of an engine are known for a normal host
// only: at six tenths of them, streams started too late to be on time. It is not safe for
// concurrent use.
type PrefillPace struct{ expected, actual float64 }

const (
	// paceWeight is the weight of a stream in the average, which follows a change within
	// some twenty streams.
	paceWeight = 0.05
	// maxPace bounds the factor and each observation: a prefill may have waited for something
	// else, such as memory. Without the bound on observations, one first event after 10 s in
	// place of 0.3 s raised the factor to 2.6.
	maxPace = 3
)

// Observe counts the prefill of a stream.
func (p *PrefillPace) Observe(expected, actual time.Duration) {
	if expected <= 0 || actual <= 0 {
		return
	}
	if p.expected == 0 {
		p.expected, p.actual = float64(expected), float64(expected)
	}
	actual = min(actual, maxPace*expected)
	p.expected += (float64(expected) - p.expected) * paceWeight
	p.actual += (float64(actual) - p.actual) * paceWeight
}

// Factor returns the pace, in [1, maxPace]; 1 if it is unknown.
func (p *PrefillPace) Factor() float64 {
	if p.expected == 0 {
		return 1
	}
	return min(max(p.actual/p.expected, 1), maxPace)
}

// forecast sets the values that decide, except for the rooms.
func (a *Admission) forecast(w *AdmissionWork, targets []PlacementTarget, ahead QueueAhead) {
	var requests, slots, backlog, reachable int
	tokensPerMilli, fastest, earliest := 0.0, math.Inf(1), math.Inf(1)
	for i := range targets {
		t := &targets[i]
		if t.Unreachable {
			continue
		}
		reachable++
		requests += t.Requests
		slots += t.Slots
		backlog += t.PrefillTokens
		millis := targetTokenMillis(t) * max(w.Pace, 1)
		tokensPerMilli += 1 / millis
		fastest = min(fastest, millis)
		earliest = min(earliest, millis*float64(t.PrefillTokens+w.PromptTokens))
	}
	quiet := float64(requests) < calmSlotShare*float64(slots) && backlog < calmBacklogTokens*reachable
	a.Calm = quiet && ahead.Others < MaxSearching
	output := min(time.Duration(w.OutputTokens)*stepMillis*time.Millisecond, time.Duration(maxOutputShare*float64(w.Limit)))
	a.Useful = min(w.Patience, w.Limit-output)
	if math.IsInf(earliest, 1) {
		// No engine is known to answer, so there is nothing to estimate from.
		a.Calm = true
		earliest, fastest, tokensPerMilli = 0, idleTokenMillis, math.Inf(1)
	}
	a.Prefill = millisDuration(earliest)
	// While the engines are quiet, a queue here is that of this process alone.
	queued := float64(ahead.Tokens)
	if !quiet {
		queued *= float64(max(ahead.Processes, 1))
	}
	a.Wait = millisDuration(queued / tokensPerMilli)
	a.Late = w.OverShare || w.Waited > w.Objective-millisDuration(fastest*float64(w.PromptTokens))
}

// Admit decides about a stream. Targets without a KV cache of known size, slots or slowdown
// are not limited by these.
func Admit(w *AdmissionWork, targets []PlacementTarget, ahead QueueAhead) Admission {
	a := Admission{Action: AdmitWait}
	a.forecast(w, targets, ahead)
	if !a.Calm {
		if reason := a.refusal(w); reason != "" {
			a.Action, a.Reason = AdmitRefuse, reason
			a.RetryAfter = a.retryAfter(w)
			return a
		}
	}
	switch {
	case ahead.Ahead >= MaxSearching:
		a.Reason = reasonBehind
		return a
	case a.Late && !a.Calm && ahead.OnTime > 0:
		a.Reason = reasonGivesWay
		return a
	}
	a.findRooms(w, targets, true)
	if len(a.Rooms) == 0 && w.Holdback == nil && w.Long {
		a.findRooms(w, targets, false)
	}
	switch {
	case len(a.Rooms) == 0:
		a.Reason = reasonNoRoom
	case a.Late:
		a.Action = AdmitLate
	default:
		a.Action = AdmitOnTime
	}
	return a
}

func millisDuration(millis float64) time.Duration {
	return time.Duration(min(millis, maxRetryAfter.Seconds()*1000) * float64(time.Millisecond))
}

// refusal returns why a stream cannot be of use any more, "" if it can.
func (a *Admission) refusal(w *AdmissionWork) string {
	switch {
	case w.Waited+a.Prefill > a.Useful && a.Useful < w.Patience:
		return reasonDeadline
	case w.Waited+a.Prefill > a.Useful:
		return reasonClientGone
	case w.Waited+a.Wait+a.Prefill > a.Useful:
		return reasonQueue
	case w.Waited > w.Objective && w.Waited > w.Objective+time.Duration(lateWaitShare*float64(a.Useful-w.Objective)):
		return reasonNoSpare
	}
	return ""
}

// retryAfter returns the delay after which a client that returns can be on time, with jitter,
// so that clients that are refused together do not return together.
func (a *Admission) retryAfter(w *AdmissionWork) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(w.ID))
	after := time.Duration(float64(max(a.Wait+a.Prefill-w.Objective, minOverloadRetryAfter)) * (1 + retryJitter*float64(h.Sum32())/math.MaxUint32))
	if float64(after) > maxRetryShare*float64(w.Limit-w.Waited) {
		return 0
	}
	return after
}

// noLimit is a limit of a reservation that does not apply.
const noLimit = -1

// findRooms sets the rooms. limitsKV limits the most urgent long work to the KV cache.
func (a *Admission) findRooms(w *AdmissionWork, targets []PlacementTarget, limitsKV bool) {
	a.Rooms = make([]Room, 0, len(targets))
	for i := range targets {
		if room, ok := a.room(w, i, &targets[i], limitsKV); ok {
			a.Rooms = append(a.Rooms, room)
		}
	}
}

// room returns the limits at a target, and false if the target has no room according to its
// load.
func (a *Admission) room(w *AdmissionWork, index int, t *PlacementTarget, limitsKV bool) (Room, bool) {
	r := Room{Index: index, MaxKVTokens: noLimit}
	if t.Unreachable {
		return r, false
	}
	switch {
	case a.Calm && w.Holdback == nil:
		r.MaxPrefill = MaxBacklogTokens(w.PlacementWork, w.Objective, t)
	case a.Calm:
		r.MaxPrefill = heldBacklog(w.Holdback, w.PromptTokens, t)
	case a.Late:
		h := w.Holdback
		if h == nil {
			h = &Holdback{UrgentObjective: w.Objective, UrgentPromptTokens: min(w.PromptTokens, usualPromptTokens)}
		}
		r.MaxPrefill = h.MaxBacklogTokens(PlacementWork{PromptTokens: min(w.PromptTokens, usualPromptTokens)}, t)
	default:
		r.MaxPrefill = maxOnTimeBacklog(w, t)
	}
	slots := float64(t.Slots)
	if t.KVCapacityTokens > 0 {
		switch {
		case a.Late && !a.Calm:
			r.MaxKVTokens = int(lateKVShare * float64(t.KVCapacityTokens))
			slots *= lateSlotShare
		case w.Holdback != nil && !w.Long, w.Holdback == nil && w.Long && limitsKV:
			// Short work frees its part of the cache at once.
			r.MaxKVTokens = t.KVCapacityTokens
		case w.Holdback != nil:
			// One urgent prompt must find room beside held work, which keeps half of a
			// cache that is smaller than two prompts.
			r.MaxKVTokens = max(t.KVCapacityTokens-w.Holdback.UrgentPromptTokens, t.KVCapacityTokens/2)
		}
	}
	hasSlot := a.Calm || t.Slots == 0 || float64(t.Requests) < slots
	fits := r.MaxKVTokens == noLimit || t.KVTokens+w.KVTokens <= r.MaxKVTokens
	return r, hasSlot && fits && t.PrefillTokens <= r.MaxPrefill
}

// maxOnTimeBacklog returns the largest backlog of a target at which work starts that can be
// on time there. A prompt above the usual size counts as one of that size for the share of
// the objective that the prefill may take: it starts as long as its own first event is on
// time, since otherwise it would find room at idle engines only, and under overload none is
// idle.
func maxOnTimeBacklog(w *AdmissionWork, t *PlacementTarget) int {
	tokensPerNano := 1 / (targetTokenMillis(t) * max(w.Pace, 1) * float64(time.Millisecond))
	tokensWithin := func(d time.Duration) int { return int(float64(d) * tokensPerNano) }
	limit := tokensWithin(time.Duration(ownShare*float64(w.Objective))) - min(w.PromptTokens, usualPromptTokens)
	if h := w.Holdback; h != nil {
		held := heldBacklog(h, usualPromptTokens, t)
		if !w.Long {
			// Short held work counts with the measured rate, like urgent work: with the
			// lower rate beside a full batch, its sidecars denied nearly all reservations.
			own := min(w.PromptTokens, usualPromptTokens)
			held = max(held, tokensWithin(time.Duration(urgentShare*float64(h.UrgentObjective)))-own-h.UrgentPromptTokens)
		}
		limit = min(limit, held)
	}
	return max(min(limit, tokensWithin(time.Duration(remainingShare*float64(w.Objective-w.Waited)))-w.PromptTokens), 0)
}

// heldBacklog returns the largest backlog of a target at which held work starts with a prompt
// of the given size, counted as at most a usual one. A small backlog is no reason to wait.
func heldBacklog(h *Holdback, promptTokens int, t *PlacementTarget) int {
	w := PlacementWork{PromptTokens: min(promptTokens, usualPromptTokens)}
	return max(h.MaxBacklogTokens(w, t), minHeldBacklogTokens)
}

// MayStartAnywhere reports whether a stream starts at any target although no reservation was
// granted. It does only while the targets are not overloaded; busy states that a sidecar has
// denied a reservation because of its backlog, which the load reports do not show yet.
func (a *Admission) MayStartAnywhere(w *AdmissionWork, busy bool) bool {
	if !a.Calm {
		return false
	}
	if w.Holdback != nil {
		return w.Holdback.MustStart(w.Waited, w.Objective, w.Limit)
	}
	return !busy || w.Waited > w.Objective/2
}

// HasNoRoom reports whether the stream searched and found no target with room.
func (a *Admission) HasNoRoom() bool { return a.Reason == reasonNoRoom }

// RoomChoice draws rooms one after the other, by the scores of their targets.
type RoomChoice struct {
	rooms   []Room
	weights []float64
	total   float64
}

// ChooseRooms returns the choice among the rooms of an admission whose targets are
// acceptable. The probability of a target is that of Pick.
func (c *PlacementCosts) ChooseRooms(w PlacementWork, targets []PlacementTarget, rooms []Room) *RoomChoice {
	choice := &RoomChoice{}
	if len(rooms) == 0 {
		return choice
	}
	scores := make([]float64, len(targets))
	lowest := math.Inf(1)
	for i := range targets {
		scores[i] = c.Score(w, &targets[i])
		lowest = min(lowest, scores[i])
	}
	choice.rooms = make([]Room, 0, len(rooms))
	choice.weights = make([]float64, 0, len(rooms))
	for _, r := range rooms {
		if scores[r.Index] > lowest+maxDetourMillis {
			continue
		}
		weight := math.Exp((lowest - scores[r.Index]) / c.SpreadMillis)
		choice.rooms, choice.weights = append(choice.rooms, r), append(choice.weights, weight)
		choice.total += weight
	}
	return choice
}

// Next draws a room and removes it. It returns false if there is none left. u is uniform in
// [0, 1).
func (c *RoomChoice) Next(u float64) (Room, bool) {
	if len(c.rooms) == 0 {
		return Room{}, false
	}
	u *= c.total
	drawn := len(c.rooms) - 1
	for i, weight := range c.weights {
		if u -= weight; u < 0 {
			drawn = i
			break
		}
	}
	room, last := c.rooms[drawn], len(c.rooms)-1
	c.total -= c.weights[drawn]
	c.rooms[drawn], c.weights[drawn] = c.rooms[last], c.weights[last]
	c.rooms, c.weights = c.rooms[:last], c.weights[:last]
	return room, true
}
