package claim

import (
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/quetzalglade/quetzalglade/internal/standin"
)

// storeEvent is the input of an operation on the whole store: a copy, or a restore from the
// last copy.
type storeEvent string

const (
	copied   storeEvent = "copied"
	restored storeEvent = "restored"
)

// lossyRegister is the state of a key in a store that may come back from its last copy.
type lossyRegister struct{ holder, copied string }

// lossModel is claimModel with the copies and restores of the store as operations on each key.
var lossModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		var claims, events []porcupine.Operation
		for _, op := range history {
			if _, ok := op.Input.(storeEvent); ok {
				events = append(events, op)
				continue
			}
			claims = append(claims, op)
		}
		parts := claimModel.Partition(claims)
		for i := range parts {
			parts[i] = append(parts[i], events...)
		}
		return parts
	},
	Init: func() []any { return []any{lossyRegister{}} },
	Step: func(state, input, output any) []any {
		s := state.(lossyRegister)
		switch input {
		case copied:
			return []any{lossyRegister{s.holder, s.holder}}
		case restored:
			return []any{lossyRegister{s.copied, s.copied}}
		}
		var next []any
		for _, holder := range claimModel.Step(s.holder, input, output) {
			next = append(next, lossyRegister{holder.(string), s.copied})
		}
		return next
	},
}

// Guards against two holders of a claim other than by a loss in the store: the history of all
// operations must be linearizable with the copies and the restores of the store as events.
func TestClaimsAreLinearizableThroughRestores(t *testing.T) {
	const (
		clients  = 6
		keys     = 4
		restores = 4
	)
	store := standin.NewStore()
	server := httptest.NewServer(store.Handler())
	defer server.Close()
	var mu sync.Mutex
	var history []porcupine.Operation
	add := func(ops ...porcupine.Operation) {
		mu.Lock()
		defer mu.Unlock()
		history = append(history, ops...)
	}
	stop := make(chan struct{})
	var workers sync.WaitGroup
	for client := range clients {
		registry := newTestRegistry(t, server.URL, BatchOptions{WritesPerSecond: 2000, MaxBatchSize: 1 + client%3*8})
		workers.Go(func() {
			rnd := rand.New(rand.NewPCG(7, uint64(client)))
			lastRead := map[string]*Claim{}
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(rnd.IntN(12)) * time.Millisecond):
				}
				add(putClaim(registry, client*1000+n, fmt.Sprintf("k%d", rnd.IntN(keys)), lastRead)...)
			}
		})
	}
	rnd := rand.New(rand.NewPCG(3, 3))
	var times []int64
	for n := range restores {
		record := func(event storeEvent, run func()) {
			start := time.Now().UnixNano()
			run()
			add(porcupine.Operation{ClientId: -100_000 - n, Input: event, Output: event, Call: start, Return: time.Now().UnixNano()})
		}
		var c *standin.StoreCopy
		time.Sleep(time.Duration(5+rnd.IntN(20)) * time.Millisecond)
		record(copied, func() { c = store.Copy() })
		time.Sleep(time.Duration(5+rnd.IntN(30)) * time.Millisecond)
		times = append(times, time.Now().UnixNano())
		record(restored, func() { store.Restore(c, standin.RestoreOptions{NewCluster: true}) })
	}
	time.Sleep(50 * time.Millisecond)
	close(stop)
	workers.Wait()
	won := countWon(history)
	checked, doubled := addDoubled(history, times)
	t.Logf("%d operations, %d won, %d through a restore", len(checked), won, doubled)
	if won == 0 {
		t.Fatal("no Put won a claim")
	}
	if res := porcupine.CheckOperationsTimeout(lossModel.ToModel(), checked, time.Minute); res != porcupine.Ok {
		t.Fatalf("history is not linearizable: %v", res)
	}
}

func countWon(history []porcupine.Operation) int {
	won := 0
	for _, op := range history {
		if in, ok := op.Input.(claimStep); ok && !op.Output.(claimStep).uncertain && op.Output.(claimStep).call == in.call {
			won++
		}
	}
	return won
}

// addDoubled adds an uncertain operation for each Put that was under way at a restore, which
// may take effect before and after it. It returns the number of those.
func addDoubled(history []porcupine.Operation, restores []int64) ([]porcupine.Operation, int) {
	var doubled []porcupine.Operation
	for _, op := range history {
		in, ok := op.Input.(claimStep)
		if !ok || in.expected == neverHeld {
			continue
		}
		for _, at := range restores {
			if op.Call <= at && at <= op.Return {
				again := op
				again.Output = claimStep{uncertain: true}
				doubled = append(doubled, again)
			}
		}
	}
	return append(history, doubled...), len(doubled)
}
