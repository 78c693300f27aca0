package operator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/quetzalglade/quetzalglade/config"
	"github.com/quetzalglade/quetzalglade/configsync"
	"github.com/quetzalglade/quetzalglade/internal/standin"
	"github.com/quetzalglade/quetzalglade/kvstore"

	"github.com/quetzalglade/quetzalglade/result"
)

// newStore starts a stand-in store and returns it with a client.
func newStore(t *testing.T) (*standin.Store, kvstore.Store) {
	t.Helper()
	s := standin.NewStore()
	server := httptest.NewServer(s.Handler())
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return s, kvstore.NewEtcdStore(server.URL, server.Client(), 2*time.Second)
}

// workspacesDocument returns a document with n workspaces. Documents of different
// variants differ in content.
func workspacesDocument(name string, variant, n int) config.Document {
	d := config.Document{Name: name}
	for i := range n {
		id := fmt.Sprintf("%s-%d", name, i)
		d.Workspaces = append(d.Workspaces, config.Workspace{Name: id, Weight: variant + 1, KeyHashes: []string{config.HashKey(id)}})
	}
	return d
}

// requireComplete returns the current manifest. It fails the test if a document
// of that manifest is missing.
func requireComplete(t *testing.T, store kvstore.Store) config.Manifest {
	t.Helper()
	m, _, err := CurrentManifest(context.Background(), store)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := configsync.Documents(context.Background(), store, &m); err != nil {
		t.Fatalf("version %d: %v", m.Version, err)
	}
	return m
}

// codeOf returns the result code of err, 0 if it has none.
func codeOf(err error) result.Code {
	var e *result.Error
	if errors.As(err, &e) {
		return e.Code
	}
	return 0
}

// failingStore returns an error from the commit number failAt, counted from 1.
// If applied is set, that commit takes effect all the same. If permanent is
// set, all later calls of Get and Commit fail too.
type failingStore struct {
	kvstore.Store
	mu        sync.Mutex
	failAt    int
	applied   bool
	permanent bool
	commits   int
	hasFailed bool
}

var errStore = errors.New("the store does not answer")

func (s *failingStore) Get(ctx context.Context, key string) (*kvstore.KV, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hasFailed && s.permanent {
		return nil, errStore
	}
	return s.Store.Get(ctx, key)
}

func (s *failingStore) Commit(ctx context.Context, txn kvstore.Txn) (kvstore.TxnResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commits++
	if s.hasFailed && s.permanent {
		return kvstore.TxnResult{}, errStore
	}
	if s.commits != s.failAt {
		return s.Store.Commit(ctx, txn)
	}
	s.hasFailed = true
	if s.applied {
		_, _ = s.Store.Commit(ctx, txn)
	}
	return kvstore.TxnResult{}, errStore
}

// TestPublishRecoversFromFailedWrites guards against a failed write that leaves an
// incomplete configuration or a wrong outcome. The publication has three writes: two
// documents and the swap of the manifest. Each fails in turn, either only that write
// or, as if the publisher were killed, that write and all later calls. The current
// configuration must stay complete, the returned outcome must agree with it, and the
// next publication must succeed.
func TestPublishRecoversFromFailedWrites(t *testing.T) {
	for _, permanent := range []bool{false, true} {
		for _, applied := range []bool{false, true} {
			for step := 1; step <= 3; step++ {
				t.Run(fmt.Sprintf("permanent=%v/applied=%v/step=%d", permanent, applied, step), func(t *testing.T) {
					_, client := newStore(t)
					first, err := Publish(context.Background(), client, []config.Document{workspacesDocument("a", 0, 2)}, "first", time.Now())
					if err != nil {
						t.Fatal(err)
					}
					ctx, cancel := context.WithTimeout(context.Background(), time.Second)
					defer cancel()
					store := &failingStore{Store: client, failAt: step, applied: applied, permanent: permanent}
					docs := []config.Document{workspacesDocument("a", 1, 2), workspacesDocument("b", 0, 2)}
					m, err := Publish(ctx, store, docs, "second", time.Now())
					current := requireComplete(t, client)
					switch {
					case err == nil && (current.Nonce != m.Nonce || current.Version != first.Version+1):
						t.Errorf("published version %d, but version %d by %s is in force", m.Version, current.Version, current.Author)
					case err != nil && current.Version != first.Version && codeOf(err) != result.StoreUnavailable:
						t.Errorf("version %d is in force, Publish returned: %v", current.Version, err)
					case err != nil && step == 3 && !permanent:
						t.Errorf("Publish did not find out the outcome of a swap whose reply was lost: %v", err)
					}
					if _, err := Publish(context.Background(), client, docs, "third", time.Now()); err != nil {
						t.Errorf("the next publication failed: %v", err)
					}
					requireComplete(t, client)
				})
			}
		}
	}
}

// TestConcurrentPublishers guards against two publishers that both succeed with the
// same version. Exactly one of several concurrent publishers must write each version,
// and the others must get a version conflict. In some rounds the store applies two
// writes without a reply.
func TestConcurrentPublishers(t *testing.T) {
	Convey("Several publishers publish concurrently in each round", t, func() {
		server, client := newStore(t)
		const rounds, publishers = 10, 6
		authorByVersion := map[int64]string{}
		var mu sync.Mutex
		for round := range rounds {
			if round%3 == 1 {
				server.SetFaults(standin.StoreFaults{DropReplies: 2})
			}
			var wg sync.WaitGroup
			for p := range publishers {
				wg.Add(1)
				go func() {
					defer wg.Done()
					author := fmt.Sprintf("author-%d", p)
					m, err := Publish(context.Background(), client, []config.Document{workspacesDocument("a", p, 2)}, author, time.Now())
					mu.Lock()
					defer mu.Unlock()
					if err == nil {
						if other, ok := authorByVersion[m.Version]; ok {
							t.Errorf("version %d was published by both %s and %s", m.Version, other, author)
						}
						authorByVersion[m.Version] = author
						return
					}
					if code := codeOf(err); code != result.VersionConflict && !isLostReply(err) {
						t.Errorf("unexpected error for %s: %v", author, err)
					}
				}()
			}
			wg.Wait()
			requireComplete(t, client)
		}
		m := requireComplete(t, client)
		So(int64(len(authorByVersion)), ShouldEqual, m.Version)
		So(authorByVersion[m.Version], ShouldEqual, m.Author)
	})
}

// isLostReply reports whether err has no result code. Publish returns such an error
// if the reply to a document's write is lost; the manifest is then unchanged.
func isLostReply(err error) bool { return err != nil && codeOf(err) == 0 }

// TestGarbageCollectionKeepsCurrentDocuments guards against a garbage collection
// that deletes a document which a concurrent publication references again. Each
// publication picks one of 80 variants of one document and one of 3 of another, so
// that documents leave and re-enter the configuration. Every document of the current
// manifest must exist. The history must stay limited, and a garbage collection that no
// other publication interferes with must leave just the retained manifests, the
// documents that they reference, and documents that are newer than the manifest that
// the collecting publication has replaced.
func TestGarbageCollectionKeepsCurrentDocuments(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			_, client := newStore(t)
			var wg sync.WaitGroup
			for p := range 3 {
				wg.Add(1)
				go func() {
					defer wg.Done()
					rnd := rand.New(rand.NewPCG(seed, uint64(p)))
					for range 60 {
						docs := []config.Document{workspacesDocument("a", rnd.IntN(80), 1), workspacesDocument("b", rnd.IntN(3), 1)}
						_, _ = Publish(context.Background(), client, docs, "p", time.Now())
					}
				}()
			}
			wg.Wait()
			requireComplete(t, client)
			requireLimitedHistory(t, client)
			// Documents of refused publications stay until a collection is due. It is due
			// after this many further publications at the latest.
			for v := range retainedVersions + manifestsPerCollection + 1 {
				if _, err := Publish(context.Background(), client, []config.Document{workspacesDocument("a", v%2, 1)}, "p", time.Now()); err != nil {
					t.Fatal(err)
				}
				m := requireComplete(t, client)
				history := requireLimitedHistory(t, client)
				if m.Version > retainedVersions+1 && len(history) == retainedVersions+1 {
					requireNoOldDocuments(t, client, history)
					t.Logf("collected at version %d, after %d publications", m.Version, v+1)
					return
				}
			}
			t.Error("no garbage collection has completed")
		})
	}
}

// requireLimitedHistory returns the manifests in the store. It fails the test if there
// are more than may accumulate between two garbage collections.
func requireLimitedHistory(t *testing.T, store kvstore.Store) []kvstore.KV {
	t.Helper()
	history, _, err := store.Range(context.Background(), configsync.HistoryPrefix)
	if err != nil {
		t.Fatal(err)
	}
	if len(history) > retainedVersions+manifestsPerCollection+1 {
		t.Errorf("the store holds %d manifests", len(history))
	}
	return history
}

// requireNoOldDocuments fails the test if the store lacks a document that a manifest of
// the history references, or has one that none references and that is older than the
// last manifest but one. A publication that was refused may have written a newer one.
func requireNoOldDocuments(t *testing.T, store kvstore.Store, history []kvstore.KV) {
	t.Helper()
	referenced := map[string]bool{}
	for i := range history {
		m, err := decodeManifest(&history[i])
		if err != nil {
			t.Fatal(err)
		}
		for digest := range references(&m) {
			referenced[configsync.DocumentPrefix+digest] = true
		}
	}
	documents, _, err := store.Range(context.Background(), configsync.DocumentPrefix)
	if err != nil {
		t.Fatal(err)
	}
	replaced := history[len(history)-2].ModRevision
	found := 0
	for _, kv := range documents {
		switch {
		case referenced[kv.Key]:
			found++
		case kv.ModRevision < replaced:
			t.Errorf("no manifest references the document %s of revision %d, older than %d", kv.Key, kv.ModRevision, replaced)
		}
	}
	if found < len(referenced) {
		t.Errorf("the store holds %d of the %d documents that manifests reference", found, len(referenced))
	}
}

// TestGarbageCollectionKeepsPendingDocuments guards against a garbage collection
// that deletes the documents of a concurrent publication which has written them and
// has not yet swapped the manifest.
func TestGarbageCollectionKeepsPendingDocuments(t *testing.T) {
	Convey("A document that a pending publication needs is not deleted", t, func() {
		_, client := newStore(t)
		ctx := context.Background()
		publish := func(variant int) {
			_, err := Publish(ctx, client, []config.Document{workspacesDocument("a", variant, 1)}, "p", time.Now())
			So(err, ShouldBeNil)
		}
		publish(0)
		publish(1)
		old, revision, err := CurrentManifest(ctx, client)
		So(err, ShouldBeNil)
		pending := &publication{store: client, replaced: old, revision: revision, manifest: config.Manifest{Version: old.Version + 1, Nonce: newNonce()}}
		So(pending.writeDocuments(ctx, []config.Document{workspacesDocument("a", 2, 1)}), ShouldBeNil)
		collecting := &publication{store: client, replaced: config.Manifest{}, revision: revision, manifest: old}
		So(collecting.collectGarbage(ctx, revision), ShouldBeNil)
		_, err = pending.swap(ctx)
		So(err, ShouldBeNil)
		requireComplete(t, client)
	})
}

// TestLargeConfiguration guards against a configuration of 1,400 workspaces whose
// documents or manifest exceed the store's value limit. One file of all workspaces
// must be split into one document for the services and 22 for up to 64 workspaces
// each; with one file for each workspace the manifest must stay below half the limit.
func TestLargeConfiguration(t *testing.T) {
	Convey("One file of 1,400 workspaces is split, and a change writes only one part and the manifest", t, func() {
		server, client := newStore(t)
		d := workspacesDocument("all", 0, 1400)
		_, err := Publish(context.Background(), client, []config.Document{d}, "p", time.Now())
		So(err, ShouldBeNil)
		before := server.Counts().Writes
		d.Workspaces[700].Weight = 9
		_, err = Publish(context.Background(), client, []config.Document{d}, "p", time.Now())
		So(err, ShouldBeNil)
		So(server.Counts().Writes-before, ShouldEqual, 2)
		So(len(requireComplete(t, client).Documents), ShouldEqual, 23)
	})
	Convey("The manifest of 1,400 files is below half of the store's value limit", t, func() {
		_, client := newStore(t)
		var docs []config.Document
		for i := range 1400 {
			docs = append(docs, workspacesDocument(fmt.Sprintf("customers/region/customer-%04d/quetzalglade.ini", i), 0, 1))
		}
		_, err := Publish(context.Background(), client, docs, "p", time.Now())
		So(err, ShouldBeNil)
		kv, err := client.Get(context.Background(), configsync.ManifestKey)
		So(err, ShouldBeNil)
		So(len(kv.Value), ShouldBeLessThan, maxValueBytes/2)
		t.Logf("manifest of 1,400 documents: %d bytes", len(kv.Value))
	})
}
