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

// storeWriteLimit is the number of writes per second that the platform's store
// supports. The test compares all calls in one second with it.
const storeWriteLimit = 300

// outageTraffic runs callers during a store outage and counts their results.
type outageTraffic struct {
	lookups, failedLookups               atomic.Int64
	issuedKeyCalls, failedIssuedKeyCalls atomic.Int64
	// deposits counts calls with callers' keys, wrongReplies those whose reply was
	// neither a success nor result.StoreUnavailable with an unknown outcome.
	deposits, wrongReplies atomic.Int64
	// brokenStreams counts streams that were incomplete or differed from the engine's
	// output.
	streams, brokenStreams atomic.Int64
	callers                sync.WaitGroup
	ctx                    context.Context
	// stop is closed to end the callers.
	stop chan struct{}
}

// startCaller starts a caller that sends requests, numbered from 0, until stop is
// closed.
func (o *outageTraffic) startCaller(request func(n int)) {
	o.callers.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-o.stop:
				return
			default:
				request(n)
			}
		}
	})
}

// countResult adds one request to total and, unless ok, to failed.
func countResult(total, failed *atomic.Int64, ok bool) {
	total.Add(1)
	if !ok {
		failed.Add(1)
	}
}

// start starts callers of every kind for each entry.
func (o *outageTraffic) start(f *fleet) {
	for i, e := range f.entries {
		o.startCaller(func(int) {
			status, _, _, err := invokeWithKey(o.ctx, e.addr, http.MethodGet, "/s/booking/visits/17", "", "")
			countResult(&o.lookups, &o.failedLookups, err == nil && status == http.StatusOK)
		})
		o.startCaller(func(int) {
			key := issueKey(o.ctx, e.addr)
			countResult(&o.issuedKeyCalls, &o.failedIssuedKeyCalls, key != "" && deposit(o.ctx, e.addr, key).succeeded() && f.effectCount(key) == 1)
		})
		o.startCaller(func(n int) {
			completion := generate(o.ctx, e.addr, "guide", prompt(fmt.Sprintf("outage %d %d", i, n), 300), nil, nil)
			countResult(&o.streams, &o.brokenStreams, completion.complete && completion.text == f.output(completion.generationID))
		})
		for callerIndex := range 8 {
			o.startCaller(func(n int) {
				reply := deposit(o.ctx, e.addr, fmt.Sprintf("outage-%d-%d-%d", i, callerIndex, n))
				reportsUnknown := reply.failure != nil && reply.failure.Code == result.StoreUnavailable && reply.failure.Ran == result.RanUnknown
				countResult(&o.deposits, &o.wrongReplies, reply.succeeded() || reportsUnknown)
			})
		}
	}
}

// TestStoreOutage makes the store unavailable under load for six seconds. Requests
// that need no claim must succeed meanwhile, and the retries of all daemons must not
// overload the store during the outage or after it.
func TestStoreOutage(t *testing.T) {
	f := startFleet(t, fleetOptions{engines: 2, plainServices: 2, entries: 3, plainDelay: 5 * time.Millisecond, engineOptions: fastEngineOptions()})
	ctx, cancel := context.WithTimeout(context.Background(), 3*responseTimeout)
	defer cancel()
	Convey("Work that needs no store continues, claims are refused, and no thundering herd follows", t, func() {
		traffic := &outageTraffic{ctx: ctx, stop: make(chan struct{})}
		f.store.ResetArrivals()
		f.store.SetFaults(standin.StoreFaults{AbortCalls: true})
		traffic.start(f)
		time.Sleep(6 * time.Second)
		total, peak := f.store.Arrivals()
		t.Logf("during the outage: %d calls to the store, at most %d per second", total, peak)
		So(peak, ShouldBeLessThan, storeWriteLimit)
		f.store.ResetArrivals()
		f.store.SetFaults(standin.StoreFaults{WritesPerSecond: storeWriteLimit})
		time.Sleep(4 * time.Second)
		close(traffic.stop)
		traffic.callers.Wait()
		total, peak = f.store.Arrivals()
		t.Logf("after the outage: %d calls to the store, at most %d per second", total, peak)
		t.Logf("%d lookups, %d issued keys, %d generations, %d calls with callers' keys",
			traffic.lookups.Load(), traffic.issuedKeyCalls.Load(), traffic.streams.Load(), traffic.deposits.Load())
		So(peak, ShouldBeLessThan, storeWriteLimit)
		So(traffic.failedLookups.Load(), ShouldEqual, 0)
		So(traffic.failedIssuedKeyCalls.Load(), ShouldEqual, 0)
		So(traffic.brokenStreams.Load(), ShouldEqual, 0)
		So(traffic.wrongReplies.Load(), ShouldEqual, 0)
		So(traffic.streams.Load(), ShouldBeGreaterThan, 0)
	})
	Convey("Calls with callers' keys succeed again", t, func() {
		replies := f.retryDeposit(ctx, 0, "after", 50)
		So(replies[len(replies)-1].succeeded(), ShouldBeTrue)
		So(f.effectCount("after"), ShouldEqual, 1)
	})
}
