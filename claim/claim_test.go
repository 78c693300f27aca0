package claim

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/quetzalglade/quetzalglade/internal/standin"
	"github.com/quetzalglade/quetzalglade/kvstore"
)

// newTestRegistry returns a registry with its own batcher, like that of one
// process.
func newTestRegistry(tb testing.TB, url string, o BatchOptions) *Registry {
	tb.Helper()
	transport := &http.Transport{MaxIdleConnsPerHost: maxInFlight}
	store := kvstore.NewEtcdStore(url, &http.Client{Transport: transport}, 2*time.Second)
	batcher := NewBatcher(store, o)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = batcher.Serve(ctx)
	}()
	tb.Cleanup(func() {
		cancel()
		<-stopped
		transport.CloseIdleConnections()
	})
	return NewRegistry(store, batcher, time.Hour)
}

// claimStep is the input or the output of one Put.
type claimStep struct {
	key string
	// expected is the call id of the claim that the client last read.
	expected string
	// call is the new call id in an input, that of the returned claim in an
	// output.
	call string
	// uncertain is set in an output if the Put may or may not have taken effect.
	uncertain bool
}

// claimModel models each key as a register of the call id that holds the key.
var claimModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(claimStep).key
			byKey[key] = append(byKey[key], op)
		}
		var parts [][]porcupine.Operation
		for _, ops := range byKey {
			parts = append(parts, ops)
		}
		return parts
	},
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		holder, in, out := state.(string), input.(claimStep), output.(claimStep)
		matches := holder == in.expected
		switch {
		case out.uncertain && matches:
			return []any{in.call, holder}
		case out.uncertain:
			return []any{holder}
		case matches && out.call == in.call:
			return []any{in.call}
		case !matches && out.call == holder:
			return []any{holder}
		}
		return nil
	},
}

// TestClaimsAreLinearizable guards against two callers that both hold the claim
// of a key. Several registries write claims and replace each other's claims in
// a store that drops replies and is unavailable at times; the history of all
// operations must be linearizable.
func TestClaimsAreLinearizable(t *testing.T) {
	const (
		clients = 8
		keys    = 4
		steps   = 30
	)
	store := standin.NewStore()
	server := httptest.NewServer(store.Handler())
	defer server.Close()
	var mu sync.Mutex
	var history []porcupine.Operation
	stop := make(chan struct{})
	var injector, workers sync.WaitGroup
	registries := make([]*Registry, clients)
	for client := range registries {
		registries[client] = newTestRegistry(t, server.URL, BatchOptions{WritesPerSecond: 2000, MaxBatchSize: 1 + client%4*8})
		// After a failed grant all Puts fail at once for a time, which may cover all steps.
		if _, err := registries[client].leases.current(t.Context(), time.Now()); err != nil {
			t.Fatal(err)
		}
	}
	injector.Go(func() { injectFaults(store, stop) })
	for client, registry := range registries {
		workers.Go(func() {
			rnd := rand.New(rand.NewPCG(7, uint64(client)))
			lastRead := map[string]*Claim{}
			for n := range steps {
				ops := putClaim(registry, client*steps+n, fmt.Sprintf("k%d", rnd.IntN(keys)), lastRead)
				mu.Lock()
				history = append(history, ops...)
				mu.Unlock()
			}
		})
	}
	workers.Wait()
	close(stop)
	injector.Wait()
	won, uncertain := 0, 0
	for _, op := range history {
		out := op.Output.(claimStep)
		if out.uncertain {
			uncertain++
		} else if out.call == op.Input.(claimStep).call {
			won++
		}
	}
	t.Logf("%d operations, %d won, %d uncertain", len(history), won, uncertain)
	if won == 0 {
		t.Fatal("no Put won a claim")
	}
	if res := porcupine.CheckOperationsTimeout(claimModel.ToModel(), history, time.Minute); res != porcupine.Ok {
		t.Fatalf("history is not linearizable: %v", res)
	}
}

// neverHeld is not the call id of any claim. A Put that expects it cannot change
// the register, so the model treats the Put as a read.
const neverHeld = "-"

// putClaim replaces the claim that the client last read for the key and returns
// the operations for the history. A Put that failed may take effect at any later
// time. A Put that returned another claim may have taken effect and been
// replaced before it was retried after a lost reply; it is recorded as an
// uncertain write and a read.
func putClaim(r *Registry, n int, key string, lastRead map[string]*Claim) []porcupine.Operation {
	in := claimStep{key: key, call: fmt.Sprintf("call-%d", n)}
	if lastRead[key] != nil {
		in.expected = lastRead[key].CallID
	}
	ctx, cancel := context.WithTimeout(context.Background(), 150*time.Millisecond)
	defer cancel()
	start := time.Now().UnixNano()
	current, err := r.Put(ctx, Key{Value: key}, lastRead[key], Record{CallID: in.call})
	end := time.Now().UnixNano()
	uncertain := porcupine.Operation{ClientId: n, Input: in, Call: start, Return: end, Output: claimStep{uncertain: true}}
	if err != nil {
		uncertain.Return = math.MaxInt64
		return []porcupine.Operation{uncertain}
	}
	out := claimStep{}
	if current != nil {
		out.call = current.CallID
	}
	lastRead[key] = current
	if out.call == in.call {
		return []porcupine.Operation{{ClientId: n, Input: in, Call: start, Return: end, Output: out}}
	}
	read := claimStep{key: key, expected: neverHeld}
	return []porcupine.Operation{uncertain, {ClientId: -n, Input: read, Call: start, Return: end, Output: out}}
}

// injectFaults makes the store drop replies, delay calls and reset connections
// for short periods until stop is closed.
func injectFaults(store *standin.Store, stop <-chan struct{}) {
	rnd := rand.New(rand.NewPCG(11, 11))
	for {
		faults := standin.StoreFaults{DropReplies: rnd.IntN(4), AbortCalls: rnd.IntN(8) == 0, DelayMillis: int64(rnd.IntN(8))}
		store.SetFaults(faults)
		select {
		case <-stop:
			store.SetFaults(standin.StoreFaults{})
			return
		case <-time.After(time.Duration(5+rnd.IntN(20)) * time.Millisecond):
		}
	}
}
