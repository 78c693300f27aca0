package load

import (
	"context"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/internal/standin"
)

// TestScheduleIsRepeatableAndOrdered guards against variants that are compared under
// different loads: the same seed must generate the same schedule, and arrivals must be
// in the order of their time and before the end of the run.
func TestScheduleIsRepeatableAndOrdered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := Pwani()
		shape := Shape{
			Rate: rapid.Float64Range(1, 200).Draw(t, "rate"), Duration: 5 * time.Second,
			RateDeviation: rapid.Float64Range(0, 0.9).Draw(t, "swing"), PeakFactor: 2, PeakStart: time.Second, PeakDuration: time.Second,
		}
		seed := rapid.Uint64().Draw(t, "seed")
		first, second := Schedule(&d, shape, seed), Schedule(&d, shape, seed)
		if !reflect.DeepEqual(first, second) {
			t.Fatal("the same seed generated two schedules")
		}
		for i := range first {
			if first[i].At >= shape.Duration || (i > 0 && first[i].At < first[i-1].At) {
				t.Fatalf("arrival %d at %v: past the end or before its predecessor", i, first[i].At)
			}
		}
	})
}

// TestCapacityFollowsKVCache guards against a computed capacity that ignores the KV
// cache: if the cache is what limits the batch, twice the cache must allow about twice
// the batch and more requests.
func TestCapacityFollowsKVCache(t *testing.T) {
	d := Pedalia()
	e := standin.DefaultEngineOptions()
	e.MaxBatch = 1000
	e.Blocks = 100
	small := CapacityOf(&d, e)
	e.Blocks = 200
	large := CapacityOf(&d, e)
	if large.Batch < 1.9*small.Batch || large.RequestsPerSecond <= small.RequestsPerSecond {
		t.Fatalf("capacity %+v with half of the KV cache of %+v", small, large)
	}
}

// TestRunAccountsForEveryRequest guards against requests that a run loses or counts
// wrongly. Under a light load of an embedded fleet every request must count as
// complete, none as refused or failed, and cross-region bytes must be counted.
func TestRunAccountsForEveryRequest(t *testing.T) {
	e := standin.DefaultEngineOptions()
	e.StepBase, e.StepPerSequence = 2*time.Millisecond, 50*time.Microsecond
	run, err := Do(context.Background(), Options{
		Deployment: Pedalia(), Policy: decision.PolicyLateBinding, Seed: 7, Load: 0.1,
		Shape: Shape{Duration: time.Second, RateDeviation: 0.5}, DrainTimeout: time.Minute, Engine: e, PlainSlots: 4,
	})
	if err != nil {
		t.Fatal(err)
	}
	f := run.Figures
	if f.Offered == 0 || f.Complete != f.Offered || f.Refused+f.Failed != 0 {
		t.Fatalf("offered %d, complete %d, refused %d, failed %d: %v", f.Offered, f.Complete, f.Refused, f.Failed, f.Failures)
	}
	if f.CrossRegionBytes["central>west"] == 0 {
		t.Fatalf("no cross-region bytes from central to west: %v", f.CrossRegionBytes)
	}
}
