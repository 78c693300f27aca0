package agent

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/result"
)

// Limits of calls that run at most once and of their stored outcomes.
const (
	// outcomeRetention is how long the agent keeps the outcome of a call after
	// the call's end. A call whose sender chose the agent more than
	// outcomeRetention ago is not started, since an earlier outcome may have been
	// removed.
	outcomeRetention = 15 * time.Minute
	// maxStartDelay bounds the time from the sender's choice of the agent to the
	// start of the call. It is shorter than outcomeRetention by at least the
	// longest wait of an outcome query.
	maxStartDelay = 10 * time.Minute
	// maxReplyBytes is the total size of the stored reply bodies from which prune
	// removes them.
	maxReplyBytes = 16 << 20
	// arrivalPollInterval is how often an outcome query looks for a call that may
	// still arrive.
	arrivalPollInterval = 10 * time.Millisecond
	// arrivalTimeout is how long an outcome query waits for a call to arrive
	// before the call is withdrawn.
	arrivalTimeout = 500 * time.Millisecond
	// prunePeriod is the minimum time between two runs of prune.
	prunePeriod = time.Second
	// maxOutcomeWait bounds how long an outcome query waits for a call to end.
	maxOutcomeWait = 30 * time.Second
)

// atMostOnceCall is a call that runs at most once, or one that was withdrawn
// before it arrived.
type atMostOnceCall struct {
	spec      peer.AtMostOnce
	withdrawn bool
	// done is closed when reply is set.
	done    chan struct{}
	reply   *peer.Reply
	endedAt time.Time
}

// reservedKey is the ID of the only call that may start with a key, and the time of the last
// query that reserved the key for it.
type reservedKey struct {
	id string
	at time.Time
}

// atMostOnceTable holds calls by ID and by idempotency key. It is safe for
// concurrent use. A call that is in the table never starts a second time.
type atMostOnceTable struct {
	mu    sync.Mutex
	calls map[string]*atMostOnceCall
	byKey map[string]string
	// reserved maps keys to the only calls that may start with them.
	reserved   map[string]reservedKey
	replyBytes int
	jobCount   int
	lastPruned time.Time
}

func newAtMostOnceTable() *atMostOnceTable {
	return &atMostOnceTable{calls: map[string]*atMostOnceCall{}, byKey: map[string]string{}, reserved: map[string]reservedKey{}}
}

// getOrAdd adds a call. If the table already holds a call with the same ID, getOrAdd
// returns that one and isNew is false. The same holds for a call with the same key: the
// store has then lost the claim of that call in a restore. A call whose key is reserved
// for another one is added as withdrawn.
func (t *atMostOnceTable) getOrAdd(id string, spec peer.AtMostOnce) (c *atMostOnceCall, isNew bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(time.Now())
	if found, ok := t.calls[id]; ok {
		return found, false
	}
	if found, ok := t.calls[t.byKey[spec.Key]]; ok && spec.Key != "" {
		return found, false
	}
	if r, ok := t.reserved[spec.Key]; ok && r.id != id {
		c = &atMostOnceCall{withdrawn: true, endedAt: time.Now()}
		t.calls[id] = c
		return c, false
	}
	c = &atMostOnceCall{spec: spec, done: make(chan struct{})}
	t.calls[id] = c
	t.byKey[spec.Key] = id
	return c, true
}

// finish stores the reply of a call. A call that did not run is removed, so that
// its sender may send it again.
func (t *atMostOnceTable) finish(id string, reply *peer.Reply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.calls[id]
	c.reply, c.endedAt = reply, time.Now()
	if reply.Error != nil && reply.Error.Ran == result.RanNo {
		t.remove(id)
	} else {
		t.replyBytes += len(reply.Body)
	}
	close(c.done)
}

// reserve ensures that no other call with the key starts from now on. It has no effect on a
// call that the table already holds.
func (t *atMostOnceTable) reserve(key, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reserved[key] = reservedKey{id, time.Now()}
}

// withdraw ensures that a call that has not arrived never starts.
func (t *atMostOnceTable) withdraw(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.calls[id]; !ok {
		t.calls[id] = &atMostOnceCall{withdrawn: true, endedAt: time.Now()}
	}
}

// find returns the call with the ID or, if the ID is empty, with the idempotency
// key. The call is nil if the table does not hold it.
func (t *atMostOnceTable) find(id, key string) (string, *atMostOnceCall) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if id == "" {
		id = t.byKey[key]
	}
	return id, t.calls[id]
}

// remove removes a call. Callers hold the lock.
func (t *atMostOnceTable) remove(id string) {
	c := t.calls[id]
	delete(t.calls, id)
	if t.byKey[c.spec.Key] == id {
		delete(t.byKey, c.spec.Key)
	}
}

// prune removes calls that ended more than outcomeRetention ago. From
// maxReplyBytes on it removes the stored replies of ended calls, but keeps the
// information that the calls ran. Callers hold the lock.
func (t *atMostOnceTable) prune(now time.Time) {
	if now.Sub(t.lastPruned) < prunePeriod {
		return
	}
	t.lastPruned = now
	for key, r := range t.reserved {
		if now.Sub(r.at) >= outcomeRetention {
			delete(t.reserved, key)
		}
	}
	for id, c := range t.calls {
		if c.endedAt.IsZero() || (now.Sub(c.endedAt) < outcomeRetention && t.replyBytes < maxReplyBytes) {
			continue
		}
		if c.reply != nil {
			t.replyBytes -= len(c.reply.Body)
			c.reply = &peer.Reply{
				ID:    c.reply.ID,
				Error: result.New(result.OutcomeUnknown, result.RanYes, "the call ran; its answer is no longer held"),
			}
		}
		if now.Sub(c.endedAt) >= outcomeRetention {
			t.remove(id)
		}
	}
}

// jobID returns a unique job ID for submitting a call to the queue, since the
// queue accepts a job ID only once and a sender may send a call again.
func (t *atMostOnceTable) jobID(id string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.jobCount++
	return id + "#" + strconv.Itoa(t.jobCount)
}

// uptime returns the time since the agent was created, including the time in which its VM
// was suspended.
func (a *Agent) uptime() time.Duration { return a.clock() - a.startTime }

// handleAtMostOnce starts a call that may run at most once and answers with its
// reply. If the call has arrived before, it waits for the reply of that call.
func (a *Agent) handleAtMostOnce(w http.ResponseWriter, r *http.Request, call *peer.Call) {
	if call.Incarnation != a.incarnation {
		result.Write(w, result.New(result.TargetLeaving, result.RanUnknown, "the target was replaced"))
		return
	}
	c, isNew := a.atMostOnce.getOrAdd(call.ID, *call.AtMostOnce)
	switch {
	case c.withdrawn:
		result.Write(w, result.New(result.AttemptRevoked, result.RanNo, "the call was withdrawn"))
		return
	case c.spec.Fingerprint != call.AtMostOnce.Fingerprint:
		result.Write(w, result.New(result.KeyReused, result.RanNo, "the key was used with other content"))
		return
	case isNew:
		a.startAtMostOnce(call)
	}
	select {
	case <-c.done:
	case <-a.answers.Done():
	case <-r.Context().Done():
		return
	}
	out := outcomeAtEnd(call.ID)
	if reply := a.atMostOnce.replyTo(c); reply != nil {
		*out = *reply
		out.ID = call.ID
	}
	a.writeOutcome(w, out)
}

// replyTo returns the reply to a call, or nil before the call's end.
func (t *atMostOnceTable) replyTo(c *atMostOnceCall) *peer.Reply {
	t.mu.Lock()
	defer t.mu.Unlock()
	return c.reply
}

// checkStartDelay refuses a call if its sender chose this process too long ago.
// Once outcomeRetention has passed since that choice, the table may no longer show
// whether the call ran before or was withdrawn.
func (a *Agent) checkStartDelay(spec *peer.AtMostOnce) *result.Error {
	startDelay := a.uptime() - time.Duration(spec.AgentUptimeMillis)*time.Millisecond
	maxDelay := min(time.Duration(spec.StartWithinMillis)*time.Millisecond, maxStartDelay)
	switch {
	case startDelay < 0:
		return result.New(result.InvalidRequest, result.RanNo, "the key was not issued by this target")
	case startDelay > outcomeRetention:
		return result.New(result.OutcomeUnknown, result.RanUnknown, "the key is too old to tell whether the call ran")
	case startDelay > maxDelay:
		return result.New(result.AttemptRevoked, result.RanNo, "the call arrived too late and was not started")
	}
	return nil
}

// startAtMostOnce submits the call to the queue. All requests that wait for the
// call receive its reply. The call does not depend on the connection of its
// sender.
func (a *Agent) startAtMostOnce(call *peer.Call) {
	// The table was pruned before the call was added. If pruning removed a
	// withdrawal of the same call, the call is too old to pass this check.
	if refusal := a.checkStartDelay(call.AtMostOnce); refusal != nil {
		a.atMostOnce.finish(call.ID, &peer.Reply{ID: call.ID, Error: refusal})
		return
	}
	queued := *call
	queued.ID = a.atMostOnce.jobID(call.ID)
	done := make(chan *peer.Reply, 1)
	j := a.newCallJob(&queued, done)
	j.refuse = func(e *result.Error) {
		a.atMostOnce.finish(call.ID, &peer.Reply{ID: call.ID, Error: e})
		close(done)
	}
	if refusal := a.submit(j); refusal != nil {
		a.atMostOnce.finish(call.ID, &peer.Reply{ID: call.ID, Error: refusal})
		return
	}
	go func() {
		if out, isRun := <-done; isRun {
			out.ID = call.ID
			a.atMostOnce.finish(call.ID, out)
		}
	}()
}

func (a *Agent) handleOutcome(w http.ResponseWriter, r *http.Request) {
	var q peer.OutcomeQuery
	if !decodeMessage(w, r, &q) {
		return
	}
	if (q.ID != "" || q.OnlyCall != "") && q.Incarnation != a.incarnation {
		writeReply(w, peer.Outcome{ID: q.ID, State: peer.CallUnknown})
		return
	}
	wait := min(time.Duration(q.WaitMillis)*time.Millisecond, maxOutcomeWait)
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	writeReply(w, a.queryOutcome(ctx, q))
}

func (a *Agent) queryOutcome(ctx context.Context, q peer.OutcomeQuery) peer.Outcome {
	if q.ID == "" && q.OnlyCall != "" {
		a.atMostOnce.reserve(q.Key, q.OnlyCall)
	}
	id, c := a.awaitCall(ctx, q)
	if c == nil {
		return a.withdrawAbsent(q)
	}
	out := peer.Outcome{ID: id, State: peer.CallRunning, Fingerprint: c.spec.Fingerprint}
	if c.withdrawn {
		out.State = peer.CallWithdrawn
		return out
	}
	select {
	case <-c.done:
	case <-a.answers.Done():
	case <-ctx.Done():
	}
	if r := a.atMostOnce.replyTo(c); r != nil {
		out.State, out.Reply = peer.CallEnded, r
	}
	return out
}

// awaitCall returns the call of a query and waits up to arrivalTimeout for a call
// that may still arrive.
func (a *Agent) awaitCall(ctx context.Context, q peer.OutcomeQuery) (string, *atMostOnceCall) {
	ctx, cancel := context.WithTimeout(ctx, arrivalTimeout)
	defer cancel()
	for {
		id, c := a.atMostOnce.find(q.ID, q.Key)
		if c != nil || q.ID == "" || ctx.Err() != nil {
			return id, c
		}
		select {
		case <-time.After(arrivalPollInterval):
		case <-ctx.Done():
		}
	}
}

// withdrawAbsent withdraws a call that has not arrived. A query by key alone names
// no call ID, so it withdraws nothing. The outcome is unknown if the sender chose
// this process more than outcomeRetention ago, since the call may have run and been
// removed from the table.
func (a *Agent) withdrawAbsent(q peer.OutcomeQuery) peer.Outcome {
	timeSinceChoice := a.uptime() - time.Duration(q.AgentUptimeMillis)*time.Millisecond
	if q.ID != "" && timeSinceChoice > outcomeRetention {
		return peer.Outcome{ID: q.ID, State: peer.CallUnknown}
	}
	if q.ID != "" {
		a.atMostOnce.withdraw(q.ID)
	}
	// The call may have arrived in the meantime.
	if _, c := a.atMostOnce.find(q.ID, q.Key); c != nil && !c.withdrawn {
		return peer.Outcome{ID: q.ID, State: peer.CallRunning, Fingerprint: c.spec.Fingerprint}
	}
	return peer.Outcome{ID: q.ID, State: peer.CallWithdrawn}
}
