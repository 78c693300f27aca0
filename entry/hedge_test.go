package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/quetzalglade/quetzalglade/caller"
	"github.com/quetzalglade/quetzalglade/config"
	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/internal/demo"
	"github.com/quetzalglade/quetzalglade/internal/standin"
)

// Key, delays and limits of the hedging test. slowDelay is far above normalDelay, so
// that calls to the slow target are late enough for a hedge.
const (
	hedgeWorkspaceKey = "hedge-test-key"
	normalDelay       = 5 * time.Millisecond
	slowDelay         = 300 * time.Millisecond
	publishTimeout    = 30 * time.Second
	maxLookups        = 400
)

// startPlainFleet starts one entry and three plain targets of a service with
// idempotent GET and non-idempotent POST.
func startPlainFleet(t *testing.T, policy decision.Policy) *demo.Fleet {
	location := demo.Location{Datacentre: "one", Region: "home"}
	fleet, err := demo.Start(demo.Options{
		Plains: []demo.Location{location, location, location}, Entries: []demo.Location{location}, PlainRole: "ordering",
		PlainDelay: normalDelay, Engine: standin.DefaultEngineOptions(), Logger: log.NewNopLogger(), Policy: policy,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	ctx, cancel := context.WithTimeout(context.Background(), publishTimeout)
	defer cancel()
	err = fleet.Publish(ctx, []config.Document{{
		Name:       "shop",
		Services:   []config.Service{{Name: "ordering", Kind: config.KindPlain, Role: "ordering", IdempotentMethods: []string{"GET"}, AtMostOnceMethods: []string{"POST"}}},
		Workspaces: []config.Workspace{{Name: "shop", Weight: 1, KeyHashes: []string{config.HashKey(hedgeWorkspaceKey)}}},
	}})
	if err != nil {
		t.Fatal(err)
	}
	return fleet
}

// callOrdering makes one call to the ordering service and fails the test unless it
// succeeds.
func callOrdering(t *testing.T, f *demo.Fleet, method string, number int) {
	t.Helper()
	req, err := http.NewRequestWithContext(context.Background(), method, f.EntryURLs[0]+fmt.Sprint("/s/ordering/orders/", number), strings.NewReader("{}"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+hedgeWorkspaceKey)
	req.Header.Set(caller.HeaderIdempotencyKey, fmt.Sprint("order-", number))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("%s %d: status %d", method, number, resp.StatusCode)
	}
}

// TestOnlyIdempotentCallsAreHedged guards against a second attempt of a non-idempotent
// call, which would run the call twice. One of three targets is slow: there must be
// as many executions as orders (POST). With round robin, at least one lookup
// (GET) must get a second attempt.
func TestOnlyIdempotentCallsAreHedged(t *testing.T) {
	for _, policy := range []decision.Policy{decision.PolicyRoundRobin, decision.PolicyLateBinding} {
		t.Run(string(policy), func(t *testing.T) {
			f := startPlainFleet(t, policy)
			for i := range 20 {
				callOrdering(t, f, http.MethodGet, i)
			}
			f.Plains[0].SetDelay(slowDelay)
			const orders = 12
			for i := range orders {
				callOrdering(t, f, http.MethodPost, i)
			}
			executions := 0
			for _, p := range f.Plains {
				executions += len(p.Effects())
			}
			if executions != orders {
				t.Fatalf("%d orders caused %d executions, want one each", orders, executions)
			}
			if policy == decision.PolicyRoundRobin {
				waitForHedge(t, f, 20)
			}
		})
	}
}

// waitForHedge sends lookups until the targets have run more lookups than were
// answered.
func waitForHedge(t *testing.T, f *demo.Fleet, answered int) {
	t.Helper()
	for ; answered < maxLookups; answered++ {
		callOrdering(t, f, http.MethodGet, answered)
		executions := 0
		for _, p := range f.Plains {
			executions += p.Lookups()
		}
		if executions > answered+1 {
			return
		}
	}
	t.Fatalf("no hedged copy in %d lookups", answered)
}
