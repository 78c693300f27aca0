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

// Bounds of the memory of calls that run at most once.
const (
	// onceMemory is how long the agent remembers a call after its end. A call
	// that was addressed to the agent longer ago is not begun.
	onceMemory = 15 * time.Minute
	// maxFresh bounds the time from the choice of the agent to the call's
	// beginning. It stays below onceMemory by the longest wait of a query.
	maxFresh = 10 * time.Minute
	// onceReplyBytes bounds the answers kept.
	onceReplyBytes = 16 << 20
	// arrivalPoll is how often a query looks for a call that is on its way.
	arrivalPoll = 10 * time.Millisecond
	// arrivalGrace is how long a query waits for a call to arrive before the
	// call is withdrawn.
	arrivalGrace = 500 * time.Millisecond
	prunePeriod  = time.Second
	maxWait      = 30 * time.Second
)

// onceCall is one call that runs at most once, or a withdrawn one.
type onceCall struct {
	once      peer.Once
	withdrawn bool
	// done is closed when reply is set.
	done  chan struct{}
	reply *peer.Reply
	ended time.Time
}

// onceTable remembers calls by id and by their key. It is safe for concurrent
// use. A call that is in the table is never begun a second time.
type onceTable struct {
	mu    sync.Mutex
	calls map[string]*onceCall
	byKey map[string]string
	bytes int
	tries int
	// pruned is when the table was last pruned.
	pruned time.Time
}

func newOnceTable() *onceTable {
	return &onceTable{calls: map[string]*onceCall{}, byKey: map[string]string{}}
}

// begin enters a call. It returns the one already there under the id, if any.
func (t *onceTable) begin(id string, once peer.Once) (c *onceCall, fresh bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(time.Now())
	if old, ok := t.calls[id]; ok {
		return old, false
	}
	c = &onceCall{once: once, done: make(chan struct{})}
	t.calls[id] = c
	t.byKey[once.Key] = id
	return c, true
}

// end stores the answer. A call that did not run is forgotten, so that its
// sender may offer it again.
func (t *onceTable) end(id string, reply *peer.Reply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.calls[id]
	c.reply, c.ended = reply, time.Now()
	if reply.Error != nil && reply.Error.Ran == result.RanNo {
		t.drop(id)
	} else {
		t.bytes += len(reply.Body)
	}
	close(c.done)
}

// withdraw makes sure that an id never begins.
func (t *onceTable) withdraw(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.calls[id]; !ok {
		t.calls[id] = &onceCall{withdrawn: true, ended: time.Now()}
	}
}

func (t *onceTable) find(id, key string) (string, *onceCall) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if id == "" {
		id = t.byKey[key]
	}
	return id, t.calls[id]
}

// drop forgets a call. Callers hold the lock.
func (t *onceTable) drop(id string) {
	c := t.calls[id]
	delete(t.calls, id)
	if t.byKey[c.once.Key] == id {
		delete(t.byKey, c.once.Key)
	}
}

// prune forgets calls that ended long ago. Over the limit it drops the bodies
// of answers; that the calls ran stays known. Callers hold the lock.
func (t *onceTable) prune(now time.Time) {
	if now.Sub(t.pruned) < prunePeriod {
		return
	}
	t.pruned = now
	for id, c := range t.calls {
		if c.ended.IsZero() || (now.Sub(c.ended) < onceMemory && t.bytes < onceReplyBytes) {
			continue
		}
		if c.reply != nil {
			t.bytes -= len(c.reply.Body)
			c.reply = &peer.Reply{
				ID:    c.reply.ID,
				Error: result.New(result.OutcomeUnknown, result.RanYes, "the call ran; its answer is no longer held"),
			}
		}
		if now.Sub(c.ended) >= onceMemory {
			t.drop(id)
		}
	}
}

// jobID returns a new id for an offer of a call to the queue.
func (t *onceTable) jobID(id string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tries++
	return id + "#" + strconv.Itoa(t.tries)
}

func (a *Agent) uptime() time.Duration { return time.Since(a.started) }

// handleOnce runs a call that may run at most once, or joins it if it is known.
func (a *Agent) handleOnce(w http.ResponseWriter, r *http.Request, call *peer.Call) {
	if call.Incarnation != a.incarnation {
		result.Write(w, result.New(result.TargetLeaving, result.RanUnknown, "the target was replaced"))
		return
	}
	c, fresh := a.once.begin(call.ID, *call.Once)
	switch {
	case c.withdrawn:
		result.Write(w, result.New(result.AttemptRevoked, result.RanNo, "the call was withdrawn"))
		return
	case c.once.Fingerprint != call.Once.Fingerprint:
		result.Write(w, result.New(result.KeyReused, result.RanNo, "the key was used with other content"))
		return
	case fresh:
		a.startOnce(call)
	}
	select {
	case <-c.done:
		out := *a.once.reply(c)
		load := a.State().Load
		out.Load = &load
		reply(w, &out)
	case <-r.Context().Done():
	}
}

// reply returns the answer of a call, nil before its end.
func (t *onceTable) reply(c *onceCall) *peer.Reply {
	t.mu.Lock()
	defer t.mu.Unlock()
	return c.reply
}

// checkFresh refuses a call that was addressed to this process too long ago to
// be sure that it did not run before.
func (a *Agent) checkFresh(once *peer.Once) *result.Error {
	age := a.uptime() - time.Duration(once.SeenMillis)*time.Millisecond
	fresh := min(time.Duration(once.FreshMillis)*time.Millisecond, maxFresh)
	switch {
	case age < 0:
		return result.New(result.InvalidRequest, result.RanNo, "the key was not issued by this target")
	case age > onceMemory:
		return result.New(result.OutcomeUnknown, result.RanUnknown, "the key is too old to tell whether the call ran")
	case age > fresh:
		return result.New(result.AttemptRevoked, result.RanNo, "the call arrived too late and was not started")
	}
	return nil
}

// startOnce offers the call to the queue. Its end reaches everyone who waits
// for it; it does not depend on the connection that brought it.
func (a *Agent) startOnce(call *peer.Call) {
	// The table was pruned before the call was entered, so that a withdrawn
	// call which is not in it any more fails this check.
	if refusal := a.checkFresh(call.Once); refusal != nil {
		a.once.end(call.ID, &peer.Reply{ID: call.ID, Error: refusal})
		return
	}
	offered := *call
	offered.ID = a.once.jobID(call.ID)
	done := make(chan *peer.Reply, 1)
	if refusal := a.submit(a.callJob(&offered, done)); refusal != nil {
		a.once.end(call.ID, &peer.Reply{ID: call.ID, Error: refusal})
		return
	}
	go func() {
		out := <-done
		out.ID = call.ID
		a.once.end(call.ID, out)
	}()
}

func (a *Agent) handleOutcome(w http.ResponseWriter, r *http.Request) {
	var q peer.OutcomeQuery
	if !decode(w, r, &q) {
		return
	}
	if q.ID != "" && q.Incarnation != a.incarnation {
		reply(w, peer.Outcome{ID: q.ID, Fate: peer.FateUnknown})
		return
	}
	wait := min(time.Duration(q.WaitMillis)*time.Millisecond, maxWait)
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	reply(w, a.outcome(ctx, q))
}

func (a *Agent) outcome(ctx context.Context, q peer.OutcomeQuery) peer.Outcome {
	id, c := a.awaitCall(ctx, q)
	if c == nil {
		return a.settleAbsent(q)
	}
	out := peer.Outcome{ID: id, Fate: peer.FateRunning, Fingerprint: c.once.Fingerprint}
	if c.withdrawn {
		out.Fate = peer.FateWithdrawn
		return out
	}
	select {
	case <-c.done:
	case <-ctx.Done():
	}
	if r := a.once.reply(c); r != nil {
		out.Fate, out.Reply = peer.FateEnded, r
	}
	return out
}

// awaitCall waits for a call that may be on its way.
func (a *Agent) awaitCall(ctx context.Context, q peer.OutcomeQuery) (string, *onceCall) {
	ctx, cancel := context.WithTimeout(ctx, arrivalGrace)
	defer cancel()
	for {
		id, c := a.once.find(q.ID, q.Key)
		if c != nil || q.ID == "" || ctx.Err() != nil {
			return id, c
		}
		select {
		case <-time.After(arrivalPoll):
		case <-ctx.Done():
		}
	}
}

// settleAbsent withdraws a call that this process has not heard of, if its
// memory reaches back to when the call was addressed to it.
func (a *Agent) settleAbsent(q peer.OutcomeQuery) peer.Outcome {
	age := a.uptime() - time.Duration(q.SeenMillis)*time.Millisecond
	if q.ID != "" && age > onceMemory {
		return peer.Outcome{ID: q.ID, Fate: peer.FateUnknown}
	}
	if q.ID != "" {
		a.once.withdraw(q.ID)
	}
	// The call may have begun in between.
	if _, c := a.once.find(q.ID, q.Key); c != nil && !c.withdrawn {
		return peer.Outcome{ID: q.ID, Fate: peer.FateRunning, Fingerprint: c.once.Fingerprint}
	}
	return peer.Outcome{ID: q.ID, Fate: peer.FateWithdrawn}
}
