package kvstore_test

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/quetzalglade/quetzalglade/internal/standin"
	"github.com/quetzalglade/quetzalglade/kvstore"
)

const (
	waitTimeout = 10 * time.Second
	prefix      = "k/"
)

// failer is the part of testing.TB that rapid.T has too.
type failer interface {
	Helper()
	Fatalf(format string, args ...any)
}

// recorder is a follower that holds the keys that it was told.
type recorder struct {
	mu       sync.Mutex
	keys     map[string]string
	position kvstore.Position
	resets   int
	// decreased is the first position that is before an earlier one, with that one.
	decreased []kvstore.Position
}

func (r *recorder) advance(next kvstore.Position) {
	if next.Before(r.position) && r.decreased == nil {
		r.decreased = []kvstore.Position{r.position, next}
	}
	r.position = next
}

// Reset implements kvstore.Follower.
func (r *recorder) Reset(kvs []kvstore.KV, position kvstore.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resets++
	r.keys = map[string]string{}
	for _, kv := range kvs {
		r.keys[kv.Key] = string(kv.Value)
	}
	r.advance(position)
}

// Apply implements kvstore.Follower.
func (r *recorder) Apply(batch kvstore.WatchBatch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range batch.Events {
		if e.Deleted {
			delete(r.keys, e.KV.Key)
			continue
		}
		r.keys[e.KV.Key] = string(e.KV.Value)
	}
	r.advance(batch.Position())
}

// Disconnected implements kvstore.Follower.
func (r *recorder) Disconnected(error) {}

func (r *recorder) state() (map[string]string, kvstore.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.keys), r.position
}

// fixture is a store with one writer and one follower, which do not share a client.
type fixture struct {
	server   *standin.Store
	url      string
	writer   kvstore.Store
	followed *kvstore.EtcdStore
	recorder *recorder
	stop     func()
}

func newFixture() *fixture {
	s := standin.NewStore()
	server := httptest.NewServer(s.Handler())
	fx := &fixture{
		server: s, url: server.URL, recorder: &recorder{},
		followed: kvstore.NewEtcdStore(server.URL, &http.Client{Transport: &http.Transport{}}, time.Second),
	}
	fx.connectWriter()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		kvstore.Follow(ctx, fx.followed, prefix, fx.recorder)
	}()
	fx.stop = func() {
		cancel()
		<-done
		server.CloseClientConnections()
		server.Close()
	}
	return fx
}

// connectWriter gives the writer a new client, which knows of no restore.
func (fx *fixture) connectWriter() {
	fx.writer = kvstore.NewEtcdStore(fx.url, &http.Client{Transport: &http.Transport{}}, time.Second)
}

func (fx *fixture) put(t failer, key, value string) {
	t.Helper()
	if _, err := fx.writer.Commit(context.Background(), kvstore.Txn{Ops: []kvstore.Op{{Key: prefix + key, Value: []byte(value)}}}); err != nil {
		t.Fatalf("put: %v", err)
	}
}

// awaitState waits until the follower has the keys of the store.
func (fx *fixture) awaitState(t failer) {
	t.Helper()
	want := map[string]string{}
	kvs, _, err := fx.writer.Range(context.Background(), prefix)
	if err != nil {
		t.Fatalf("range: %v", err)
	}
	for _, kv := range kvs {
		want[kv.Key] = string(kv.Value)
	}
	deadline := time.Now().Add(waitTimeout)
	for {
		got, position := fx.recorder.state()
		if maps.Equal(got, want) {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("at %+v the follower has %v, the store at revision %d has %v", position, got, fx.server.Revision(), want)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// Guards against a follower that keeps the state that a restored store has lost, or misses
// the changes after the restore.
func TestFollowerAfterARestore(t *testing.T) {
	for _, isNew := range []bool{true, false} {
		for _, lost := range []int{0, 1, 11, 200} {
			t.Run(fmt.Sprintf("new cluster %v, %d lost", isNew, lost), func(t *testing.T) {
				fx := newFixture()
				defer fx.stop()
				fx.put(t, "base", "0")
				fx.awaitState(t)
				copied := fx.server.Copy()
				for i := range lost {
					fx.put(t, "lost", fmt.Sprint(i))
				}
				fx.awaitState(t)
				fx.server.Restore(copied, standin.RestoreOptions{NewCluster: isNew})
				fx.awaitState(t)
				fx.put(t, "later", "1")
				fx.awaitState(t)
			})
		}
	}
}

// Guards against a follower that takes another change for the lost one with its revision.
func TestEqualRevisionsWithDifferentContent(t *testing.T) {
	fx := newFixture()
	defer fx.stop()
	fx.put(t, "base", "0")
	copied := fx.server.Copy()
	fx.put(t, "a", "lost")
	fx.awaitState(t)
	before := fx.server.Revision()
	fx.server.Restore(copied, standin.RestoreOptions{NewCluster: true})
	fx.put(t, "b", "new")
	if fx.server.Revision() != before {
		t.Fatalf("revision %d, want %d", fx.server.Revision(), before)
	}
	fx.awaitState(t)
}

// Guards against a follower that waits for ever on a watch whose history is gone, or whose
// revisions an operator's restore has raised.
func TestWatchWhoseHistoryIsGone(t *testing.T) {
	for name, disrupt := range map[string]func(*fixture){
		"compacted during an outage": func(fx *fixture) {
			fx.server.SetFaults(standin.StoreFaults{AbortCalls: true})
			time.Sleep(20 * time.Millisecond)
			fx.server.SetFaults(standin.StoreFaults{})
			fx.put(t, "a", "1")
			fx.put(t, "a", "2")
			fx.server.Compact(fx.server.Revision())
		},
		"restored with a bumped revision": func(fx *fixture) {
			copied := fx.server.Copy()
			fx.put(t, "a", "lost")
			fx.server.Restore(copied, standin.RestoreOptions{BumpRevision: 1_000_000, MarkCompacted: true})
		},
	} {
		t.Run(name, func(t *testing.T) {
			fx := newFixture()
			defer fx.stop()
			fx.put(t, "base", "0")
			fx.awaitState(t)
			disrupt(fx)
			fx.awaitState(t)
			fx.put(t, "later", "1")
			fx.awaitState(t)
		})
	}
}

// holdingTransport holds the next response back until released is closed.
type holdingTransport struct {
	isUsed         atomic.Bool
	held, released chan struct{}
}

// RoundTrip implements http.RoundTripper.
func (h *holdingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := http.DefaultTransport.RoundTrip(r)
	if h.isUsed.CompareAndSwap(false, true) {
		close(h.held)
		<-h.released
	}
	return resp, err
}

// Guards against a response that was sent before a restore and passes for a later state, or
// for a restore back.
func TestSlowResponseFromBeforeARestore(t *testing.T) {
	for _, isNew := range []bool{true, false} {
		t.Run(fmt.Sprintf("new cluster %v", isNew), func(t *testing.T) {
			fx := newFixture()
			defer fx.stop()
			copied := fx.server.Copy()
			fx.put(t, "a", "lost")
			hold := &holdingTransport{held: make(chan struct{}), released: make(chan struct{})}
			store := kvstore.NewEtcdStore(fx.url, &http.Client{Transport: hold}, waitTimeout)
			read := func() kvstore.Position {
				_, position, err := store.Range(context.Background(), prefix)
				if err != nil {
					t.Errorf("range: %v", err)
				}
				return position
			}
			slow := make(chan kvstore.Position, 1)
			go func() { slow <- read() }()
			<-hold.held
			first := read()
			fx.server.Restore(copied, standin.RestoreOptions{NewCluster: isNew})
			restored := read()
			close(hold.released)
			if late := <-slow; late.Era != first.Era || !late.Before(restored) {
				t.Errorf("the slow response is at %+v, the restored state at %+v", late, restored)
			}
			if now := read(); now != restored || store.Era() != restored.Era {
				t.Errorf("at %+v in era %d, want %+v", now, store.Era(), restored)
			}
		})
	}
}

// Guards against a transaction that rests on a revision or a lease of before a restore and
// counts as applied, because both are given out again.
func TestTransactionAcrossARestore(t *testing.T) {
	ctx := context.Background()
	for _, op := range []kvstore.Txn{
		{Compares: []kvstore.Compare{{Key: prefix + "a", ModRevision: 2}}, Ops: []kvstore.Op{{Key: prefix + "a", Value: []byte("late")}}},
		{Ops: []kvstore.Op{{Key: prefix + "a", Value: []byte("late"), Lease: 1}}},
	} {
		for _, isKnown := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d compares, known %v", len(op.Compares), isKnown), func(t *testing.T) {
				fx := newFixture()
				defer fx.stop()
				copied := fx.server.Copy()
				store := kvstore.NewEtcdStore(fx.url, &http.Client{Transport: &http.Transport{}}, time.Second)
				fx.put(t, "a", "lost")
				if _, err := fx.writer.Grant(ctx, time.Minute); err != nil {
					t.Fatal(err)
				}
				if _, err := store.Get(ctx, prefix+"a"); err != nil {
					t.Fatal(err)
				}
				op.Era = store.Era()
				fx.server.Restore(copied, standin.RestoreOptions{NewCluster: true})
				fx.connectWriter()
				fx.put(t, "a", "other")
				if _, err := fx.writer.Grant(ctx, time.Minute); err != nil {
					t.Fatal(err)
				}
				if isKnown {
					_, _ = store.Get(ctx, prefix+"a")
				}
				if _, err := store.Commit(ctx, op); !errors.Is(err, kvstore.ErrRestored) {
					t.Fatalf("err %v, want ErrRestored", err)
				}
				kv, err := store.Get(ctx, prefix+"a")
				if err != nil || (isKnown && string(kv.Value) != "other") {
					t.Fatalf("the key is %+v, err %v", kv, err)
				}
			})
		}
	}
}

// Guards against a transaction from before a restore that counts as applied because another
// response, which shows the restore, has overtaken its own.
func TestTransactionThatIsOvertakenByARestore(t *testing.T) {
	ctx := context.Background()
	fx := newFixture()
	defer fx.stop()
	copied := fx.server.Copy()
	fx.put(t, "a", "lost")
	hold := &holdingTransport{held: make(chan struct{}), released: make(chan struct{})}
	hold.isUsed.Store(true)
	store := kvstore.NewEtcdStore(fx.url, &http.Client{Transport: hold}, waitTimeout)
	kv, err := store.Get(ctx, prefix+"a")
	if err != nil {
		t.Fatal(err)
	}
	txn := kvstore.Txn{Era: store.Era(), Compares: []kvstore.Compare{{Key: kv.Key, ModRevision: kv.ModRevision}}, Ops: []kvstore.Op{{Key: kv.Key, Value: []byte("late")}}}
	hold.isUsed.Store(false)
	outcome := make(chan error, 1)
	go func() {
		_, err := store.Commit(ctx, txn)
		outcome <- err
	}()
	<-hold.held
	fx.server.Restore(copied, standin.RestoreOptions{NewCluster: true})
	if _, err := store.Get(ctx, kv.Key); err != nil {
		t.Fatal(err)
	}
	close(hold.released)
	if err := <-outcome; !errors.Is(err, kvstore.ErrRestored) {
		t.Fatalf("err %v, want ErrRestored", err)
	}
}

// Guards against a follower that returns to an older state, or ends on another one than the
// store's, when the store goes back at random moments.
func TestFollowerThroughRandomRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fx := newFixture()
		defer fx.stop()
		copies := []*standin.StoreCopy{fx.server.Copy()}
		restores := 0
		for step := range rapid.IntRange(4, 24).Draw(t, "steps") {
			switch action := rapid.IntRange(0, 9).Draw(t, "action"); {
			case action < 6:
				fx.put(t, fmt.Sprintf("%d", rapid.IntRange(0, 2).Draw(t, "key")), fmt.Sprint(step))
			case action < 7:
				copies = append(copies, fx.server.Copy())
			case action < 8 && restores < 3:
				restores++
				copied := copies[rapid.IntRange(0, len(copies)-1).Draw(t, "copy")]
				// With the same ID, only a lower revision shows a restore.
				isNew := rapid.Bool().Draw(t, "new cluster") || copied.Revision() >= fx.server.Revision()
				if !isNew {
					// What the follower does not know can't make it recognise the restore.
					fx.awaitState(t)
				}
				fx.server.Restore(copied, standin.RestoreOptions{NewCluster: isNew, MarkCompacted: rapid.Bool().Draw(t, "compacted")})
				fx.connectWriter()
				if !isNew {
					fx.awaitState(t)
				}
			case action < 9:
				fx.awaitState(t)
			default:
				fx.server.Compact(fx.server.Revision() - rapid.Int64Range(0, 2).Draw(t, "kept"))
			}
		}
		fx.put(t, "last", "1")
		fx.awaitState(t)
		if fx.recorder.decreased != nil {
			t.Fatalf("the follower went from %+v back to %+v", fx.recorder.decreased[0], fx.recorder.decreased[1])
		}
	})
}
