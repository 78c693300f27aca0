package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/internal/httpwire"
	"github.com/quetzalglade/quetzalglade/registry"
	"github.com/quetzalglade/quetzalglade/result"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

// run is a stream on its way to a client. Its work may pass from one target to
// the next; the client sees one answer.
type run struct {
	g   *Gateway
	req *request
	w   http.ResponseWriter
	out *http.ResponseController
	// begun is set once the client has got the head of the answer.
	begun  bool
	events int
	lastID string
	// toFirst is the time from the request's arrival to its first event.
	toFirst time.Duration
	last    time.Time
	maxGap  time.Duration
	// maxGapAt is the number of events before the longest gap.
	maxGapAt int
	// broke is set once a target may have run the request.
	broke bool
	// spare are the legs that may go on, from the last break; paid is set if the
	// retry budget has been asked for the first of them.
	spare []*leg
	paid  bool
}

// leg is the part of a run that one target does.
type leg struct {
	target *registry.Target
	// backup receives a copy of the run's memory, nil for none.
	backup *registry.Target
	// resume continues an earlier leg.
	resume *Resume
	// began is when the request was sent, guard what copies the run meanwhile;
	// nil where runs cannot be copied.
	began time.Time
	guard *guard
}

// verdict is how a leg ended.
type verdict int

const (
	// done: the client has its final answer.
	done verdict = iota
	// notRun: the target did not take the work.
	notRun
	// broken: the target may have run it, and the answer did not reach its end.
	broken
)

// stream serves a streaming request.
func (g *Gateway) stream(ctx context.Context, w http.ResponseWriter, req *request) {
	req.tried = map[string]bool{}
	s := &run{g: g, req: req, w: w, out: http.NewResponseController(w)}
	next := s.first()
	var err error
	for n := 0; next != nil; n++ {
		l := next
		var v verdict
		v, err = s.relay(ctx, l)
		if v == done {
			return
		}
		if ctx.Err() != nil {
			break
		}
		next = s.after(l, v, n)
		if v == broken && next == nil {
			s.fail(ctx, l.target, err)
			return
		}
	}
	s.giveUp(ctx)
}

// first places the run.
func (s *run) first() *leg {
	t := s.g.place(s.req, s.req.tried)
	if t == nil {
		return nil
	}
	s.req.tried[t.ID] = true
	return &leg{target: t, backup: s.g.placeBackup(s.req, t)}
}

// after returns the leg that follows one that did not end the run, nil if none
// can.
func (s *run) after(l *leg, v verdict, n int) *leg {
	if v == broken {
		s.broke = true
		if !s.paid {
			s.spare = s.continuations(l)
		}
		return s.continued(l)
	}
	if l.resume != nil {
		return s.continued(l)
	}
	if n+1 >= maxPlacements || !s.g.budgets.take(s.req.service.Name) {
		return nil
	}
	return s.first()
}

// continued returns the next leg that may go on after a broken one.
func (s *run) continued(l *leg) *leg {
	if len(s.spare) == 0 {
		return nil
	}
	paid := s.paid
	s.paid = false
	if !paid && !s.g.budgets.take(s.req.service.Name) {
		telemetry.Warn(s.g.o.Logger, "not continued", "request", s.req.ID, "reason", "retry budget used up", "members", s.g.members.Count())
		return nil
	}
	next := s.spare[0]
	s.spare = s.spare[1:]
	s.req.tried[next.target.ID] = true
	next.backup = s.g.placeBackup(s.req, next.target)
	telemetry.Info(s.g.o.Logger, "continued", "request", s.req.ID, "from", l.target.ID, "to", next.target.ID, "handle", next.resume.Handle,
		"spare", len(s.spare), "events", s.events, "last_event", s.lastID, "silent_ms", time.Since(s.last).Milliseconds())
	return next
}

// giveUp answers a run that no target took.
func (s *run) giveUp(ctx context.Context) {
	if ctx.Err() != nil || s.begun || s.broke {
		s.fail(ctx, nil, errNoTarget)
		return
	}
	s.g.refuse(s.w, s.req, result.New(result.NoTarget, result.RanNo, "no target takes this").RetryAfter(noTargetRetry))
}

// relay does one leg: it sends the request to a target and passes its events
// on.
func (s *run) relay(ctx context.Context, l *leg) (verdict, error) {
	charge := newCharge(s.req, l)
	defer charge.end()
	stopGuard := s.startGuard(ctx, l)
	defer stopGuard()
	at, err := s.g.send(ctx, s.req, l.target, l.attempt())
	complete := false
	defer func() { s.g.release(at, complete) }()
	if err != nil {
		o := outcome{target: l.target, err: err, sent: at.sent}
		s.g.failed(ctx, s.req, &o)
		if !at.sent {
			return notRun, err
		}
		if ctx.Err() == nil {
			s.g.brokenOff(s.req, l.target)
		}
		return broken, err
	}
	if at.answer.NotRun {
		s.rejected(at)
		return notRun, nil
	}
	if at.resp.StatusCode != http.StatusOK || !at.answer.Signed {
		s.passFailure(ctx, at)
		return done, nil
	}
	err = s.passEvents(at, charge, l)
	switch {
	case errors.Is(err, io.EOF):
		complete = true
		s.g.ranWell(s.req)
		s.begin(at.resp)
		s.finish(l.target, "complete", nil)
		return done, nil
	case errors.Is(err, errClient):
		s.finish(l.target, "client left", err)
		return done, nil
	}
	if ctx.Err() == nil && !errors.Is(err, errSwitch) {
		s.g.brokenOff(s.req, l.target)
	}
	telemetry.Info(s.g.o.Logger, "stream broken", "request", s.req.ID, "target", l.target.ID, "err", err, "events", s.events,
		"leaving", l.target.Account.Left(), "client", context.Cause(ctx))
	return broken, err
}

func (l *leg) attempt() Attempt {
	a := Attempt{Resume: l.resume}
	if l.backup != nil {
		a.Backup = l.backup.Addr
	}
	return a
}

func (s *run) rejected(at *attempt) {
	if at.answer.WrongTarget {
		s.g.targets.Leaving(at.target.ID, at.target.Born, "another target has its address")
	}
	s.g.metrics.attempted(s.req.service.Name, "not run")
	telemetry.Info(s.g.o.Logger, "rejected", "request", s.req.ID, "target", at.target.ID, "status", at.resp.StatusCode, "load", at.answer.Load)
}

// errNoTarget ends a run that no target continues.
var errNoTarget = errors.New("no target continues the run")

// errClient marks a failure to write to the client.
var errClient = errors.New("client connection failed")

// errSwitch ends a leg so that the run goes on elsewhere.
var errSwitch = errors.New("switched to a copy")

// passEvents passes events on until an error; io.EOF is the clean end.
func (s *run) passEvents(at *attempt, charge *charge, l *leg) error {
	events := newEventReader(at.resp.Body)
	for {
		ev, err := events.next()
		if err != nil {
			return err
		}
		charge.reading(false)
		if s.repeats(ev) {
			continue
		}
		s.begin(at.resp)
		if err := s.deliver(ev, !events.buffered()); err != nil {
			return errors.Mark(err, errClient)
		}
		if !events.buffered() && s.prepareSwitch(l) {
			return errSwitch
		}
	}
}

// repeats reports whether the client has got an event before: a run that goes
// on after its last event makes it again. Ids are whole numbers that increase.
func (s *run) repeats(ev event) bool {
	if s.lastID == "" || ev.id == "" {
		return false
	}
	last, err := strconv.ParseInt(s.lastID, 10, 64)
	if err != nil {
		return false
	}
	id, err := strconv.ParseInt(ev.id, 10, 64)
	if err != nil || id > last {
		return false
	}
	telemetry.Info(s.g.o.Logger, "skipped a repeated event", "request", s.req.ID, "event", ev.id, "last_event", s.lastID)
	return true
}

// prepareSwitch reports whether the run leaves its target now. It stays unless
// it can go on elsewhere for certain, as far as the gateway knows.
func (s *run) prepareSwitch(l *leg) bool {
	if l.guard == nil || !l.guard.switching.Load() {
		return false
	}
	spare := s.continuations(l)
	if len(spare) == 0 || !s.g.budgets.take(s.req.service.Name) {
		return false
	}
	s.spare = spare
	s.paid = true
	return true
}

// begin sends the head of the answer.
func (s *run) begin(resp *http.Response) {
	if s.begun {
		return
	}
	s.begun = true
	copyAnswer(s.w, resp)
	s.w.WriteHeader(resp.StatusCode)
	s.g.metrics.first.Record(context.Background(), time.Since(s.req.arrived).Seconds())
}

func (s *run) deliver(ev event, flush bool) error {
	if _, err := s.w.Write(ev.raw); err != nil {
		return err
	}
	now := time.Now()
	if s.events == 0 {
		s.toFirst = now.Sub(s.req.arrived)
	} else if gap := now.Sub(s.last); gap > s.maxGap {
		s.maxGap = gap
		s.maxGapAt = s.events
	}
	s.last = now
	s.events++
	if ev.id != "" {
		s.lastID = ev.id
	}
	if flush {
		return s.out.Flush()
	}
	return nil
}

// passFailure passes an answer on that is no stream.
func (s *run) passFailure(ctx context.Context, at *attempt) {
	body, err := httpwire.ReadBody(at.resp.Body, maxAnswerBytes)
	o := outcome{target: at.target, resp: at.resp, answer: at.answer, body: body, err: err, sent: true}
	if err == nil && !at.answer.Signed {
		o.err = errUnsigned
	}
	if s.begun {
		s.fail(ctx, at.target, errors.Newf("status %d", at.resp.StatusCode))
		return
	}
	s.g.answerCall(ctx, s.w, s.req, o, 1)
}

func (s *run) finish(t *registry.Target, outcome string, err error) {
	s.g.finish(s.req, t.ID, http.StatusOK, outcome, "timing", s.timing(), "events", s.events, "last_event", s.lastID,
		"first_ms", s.toFirst.Milliseconds(), "max_gap_ms", s.maxGap.Milliseconds(), "max_gap_at", s.maxGapAt, "err", err)
}

// timing compares the stream with its route's objectives, for the log.
func (s *run) timing() telemetry.Timing {
	switch {
	case s.req.route.Target > 0 && s.toFirst > s.req.route.Target:
		return telemetry.FirstEventLate
	case s.req.route.MaxGap > 0 && s.maxGap > s.req.route.MaxGap:
		return telemetry.PauseTooLong
	}
	return telemetry.OnTime
}

// fail ends a stream that cannot go on. A client that has got a part of it sees
// its connection close, so that the part does not look complete.
func (s *run) fail(ctx context.Context, t *registry.Target, err error) {
	if s.begun {
		id := ""
		if t != nil {
			id = t.ID
		}
		s.g.finish(s.req, id, http.StatusOK, "cut", "events", s.events, "last_event", s.lastID, "err", err, "client", context.Cause(ctx))
		panic(http.ErrAbortHandler)
	}
	if ctx.Err() != nil {
		s.g.refuse(s.w, s.req, s.g.expired(ctx, s.broke))
		return
	}
	s.g.refuse(s.w, s.req, result.New(result.OutcomeUnknown, result.RanUnknown, "the target's answer was lost"))
}
