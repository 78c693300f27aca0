package decision

import "time"

// Limits of the holds of targets that shed load.
const (
	// MaxShedHold limits how long one response holds a target.
	MaxShedHold = 5 * time.Minute
	// shedTrialTimeout is how long other work waits for the result of the trial after a
	// hold. A trial whose result is later than that does not delay the target's return.
	shedTrialTimeout = 500 * time.Millisecond
	// shedJitterFraction is the maximum part of a hold by which it is extended, so that
	// the processes that a target has turned away do not return at the same moment.
	// maxShedJitter limits the extension.
	shedJitterFraction = 0.1
	maxShedJitter      = 200 * time.Millisecond
	// maxHeldSends limits what one process sends within a hold although the target wants
	// nothing: continuations and stops of requests that no other target can serve. Source:
	// the targets' terms for holds.
	maxHeldSends = 2
)

// ShedHold keeps work away from a target that sheds load: one that has turned away a
// request and stated for how long it wants no further ones from this process. After the
// hold, one request is sent as a trial; the others follow when it was not turned away.
// The zero value holds nothing. It is not safe for concurrent use.
type ShedHold struct {
	until time.Time
	// trialAt is when the trial after the hold was sent. trialDue is set from the start
	// of a hold to the result of its trial.
	trialAt  time.Time
	trialDue bool
	// resumeUsed is set once a request was sent within the hold. sends counts what was sent
	// within it.
	resumeUsed bool
	sends      int
}

// Shed records that the target has turned away a request and wants none for the given
// time. Of several holds, the one that ends last counts. jitter is uniform in [0, 1).
func (h *ShedHold) Shed(now time.Time, hold time.Duration, jitter float64) {
	hold = min(hold, MaxShedHold)
	if hold <= 0 {
		return
	}
	until := now.Add(hold + min(time.Duration(shedJitterFraction*jitter*float64(hold)), maxShedJitter))
	if h.trialDue && !h.until.Before(until) {
		h.trialAt = time.Time{}
		return
	}
	if !now.Before(h.until) {
		h.resumeUsed, h.sends = false, 0
	}
	h.until, h.trialAt, h.trialDue = until, time.Time{}, true
}

// Accepted records that the target has accepted a request that was sent after the hold.
// Responses to requests that were sent before do not end a hold.
func (h *ShedHold) Accepted(sentAt time.Time) {
	if h.trialDue && sentAt.After(h.until) {
		h.trialDue = false
	}
}

// Held reports whether the target gets no work at the given time: until the end of the
// hold, and while the trial after it is in progress.
func (h *ShedHold) Held(now time.Time) bool {
	if !h.trialDue {
		return false
	}
	return now.Before(h.until) || !h.trialAt.IsZero() && now.Sub(h.trialAt) < shedTrialTimeout
}

// TryStart reports whether a request may be sent now. The first one after a hold is the
// trial.
func (h *ShedHold) TryStart(now time.Time) bool {
	if h.Held(now) {
		return false
	}
	if h.trialDue {
		h.trialAt = now
	}
	return true
}

// TryResume reports whether a request that only this target can continue may be sent now:
// at most one within a hold.
func (h *ShedHold) TryResume(now time.Time) bool {
	if h.TryStart(now) {
		return true
	}
	if !h.CanResume(now) {
		return false
	}
	h.resumeUsed = true
	h.sends++
	return true
}

// CanResume reports whether TryResume would allow a request.
func (h *ShedHold) CanResume(now time.Time) bool {
	return !h.Held(now) || !h.resumeUsed && h.sends < maxHeldSends
}

// CanStop reports whether a call that stops a request at this target may be sent now: at any
// time outside of a hold, and within it while fewer than maxHeldSends were sent.
func (h *ShedHold) CanStop(now time.Time) bool {
	return !h.trialDue || !now.Before(h.until) || h.sends < maxHeldSends
}

// TryStop is like CanStop and counts the call. The call is not the trial after a hold, since
// it brings the target no work.
func (h *ShedHold) TryStop(now time.Time) bool {
	if !h.CanStop(now) {
		return false
	}
	if h.trialDue && now.Before(h.until) {
		h.sends++
	}
	return true
}

// Ends returns when the hold ends, zero if the target is not held at the given time.
func (h *ShedHold) Ends(now time.Time) time.Time {
	if !h.Held(now) {
		return time.Time{}
	}
	if now.Before(h.until) {
		return h.until
	}
	return h.trialAt.Add(shedTrialTimeout)
}

// Retry delays of requests that find all targets held.
const (
	minShedRetryAfter = 100 * time.Millisecond
	maxShedRetryAfter = 30 * time.Second
)

// ShedRetryAfter returns the time after which a client should return that found all
// targets held, if the first hold ends at firstEnd. Clients return one after the other:
// the delay is spread over the time that the targets need for the waiting requests.
// serviceTime is the time for one request and slots the number that the targets run at
// once. u is uniform in [0, 1).
func ShedRetryAfter(now, firstEnd time.Time, waiting, slots int, serviceTime time.Duration, u float64) time.Duration {
	spread := minShedRetryAfter + time.Duration(float64(waiting)/float64(max(slots, 1))*float64(serviceTime))
	after := firstEnd.Sub(now) + time.Duration(u*float64(min(spread, maxShedRetryAfter)))
	return min(max(after, minShedRetryAfter), maxShedRetryAfter)
}
