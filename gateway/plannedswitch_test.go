package gateway

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/smartystreets/goconvey/convey"
)

// Guards against retries that are lost to the budget, or counted too few, because a planned
// switch took them and did not need them.
func TestReservedRetriesReturnToTheBudget(t *testing.T) {
	const service, retries = "engines", 4
	newBudgets := func() *retryBudgets {
		return &retryBudgets{reserve: retries / reserveFraction * 2, window: time.Hour, memberCount: func() int { return 2 }}
	}
	spendAll := func(b *retryBudgets) (n int) {
		for b.spendRetry(service) {
			n++
		}
		return n
	}
	convey.Convey("Retries that were not used are in the budget again", t, func() {
		b := newBudgets()
		r, ok := b.reserveRetries(service, switchRetries)
		convey.So(ok, convey.ShouldBeTrue)
		r.use()
		r.release()
		r.release()
		convey.So(spendAll(b), convey.ShouldEqual, retries-1)
	})
	convey.Convey("Reserved retries are not in the budget", t, func() {
		b := newBudgets()
		_, ok := b.reserveRetries(service, switchRetries)
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(spendAll(b), convey.ShouldEqual, retries-switchRetries)
	})
	convey.Convey("A budget with too few retries keeps them", t, func() {
		b := newBudgets()
		for range retries - 1 {
			convey.So(b.spendRetry(service), convey.ShouldBeTrue)
		}
		_, ok := b.reserveRetries(service, switchRetries)
		convey.So(ok, convey.ShouldBeFalse)
		convey.So(spendAll(b), convey.ShouldEqual, 1)
	})
}

// Guards against a retry that is taken twice by a planned switch, and against a return to the
// source that the budget denies.
func TestLastReservedRetryIsForTheReturn(t *testing.T) {
	s := newResumableStream(t)
	s.g.retryBudgets.memberCount = func() int { return 2 }
	s.reserved = reservedRetries{budgets: &s.g.retryBudgets, service: "engines", takenAt: make([]time.Time, switchRetries)}
	source := targetIn(s.g, "a")
	s.kept = &keptCache{source: source}
	s.failovers = []*segment{{target: targetIn(s.g, "b")}, {target: targetIn(s.g, "b")}}
	convey.Convey("With an empty budget, the first continuation and then the return have a retry", t, func() {
		convey.So(s.takeRetry(), convey.ShouldBeTrue)
		convey.So(len(s.failovers), convey.ShouldEqual, 2)
		convey.So(s.takeRetry(), convey.ShouldBeTrue)
		convey.So(len(s.failovers), convey.ShouldEqual, 0)
		s.kept = nil
		convey.So(s.takeRetry(), convey.ShouldBeFalse)
	})
}

// Guards against a stream that looks complete, or runs on elsewhere after its end, because the
// stop of a planned switch has ended a response that states no end of its own.
func TestEndOfAResponseDuringAPlannedStop(t *testing.T) {
	stopped := sourceStop{state: sourceStopped, calls: 1, result: MigrationResult{Handle: "h"}}
	hadEnded := sourceStop{state: sourceStopped, calls: 1, err: ErrUnknownRequest}
	unclear := sourceStop{state: sourceStopped, calls: 2, err: ErrUnknownRequest}
	unconfirmed := sourceStop{calls: 9, err: errors.New("no response")}
	for name, c := range map[string]struct {
		length  int64
		err     error
		outcome sourceStop
		want    error
	}{
		"stated end":                       {10, io.EOF, stopped, io.EOF},
		"no stated end, stopped":           {-1, io.EOF, stopped, errSwitch},
		"no stated end, ended before":      {-1, io.EOF, hadEnded, io.EOF},
		"no stated end, a call was lost":   {-1, io.EOF, unclear, errSwitch},
		"no stated end, not confirmed":     {-1, io.EOF, unconfirmed, io.ErrUnexpectedEOF},
		"broken, stopped":                  {10, io.ErrUnexpectedEOF, stopped, errSwitch},
		"broken, stopped by a lost call":   {10, io.ErrUnexpectedEOF, unclear, errSwitch},
		"broken by itself, not stopped":    {10, io.ErrUnexpectedEOF, unconfirmed, io.ErrUnexpectedEOF},
		"no stated end, broken by a reset": {-1, io.ErrUnexpectedEOF, hadEnded, errSwitch},
	} {
		t.Run(name, func(t *testing.T) {
			s := newResumableStream(t)
			s.lastEventID = "7"
			source, next := targetIn(s.g, "a"), targetIn(s.g, "b")
			// The source is held, so that nothing is called to free a copy.
			source.Load.Shed(time.Now(), time.Hour)
			p := &plannedStop{
				stream: s, segment: &segment{target: source, migration: &segmentMigration{}}, outcome: c.outcome, known: make(chan struct{}), ended: make(chan struct{}),
				stopper: &sourceStopper{source: source, destination: next}, failovers: []*segment{{target: next, resume: &Resume{LastEventID: "3"}}},
			}
			close(p.known)
			at := &attempt{resp: &http.Response{ContentLength: c.length}}
			err := s.finishSwitch(t.Context(), at, p, c.err)
			p.end()
			if !errors.Is(err, c.want) || s.switched != errors.Is(c.want, errSwitch) {
				t.Fatalf("ended with %v, switched %v, want %v", err, s.switched, c.want)
			}
			if s.switched && s.failovers[0].resume.LastEventID != "7" {
				t.Fatalf("continues after event %q, want 7", s.failovers[0].resume.LastEventID)
			}
		})
	}
}
