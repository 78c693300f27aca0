package operator

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/quetzalglade/quetzalglade/config"
	"github.com/quetzalglade/quetzalglade/configsync"
	"github.com/quetzalglade/quetzalglade/internal/standin"
	"github.com/quetzalglade/quetzalglade/kvstore"
	"github.com/quetzalglade/quetzalglade/result"
)

// hookedStore calls a function before the transaction that swaps the manifest.
type hookedStore struct {
	kvstore.Store
	beforeSwap func()
}

func (s *hookedStore) Commit(ctx context.Context, txn kvstore.Txn) (kvstore.TxnResult, error) {
	if hook := s.beforeSwap; hook != nil && len(txn.Compares) > 0 {
		s.beforeSwap = nil
		hook()
	}
	return s.Store.Commit(ctx, txn)
}

// Guards against a publication on a base of before a restore of the store that takes effect
// with documents missing, is reported as something else than what happened, or does not end.
func TestPublishThroughARestore(t *testing.T) {
	for _, tc := range []struct {
		name      string
		isNew     bool
		published int
		want      result.Code
	}{
		{"manifest lost", true, 0, result.VersionConflict},
		{"manifest lost, same cluster", false, 0, result.VersionConflict},
		{"an earlier manifest", true, 1, result.VersionConflict},
		// The copy and the base differ, and the manifest has the base's revision by chance.
		{"another manifest of the same revision", true, -1, result.VersionConflict},
		{"another manifest of the same revision, same cluster", false, -1, result.VersionConflict},
		{"the same manifest, documents lost", true, -2, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			server, client := newStore(t)
			other := newClient(t, server)
			publish := func(store kvstore.Store, variant int) (config.Manifest, error) {
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				defer cancel()
				docs := []config.Document{workspacesDocument("kept", 9, 1), workspacesDocument("a", variant, 1)}
				return Publish(ctx, store, docs, fmt.Sprint("author-", variant), time.Now())
			}
			var copied *standin.StoreCopy
			if tc.published == 0 || tc.published == -1 {
				copied = server.Copy()
			}
			if _, err := publish(client, 1); err != nil {
				t.Fatal(err)
			}
			if copied == nil {
				copied = server.Copy()
			}
			if tc.published > 0 {
				if _, err := publish(client, 2); err != nil {
					t.Fatal(err)
				}
			}
			_, base, err := CurrentManifest(context.Background(), client)
			if err != nil {
				t.Fatal(err)
			}
			store := &hookedStore{Store: client, beforeSwap: func() {
				server.Restore(copied, standin.RestoreOptions{NewCluster: tc.isNew})
				if tc.published == -1 {
					// Another writer gives the manifest the revision of the base.
					for server.Revision() < base-1 {
						put(t, other, configsync.DocumentPrefix+"filler", []byte("{}"))
					}
					put(t, other, configsync.ManifestKey, []byte(`{"version":1,"author":"other"}`))
				}
			}}
			start := time.Now()
			m, err := publish(store, 3)
			if took := time.Since(start); took > 2*time.Second {
				t.Errorf("Publish took %v", took)
			}
			if codeOf(err) != tc.want {
				t.Errorf("Publish returned %v, want code %v", err, tc.want)
			}
			current := requireComplete(t, client)
			if (err == nil) != (current.Nonce == m.Nonce && m.Nonce != "") {
				t.Errorf("version %d by %s is in force, Publish returned %v", current.Version, current.Author, err)
			}
			if _, err := publish(client, 4); err != nil {
				t.Errorf("the next publication failed: %v", err)
			}
			requireComplete(t, client)
		})
	}
}

// newClient returns another client of the store.
func newClient(t *testing.T, s *standin.Store) kvstore.Store {
	t.Helper()
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	return kvstore.NewEtcdStore(server.URL, server.Client(), 2*time.Second)
}

// put writes a key without a condition.
func put(t *testing.T, client kvstore.Store, key string, value []byte) {
	t.Helper()
	if _, err := client.Commit(context.Background(), kvstore.Txn{Ops: []kvstore.Op{{Key: key, Value: value}}}); err != nil {
		t.Fatal(err)
	}
}
