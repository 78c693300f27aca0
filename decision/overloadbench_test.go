package decision

import (
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkOverload measures the decision about one of 2000 waiting streams with 400
// targets, and the choice of a target for a stream that may start.
func BenchmarkOverload(b *testing.B) {
	const streams, fleet = 2000, 400
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	rng := rand.New(rand.NewPCG(1, 1))
	targets := make([]PlacementTarget, fleet)
	for i := range targets {
		targets[i] = PlacementTarget{Slots: 24, Requests: rng.IntN(24), DecodingStreams: rng.IntN(20), PrefillTokens: rng.IntN(6000), KVTokens: rng.IntN(26900), KVCapacityTokens: 26900, Slowdown: 1}
	}
	var q WaitQueue
	work := AdmissionWork{PlacementWork: PlacementWork{PromptTokens: 2200, KVTokens: 2203}, ID: "a", Objective: 1500 * time.Millisecond, Patience: 6 * time.Second, Limit: 6 * time.Second}
	waiting := make([]*WaitingStream, streams)
	for i := range waiting {
		at := now.Add(-time.Duration(rng.IntN(5000)) * time.Millisecond)
		waiting[i] = &WaitingStream{Priority: i % 2, ArrivedAt: at, TightAt: at.Add(work.TightAfter()), LateAt: at.Add(work.LateAfter()), PromptTokens: 2200}
		q.Add(waiting[i], now)
	}
	costs := DefaultPlacementCosts()
	costs = costs.Shared(25, work.PlacementWork)
	b.Run("wait", func(b *testing.B) {
		// The streams search once in 65 ms on average.
		for i := 0; b.Loop(); i++ {
			now = now.Add(65 * time.Millisecond / streams)
			Admit(&work, targets, q.Ahead(waiting[i%streams], 1, now))
		}
	})
	b.Run("start", func(b *testing.B) {
		for b.Loop() {
			a := Admit(&work, targets, QueueAhead{Others: streams})
			costs.ChooseRooms(work.PlacementWork, targets, a.Rooms).Next(rng.Float64())
		}
	})
}
