package faulttest

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/quetzalglade/quetzalglade/internal/standin"
	"github.com/quetzalglade/quetzalglade/result"
)

// storeRate is the number of writes a second that the platform's store carries.
const storeRate = 300

// outageTraffic is what callers saw during a store outage.
type outageTraffic struct {
	lookups, failedLookups  atomic.Int64
	issued, failedIssued    atomic.Int64
	deposits, wrongRefusals atomic.Int64
	streams, brokenStreams  atomic.Int64
	work                    sync.WaitGroup
	ctx                     context.Context
	stop                    chan struct{}
}

func (o *outageTraffic) loop(f func(n int)) {
	o.work.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-o.stop:
				return
			default:
				f(n)
			}
		}
	})
}

func count(total, bad *atomic.Int64, ok bool) {
	total.Add(1)
	if !ok {
		bad.Add(1)
	}
}

// run sends every kind of traffic through every entry.
func (o *outageTraffic) run(f *fleet) {
	for i, e := range f.entries {
		o.loop(func(int) {
			status, _, _, err := invoke(o.ctx, e.addr, http.MethodGet, "/s/booking/visits/17", "", "")
			count(&o.lookups, &o.failedLookups, err == nil && status == http.StatusOK)
		})
		o.loop(func(int) {
			key := issueKey(o.ctx, e.addr)
			count(&o.issued, &o.failedIssued, key != "" && deposit(o.ctx, e.addr, key).ok() && f.effects(key) == 1)
		})
		o.loop(func(n int) {
			a := generate(o.ctx, e.addr, "guide", prompt(fmt.Sprintf("outage %d %d", i, n), 300), nil, nil)
			count(&o.streams, &o.brokenStreams, a.complete && a.text == f.output(a.generation))
		})
		for c := range 8 {
			o.loop(func(n int) {
				r := deposit(o.ctx, e.addr, fmt.Sprintf("outage-%d-%d-%d", i, c, n))
				truthful := r.failure != nil && r.failure.Code == result.StoreUnavailable && r.failure.Ran == result.RanUnknown
				count(&o.deposits, &o.wrongRefusals, r.ok() || truthful)
			})
		}
	}
}

// TestStoreOutage takes the store away under load and brings it back.
func TestStoreOutage(t *testing.T) {
	f := startFleet(t, fleetOptions{engines: 2, plains: 2, entries: 3, plainDelay: 5 * time.Millisecond, engine: fastEngine()})
	ctx, cancel := context.WithTimeout(context.Background(), 3*answerWait)
	defer cancel()
	Convey("Work that needs no store goes on, claims are refused, and no herd follows", t, func() {
		o := &outageTraffic{ctx: ctx, stop: make(chan struct{})}
		f.store.ResetArrivals()
		f.store.SetFaults(standin.StoreFaults{Down: true})
		o.run(f)
		time.Sleep(6 * time.Second)
		total, peak := f.store.Arrivals()
		t.Logf("during the outage: %d calls to the store, at most %d in a second", total, peak)
		So(peak, ShouldBeLessThan, storeRate)
		f.store.ResetArrivals()
		f.store.SetFaults(standin.StoreFaults{WritesPerSecond: storeRate})
		time.Sleep(4 * time.Second)
		close(o.stop)
		o.work.Wait()
		total, peak = f.store.Arrivals()
		t.Logf("after the outage: %d calls, at most %d in a second", total, peak)
		t.Logf("%d lookups, %d issued keys, %d generations, %d calls with callers' keys",
			o.lookups.Load(), o.issued.Load(), o.streams.Load(), o.deposits.Load())
		So(peak, ShouldBeLessThan, storeRate)
		So(o.failedLookups.Load(), ShouldEqual, 0)
		So(o.failedIssued.Load(), ShouldEqual, 0)
		So(o.brokenStreams.Load(), ShouldEqual, 0)
		So(o.wrongRefusals.Load(), ShouldEqual, 0)
		So(o.streams.Load(), ShouldBeGreaterThan, 0)
	})
	Convey("Callers' keys are claimed again", t, func() {
		got := f.insist(ctx, 0, "after", 50)
		So(got[len(got)-1].ok(), ShouldBeTrue)
		So(f.effects("after"), ShouldEqual, 1)
	})
}
