package agent

import (
	"context"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/internal/target"
	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/result"
)

// state is the agent's control state. Only the control goroutine touches it.
type state struct {
	queue    *decision.Queue
	jobs     map[string]*job
	retired  map[string]retiredJob
	draining bool
	// stopping is set once the process stops; it then drains until its end.
	stopping bool
	ready    bool
	models   []string
	// report is the engine's latest load report. It lags behind the engine.
	report target.LoadReport
	// reservationTTL is how long granted capacity is kept for its attempt or call.
	reservationTTL time.Duration
}

// retiredJob records a job that ended, was revoked or expired, so that late messages
// for its ID are recognised.
type retiredJob struct {
	retiredAt time.Time
	started   bool
}

// job is one attempt, call or reservation from its arrival to its end.
type job struct {
	item *decision.Item
	// request is the ID of the caller's request, for decision records.
	request string
	// admit is called once, on the control goroutine, when the job may start.
	admit func()
	// refuse is called once if the job never starts.
	refuse func(*result.Error)
	// progress returns the number of tokens received and whether the output is
	// complete. It is nil for calls to plain services.
	progress func() (n int, complete bool)
	started  bool
	// isReservation is set while the job only reserves capacity; granted is set
	// once the queue has admitted the job.
	isReservation bool
	granted       bool
}

// control is the service whose goroutine owns the state. Other goroutines send
// it functions to run.
type control struct {
	agent     *Agent
	state     *state
	admission admissionState
	commands  chan func(*state)
	stopped   chan struct{}
}

// Period of the control goroutine and retention of its records.
const (
	// controlPeriod is the period at which progress is updated and expired jobs
	// are removed.
	controlPeriod = 100 * time.Millisecond
	// retiredTTL is how long the IDs of retired jobs are kept to recognise late
	// messages.
	retiredTTL = 15 * time.Minute
)

func newControl(a *Agent) *control {
	c := &control{
		agent:    a,
		commands: make(chan func(*state)),
		stopped:  make(chan struct{}),
		state: &state{
			queue:          decision.NewQueue(a.opts.Limits),
			jobs:           map[string]*job{},
			retired:        map[string]retiredJob{},
			ready:          a.plain != nil,
			reservationTTL: defaultReservationTTL,
		},
	}
	c.publish()
	return c
}

// Serve implements suture.Service.
func (c *control) Serve(ctx context.Context) error {
	tick := time.NewTicker(controlPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			close(c.stopped)
			return suture.ErrDoNotRestart
		case command := <-c.commands:
			command(c.state)
		case <-tick.C:
			c.tick(time.Now())
			c.expire(time.Now())
		}
		c.admit(time.Now())
		c.publish()
	}
}

// do runs f on the control goroutine and waits until f returns. It returns false
// if the control goroutine has ended.
func (c *control) do(f func(*state)) bool {
	done := make(chan struct{})
	command := func(s *state) {
		defer close(done)
		f(s)
	}
	select {
	case c.commands <- command:
		<-done
		return true
	case <-c.stopped:
		return false
	}
}

// expire refuses the jobs whose deadline passed in the queue and removes retired jobs
// after retiredTTL.
func (c *control) expire(now time.Time) {
	for _, item := range c.state.queue.Expired(now) {
		j := c.state.jobs[item.ID]
		c.retire(item.ID, false, now)
		j.refuse(result.New(result.Overloaded, result.RanNo, "no capacity within the queue limit").RetryAfter(time.Second))
	}
	for id, r := range c.state.retired {
		if now.Sub(r.retiredAt) > retiredTTL {
			delete(c.state.retired, id)
		}
	}
}

func (c *control) retire(id string, started bool, now time.Time) {
	delete(c.state.jobs, id)
	c.state.retired[id] = retiredJob{retiredAt: now, started: started}
}

// publish stores a snapshot of the state for State and the heartbeats.
func (c *control) publish() {
	a := c.agent
	st := peer.State{
		VM:          a.opts.VM,
		Datacentre:  a.opts.Datacentre,
		Region:      a.opts.Region,
		Incarnation: a.incarnation,
		Role:        a.opts.Role,
		Draining:    c.state.draining,
		Ready:       c.state.ready,
		Models:      c.state.models,
		Marks:       a.quarantine.MarksToSend(time.Now()),
		Load:        c.state.load(),
	}
	st.Load.Draining = st.Draining
	if a.plain != nil {
		st.Load.LatencyMicros = a.callLatency.median().Microseconds()
	}
	if cfg := a.configuration(); cfg != nil {
		st.ConfigVersion = cfg.Version
	}
	a.state.Store(&st)
}

// submit offers a job to the queue. It returns nil if the queue accepts the job,
// else the refusal.
func (a *Agent) submit(j *job) *result.Error {
	var refusal *result.Error
	now := time.Now()
	ok := a.control.do(func(s *state) {
		var reason string
		refusal, reason = s.offer(j, now)
		if refusal != nil {
			a.recordRefusal(j, reason)
		}
	})
	if !ok {
		return result.New(result.TargetLeaving, result.RanNo, "the target is stopping")
	}
	return refusal
}

// offer returns nil if the queue accepts the job, else the refusal and its
// reason, which is a constant for decision records.
func (s *state) offer(j *job, now time.Time) (refusal *result.Error, reason string) {
	if s.useReservation(j) {
		return nil, ""
	}
	if refusal := s.precheck(j); refusal != nil {
		return refusal, refusal.Name
	}
	verdict := s.queue.Offer(j.item, now)
	if !verdict.Accepted {
		return overloadError(verdict), verdict.Reason
	}
	s.jobs[j.item.ID] = j
	return nil, ""
}

// precheck refuses jobs that cannot be queued at all: retired or duplicate ones,
// and any new job while the target drains or does not answer.
func (s *state) precheck(j *job) *result.Error {
	if r, ok := s.retired[j.item.ID]; ok {
		ran := result.RanNo
		if r.started {
			ran = result.RanYes
		}
		return result.New(result.AttemptRevoked, ran, "the attempt has ended or was withdrawn")
	}
	if _, ok := s.jobs[j.item.ID]; ok {
		return result.New(result.AttemptRevoked, result.RanUnknown, "the attempt is in progress")
	}
	if s.draining {
		return result.New(result.TargetLeaving, result.RanNo, "the target is leaving")
	}
	if !s.ready {
		return result.New(result.NoTarget, result.RanNo, "the target does not answer").RetryAfter(time.Second)
	}
	return nil
}

// finish removes an ended job from the queue and retires its ID.
func (a *Agent) finish(id string) {
	a.control.do(func(s *state) {
		s.removeEnded(id)
		a.control.retire(id, true, time.Now())
	})
}

// revoke withdraws a job. It reports whether the job had started; a job that had
// not started never does. known is false if the control goroutine has ended;
// started is then meaningless.
func (a *Agent) revoke(id string) (started, known bool) {
	known = a.control.do(func(s *state) {
		j, ok := s.jobs[id]
		started = s.retired[id].started || (ok && j.started)
		if started {
			return
		}
		if ok {
			s.queue.Remove(id)
			j.refuse(result.New(result.AttemptRevoked, result.RanNo, "the attempt was withdrawn"))
		}
		a.control.retire(id, false, time.Now())
	})
	return started, known
}
