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

// Load of BenchmarkClaims.
const (
	benchEntries         = 10
	benchDuration        = 3 * time.Second
	storeWritesPerSecond = 300
)

// BenchmarkClaims starts claimed calls at a fixed rate, independent of their
// completion, from ten entries with one store. The store accepts 300 writes per
// second, of which the entries may use 200 (ten times DefaultWritesPerSecond). Each
// call writes one claim and one outcome. The benchmark reports the time from the
// scheduled start of a call until its claim is written, the share of calls whose
// claim or outcome is not written within two seconds each, and the store writes per
// call.
func BenchmarkClaims(b *testing.B) {
	for _, batchSize := range []int{1, DefaultMaxBatchSize} {
		for _, rate := range []int{50, 140, 300, 1000, 3000, 6000} {
			b.Run(fmt.Sprintf("group=%d/calls=%d", batchSize, rate), func(b *testing.B) {
				for range b.N {
					measureClaims(b, batchSize, rate)
				}
			})
		}
	}
}

func measureClaims(b *testing.B, batchSize, rate int) {
	store := standin.NewStore()
	store.SetFaults(standin.StoreFaults{WritesPerSecond: storeWritesPerSecond, DelayMillis: 2})
	server := httptest.NewServer(store.Handler())
	defer server.Close()
	registries := make([]*Registry, benchEntries)
	for i := range registries {
		registries[i] = newTestRegistry(b, server.URL, BatchOptions{WritesPerSecond: DefaultWritesPerSecond, MaxBatchSize: batchSize})
	}
	var mu sync.Mutex
	var delays []time.Duration
	failed := 0
	var calls sync.WaitGroup
	start := time.Now()
	total := int(benchDuration.Seconds() * float64(rate))
	for i := range total {
		scheduled := start.Add(time.Duration(i) * time.Second / time.Duration(rate))
		time.Sleep(time.Until(scheduled))
		calls.Go(func() {
			err := claimAndRecordOutcome(registries[i%benchEntries], i, func() {
				mu.Lock()
				delays = append(delays, time.Since(scheduled))
				mu.Unlock()
			})
			if err != nil {
				mu.Lock()
				failed++
				mu.Unlock()
			}
		})
	}
	calls.Wait()
	slices.Sort(delays)
	quantile := func(q float64) float64 {
		if len(delays) == 0 {
			return 0
		}
		return float64(delays[int(q*float64(len(delays)-1))].Microseconds()) / 1000
	}
	b.ReportMetric(quantile(0.5), "p50-ms")
	b.ReportMetric(quantile(0.99), "p99-ms")
	b.ReportMetric(float64(failed)/float64(total), "refused/call")
	b.ReportMetric(float64(store.Counts().Writes)/float64(total), "writes/call")
	b.ReportMetric(0, "ns/op")
}

// claimAndRecordOutcome writes the claim and then the outcome of one call. It calls
// onClaimed between the two writes.
func claimAndRecordOutcome(r *Registry, i int, onClaimed func()) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	rec := Record{
		CallID: fmt.Sprintf("once-%024d", i), Target: "booking-1", Incarnation: "0123456789ab",
		Fingerprint: fmt.Sprintf("%064d", i),
	}
	c, err := r.Put(ctx, Key{Workspace: "w1", Service: "booking", Value: fmt.Sprint(i)}, nil, rec)
	if err != nil {
		return err
	}
	onClaimed()
	outcomeCtx, cancelOutcome := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancelOutcome()
	return r.RecordOutcome(outcomeCtx, c, Outcome{Status: 200, Body: make([]byte, 200)})
}
