package claim

import (
	"context"
	"fmt"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/quetzalglade/quetzalglade/internal/standin"
)

// Sizes of the measurement of claims.
const (
	benchEntries = 10
	benchTime    = 3 * time.Second
	storeWrites  = 300
)

// BenchmarkClaims offers claimed calls at a fixed rate, open loop, from ten
// entries to one store of 300 writes a second, of which they use 200: each call is one
// claim and one outcome. It reports the delay until the claim is held, the share of calls
// whose claim is not held within two seconds, and store writes per call.
func BenchmarkClaims(b *testing.B) {
	for _, group := range []int{1, DefaultGroup} {
		for _, rate := range []int{50, 140, 300, 1000, 3000, 6000} {
			b.Run(fmt.Sprintf("group=%d/calls=%d", group, rate), func(b *testing.B) {
				for range b.N {
					measureClaims(b, group, rate)
				}
			})
		}
	}
}

func measureClaims(b *testing.B, group, rate int) {
	store := standin.NewStore()
	store.SetFaults(standin.StoreFaults{WritesPerSecond: storeWrites, DelayMillis: 2})
	server := httptest.NewServer(store.Handler())
	defer server.Close()
	registries := make([]*Registry, benchEntries)
	for i := range registries {
		registries[i] = newTestRegistry(b, server.URL, BatchOptions{WritesPerSecond: DefaultWritesPerSecond, Group: group})
	}
	var mu sync.Mutex
	var delays []time.Duration
	refused := 0
	var calls sync.WaitGroup
	start := time.Now()
	n := int(benchTime.Seconds() * float64(rate))
	for i := range n {
		due := start.Add(time.Duration(i) * time.Second / time.Duration(rate))
		time.Sleep(time.Until(due))
		calls.Go(func() {
			err := claimAndSettle(registries[i%benchEntries], i, func() {
				mu.Lock()
				delays = append(delays, time.Since(due))
				mu.Unlock()
			})
			if err != nil {
				mu.Lock()
				refused++
				mu.Unlock()
			}
		})
	}
	calls.Wait()
	slices.Sort(delays)
	at := func(q float64) float64 {
		if len(delays) == 0 {
			return 0
		}
		return float64(delays[int(q*float64(len(delays)-1))].Microseconds()) / 1000
	}
	b.ReportMetric(at(0.5), "p50-ms")
	b.ReportMetric(at(0.99), "p99-ms")
	b.ReportMetric(float64(refused)/float64(n), "refused/call")
	b.ReportMetric(float64(store.Counts().Writes)/float64(n), "writes/call")
	b.ReportMetric(0, "ns/op")
}

// claimAndSettle is one call: claim, then outcome.
func claimAndSettle(r *Registry, i int, held func()) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	rec := Record{
		Call: fmt.Sprintf("once-%024d", i), Target: "booking-1", Incarnation: "0123456789ab",
		Fingerprint: fmt.Sprintf("%064d", i),
	}
	c, err := r.Put(ctx, Key{Workspace: "w1", Service: "booking", Value: fmt.Sprint(i)}, nil, rec)
	if err != nil {
		return err
	}
	held()
	late, stop := context.WithTimeout(context.Background(), 2*time.Second)
	defer stop()
	return r.Settle(late, c, Outcome{Status: 200, Body: make([]byte, 200)})
}
