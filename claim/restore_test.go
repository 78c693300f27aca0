package claim

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/quetzalglade/quetzalglade/internal/standin"
)

// Guards against an outcome that is dropped because a restore of the store lost the claim of
// the call, so that the call runs again for the next request with its key.
func TestOutcomeAfterARestore(t *testing.T) {
	for _, isNew := range []bool{true, false} {
		for _, isClaimLost := range []bool{true, false} {
			t.Run(fmt.Sprintf("new cluster %v, claim lost %v", isNew, isClaimLost), func(t *testing.T) {
				store := standin.NewStore()
				server := httptest.NewServer(store.Handler())
				defer server.Close()
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				r := newTestRegistry(t, server.URL, BatchOptions{})
				key := Key{Value: "k"}
				copied := store.Copy()
				held, err := r.Put(ctx, key, nil, Record{CallID: "first", Target: "t"})
				if err != nil {
					t.Fatal(err)
				}
				if !isClaimLost {
					copied = store.Copy()
				}
				if _, err := r.Put(ctx, Key{Value: "other"}, nil, Record{CallID: "other"}); err != nil {
					t.Fatal(err)
				}
				store.Restore(copied, standin.RestoreOptions{NewCluster: isNew})
				if err := r.RecordOutcome(ctx, held, Outcome{Status: 201}); err != nil {
					t.Fatal(err)
				}
				now, err := newTestRegistry(t, server.URL, BatchOptions{}).Get(ctx, key)
				if err != nil || now == nil || now.CallID != "first" || now.Outcome == nil || now.Outcome.Status != 201 {
					t.Fatalf("the claim is %+v, err %v", now, err)
				}
			})
		}
	}
}

// Guards against an outcome that replaces the claim of another call after a restore.
func TestOutcomeAfterARestoreKeepsTheClaimOfAnother(t *testing.T) {
	store := standin.NewStore()
	server := httptest.NewServer(store.Handler())
	defer server.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	key := Key{Value: "k"}
	copied := store.Copy()
	r := newTestRegistry(t, server.URL, BatchOptions{})
	held, err := r.Put(ctx, key, nil, Record{CallID: "first"})
	if err != nil {
		t.Fatal(err)
	}
	store.Restore(copied, standin.RestoreOptions{NewCluster: true})
	other := newTestRegistry(t, server.URL, BatchOptions{})
	if _, err := other.Put(ctx, key, nil, Record{CallID: "second"}); err != nil {
		t.Fatal(err)
	}
	if err := r.RecordOutcome(ctx, held, Outcome{Status: 201}); err != nil {
		t.Fatal(err)
	}
	if now, err := other.Get(ctx, key); err != nil || now.CallID != "second" || now.Outcome != nil {
		t.Fatalf("the claim is %+v, err %v", now, err)
	}
}

// Guards against claims of calls that may have run and that nobody writes again after a
// restore.
func TestLostClaimsAreWrittenAgain(t *testing.T) {
	store := standin.NewStore()
	server := httptest.NewServer(store.Handler())
	defer server.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	r := newTestRegistry(t, server.URL, BatchOptions{})
	copied := store.Copy()
	const claims = 40
	key := func(i int) Key { return Key{Value: fmt.Sprint(i)} }
	for i := range claims {
		held, err := r.Put(ctx, key(i), nil, Record{CallID: fmt.Sprint("call-", i)})
		if err != nil {
			t.Fatal(err)
		}
		if i == 0 {
			if err := r.Release(ctx, held); err != nil {
				t.Fatal(err)
			}
		}
	}
	store.Restore(copied, standin.RestoreOptions{NewCluster: true})
	other := newTestRegistry(t, server.URL, BatchOptions{})
	if _, err := other.Put(ctx, key(1), nil, Record{CallID: "second"}); err != nil {
		t.Fatal(err)
	}
	// The process learns of the restore.
	if _, err := r.Get(ctx, key(0)); err != nil {
		t.Fatal(err)
	}
	if n, err := r.WriteAgain(ctx); err != nil || n != claims-2 {
		t.Fatalf("%d claims written again, err %v, want %d", n, err, claims-2)
	}
	for i := range claims {
		now, err := other.Get(ctx, key(i))
		want := fmt.Sprint("call-", i)
		if i == 1 {
			want = "second"
		}
		if err != nil || (now == nil) != (i == 0) || (now != nil && now.CallID != want) {
			t.Fatalf("claim %d is %+v, err %v", i, now, err)
		}
	}
}
