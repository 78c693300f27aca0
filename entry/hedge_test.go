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

const (
	workspaceKey = "hedge-test-key"
	usualDelay   = 5 * time.Millisecond
	slowDelay    = 300 * time.Millisecond
	startLimit   = 30 * time.Second
	maxLookups   = 400
)

func startPlains(t *testing.T, policy decision.Policy) *demo.Fleet {
	place := demo.Place{Datacentre: "one", Region: "home"}
	f, err := demo.Start(demo.Options{
		Plains: []demo.Place{place, place, place}, Entries: []demo.Place{place}, PlainRole: "ordering",
		PlainDelay: usualDelay, Engine: standin.DefaultEngineOptions(), Logger: log.NewNopLogger(), Policy: policy,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	ctx, cancel := context.WithTimeout(context.Background(), startLimit)
	defer cancel()
	err = f.Publish(ctx, []config.Document{{
		Name:       "shop",
		Services:   []config.Service{{Name: "ordering", Kind: config.KindPlain, Role: "ordering", IdempotentMethods: []string{"GET"}, OnceMethods: []string{"POST"}}},
		Workspaces: []config.Workspace{{Name: "shop", Weight: 1, KeyHashes: []string{config.HashKey(workspaceKey)}}},
	}})
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// order makes one call to the ordering service.
func order(t *testing.T, f *demo.Fleet, method string, n int) {
	t.Helper()
	req, err := http.NewRequestWithContext(context.Background(), method, f.EntryURLs[0]+fmt.Sprint("/s/ordering/orders/", n), strings.NewReader("{}"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+workspaceKey)
	req.Header.Set(caller.HeaderIdempotencyKey, fmt.Sprint("order-", n))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("%s %d: status %d", method, n, resp.StatusCode)
	}
}

// TestSecondCopiesAreOfIdempotentCallsOnly slows one of three services: lookups
// get second copies, orders run once each.
func TestSecondCopiesAreOfIdempotentCallsOnly(t *testing.T) {
	for _, policy := range []decision.Policy{decision.PolicyRoundRobin, decision.PolicyLateBinding} {
		t.Run(string(policy), func(t *testing.T) {
			f := startPlains(t, policy)
			for i := range 20 {
				order(t, f, http.MethodGet, i)
			}
			f.Plains[0].SetDelay(slowDelay)
			const orders = 12
			for i := range orders {
				order(t, f, http.MethodPost, i)
			}
			ran := 0
			for _, p := range f.Plains {
				ran += len(p.Effects())
			}
			if ran != orders {
				t.Fatalf("%d orders ran %d times", orders, ran)
			}
			if policy == decision.PolicyRoundRobin {
				waitForSecondCopy(t, f, 20)
			}
		})
	}
}

// waitForSecondCopy sends lookups until more have run than were answered.
func waitForSecondCopy(t *testing.T, f *demo.Fleet, answered int) {
	t.Helper()
	for ; answered < maxLookups; answered++ {
		order(t, f, http.MethodGet, answered)
		ran := 0
		for _, p := range f.Plains {
			ran += p.Lookups()
		}
		if ran > answered+1 {
			return
		}
	}
	t.Fatalf("no second copy in %d lookups", answered)
}
