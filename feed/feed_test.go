package feed

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/smartystreets/goconvey/convey"

	"github.com/quetzalglade/quetzalglade/kvstore"
)

// fakeStore is an in-memory store that can reject reads.
type fakeStore struct {
	kvstore.Store
	mu          sync.Mutex
	rejectReads bool
	items       map[string]kvstore.KV
	position    kvstore.Position
	changed     chan struct{}
	// reads counts the calls of Range and the polls of watches, probes those of Get.
	reads  int
	probes int
}

func newFakeStore() *fakeStore {
	return &fakeStore{items: map[string]kvstore.KV{}, changed: make(chan struct{})}
}

var errRejected = errors.New("read rejected")

func (s *fakeStore) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.position.Revision++
	s.items[key] = kvstore.KV{Key: key, Value: []byte(value), ModRevision: s.position.Revision}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) setRejectReads(rejectReads bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejectReads = rejectReads
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) Era() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.position.Era
}

func (s *fakeStore) Range(_ context.Context, prefix string) ([]kvstore.KV, kvstore.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.rejectReads {
		return nil, kvstore.Position{}, errRejected
	}
	var out []kvstore.KV
	for key, kv := range s.items {
		if strings.HasPrefix(key, prefix) {
			out = append(out, kv)
		}
	}
	return out, s.position, nil
}

func (s *fakeStore) Get(_ context.Context, key string) (*kvstore.KV, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probes++
	if s.rejectReads {
		return nil, errRejected
	}
	kv, ok := s.items[key]
	if !ok {
		return nil, nil
	}
	return &kv, nil
}

func (s *fakeStore) Watch(ctx context.Context, prefix string, after kvstore.Position) <-chan kvstore.WatchBatch {
	out := make(chan kvstore.WatchBatch)
	go func() {
		defer close(out)
		for ctx.Err() == nil {
			batch, changed := s.poll(prefix, after)
			if batch.Err == nil && len(batch.Events) == 0 {
				select {
				case <-changed:
					continue
				case <-time.After(50 * time.Millisecond):
				case <-ctx.Done():
					return
				}
			}
			select {
			case out <- batch:
			case <-ctx.Done():
				return
			}
			if batch.Err != nil {
				return
			}
			after = after.Later(batch.Position())
		}
	}()
	return out
}

func (s *fakeStore) poll(prefix string, after kvstore.Position) (kvstore.WatchBatch, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.rejectReads {
		return kvstore.WatchBatch{Err: errRejected}, s.changed
	}
	if err := kvstore.CheckEra(s.position.Era, after.Era); err != nil {
		return kvstore.WatchBatch{Err: err}, s.changed
	}
	batch := kvstore.WatchBatch{Era: s.position.Era, Revision: s.position.Revision}
	for key, kv := range s.items {
		if strings.HasPrefix(key, prefix) && kv.ModRevision > after.Revision {
			batch.Events = append(batch.Events, kvstore.Event{KV: kv})
		}
	}
	return batch, s.changed
}

// recorder keeps the latest value of each key and whether a call of Reset decreased
// the position.
type recorder struct {
	mu           sync.Mutex
	values       map[string]string
	lastPosition kvstore.Position
	decreased    bool
}

func (r *recorder) Reset(kvs []kvstore.KV, position kvstore.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.values = map[string]string{}
	for _, kv := range kvs {
		r.values[kv.Key] = string(kv.Value)
	}
	r.decreased = r.decreased || position.Before(r.lastPosition)
	r.lastPosition = position
}

func (r *recorder) Apply(batch kvstore.WatchBatch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range batch.Events {
		r.values[e.KV.Key] = string(e.KV.Value)
	}
	r.decreased = r.decreased || batch.Era < r.lastPosition.Era
	r.lastPosition = r.lastPosition.Later(batch.Position())
}

func (r *recorder) Disconnected(error) {}

func (r *recorder) value(key string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.values[key]
}

// fixedMembers is a Members implementation with constant results.
type fixedMembers struct {
	name   string
	leader *Member
	others []Member
}

func (f fixedMembers) Name() string     { return f.name }
func (f fixedMembers) Leader() *Member  { return f.leader }
func (f fixedMembers) Others() []Member { return slices.Clone(f.others) }

// node is a process that follows the store through the feed.
type node struct {
	member   Member
	store    *fakeStore
	recorder *recorder
	source   *Source
	server   *httptest.Server
}

// startNode starts a process that reads the given store and members until the end
// of the test.
func startNode(t *testing.T, store *fakeStore, name string, members func() Members) *node {
	t.Helper()
	return startNodeWithClient(t, store, name, members, &http.Client{})
}

// startNodeWithClient does the same as startNode, and the process reads other processes
// through the given client.
func startNodeWithClient(t *testing.T, store *fakeStore, name string, members func() Members, client *http.Client) *node {
	t.Helper()
	n := &node{store: store, recorder: &recorder{}}
	hub := NewHub()
	hub.Subscribe("config/", n.recorder)
	n.server = httptest.NewServer(hub.Handler())
	n.member = Member{Name: name, Region: "r", Addr: n.server.Listener.Addr().String()}
	ctx, cancel := context.WithCancel(context.Background())
	n.source = NewSource(store, hub, members(), client, log.NewNopLogger())
	var done sync.WaitGroup
	done.Go(func() { kvstore.Follow(ctx, n.source, "", hub) })
	t.Cleanup(func() {
		cancel()
		n.server.CloseClientConnections()
		done.Wait()
		n.server.Close()
	})
	return n
}

func eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if cond() {
			return
		}
	}
	t.Fatalf("timed out waiting until %s", what)
}

// clone returns a store with the same content, so that a test can make reads
// fail for one process only.
func clone(s *fakeStore) *fakeStore {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := newFakeStore()
	copied.position = s.position
	for key, kv := range s.items {
		copied.items[key] = kv
	}
	return copied
}

// TestFollowerReadsLeader guards against followers that read the store besides
// the leader, so that the store's load grows with the fleet, and against followers
// that replace their state by one of a lower revision.
func TestFollowerReadsLeader(t *testing.T) {
	convey.Convey("A follower receives changes without reading the store", t, func() {
		store := newFakeStore()
		store.put("config/current", "1")
		leader := startNode(t, store, "leader", func() Members { return fixedMembers{} })
		// A follower reads the store if its leader has no state yet.
		eventually(t, "the leader has the first version", func() bool { return leader.recorder.value("config/current") == "1" })
		followerStore := clone(store)
		follower := startNode(t, followerStore, "follower", func() Members { return fixedMembers{leader: &leader.member, others: []Member{leader.member}} })
		eventually(t, "the follower has the first version", func() bool { return follower.recorder.value("config/current") == "1" })
		for i := 2; i < 6; i++ {
			version := fmt.Sprint(i)
			store.put("config/current", version)
			eventually(t, "the follower has version "+version, func() bool { return follower.recorder.value("config/current") == version })
		}
		followerStore.mu.Lock()
		convey.So(followerStore.reads, convey.ShouldEqual, 0)
		followerStore.mu.Unlock()
		convey.So(follower.recorder.decreased, convey.ShouldBeFalse)
	})
}

// TestRejectedLeaderReadsAnotherProcess guards against a leader that misses changes
// because it has no upstream but the store, which rejects its reads.
func TestRejectedLeaderReadsAnotherProcess(t *testing.T) {
	convey.Convey("A leader whose reads the store rejects reads from another process", t, func() {
		store := newFakeStore()
		store.put("config/current", "1")
		other := startNode(t, store, "other", func() Members { return fixedMembers{} })
		leaderStore := clone(store)
		rejected := startNode(t, leaderStore, "rejected", func() Members { return fixedMembers{others: []Member{other.member}} })
		eventually(t, "both processes have the first version", func() bool {
			return other.recorder.value("config/current") == "1" && rejected.recorder.value("config/current") == "1"
		})
		leaderStore.setRejectReads(true)
		store.put("config/current", "2")
		eventually(t, "the change arrives through the other process", func() bool { return rejected.recorder.value("config/current") == "2" })
	})
}

// TestStaleStateIsRejected guards against processes that read from each other and
// assume that their state is current although none of them reaches the store.
func TestStaleStateIsRejected(t *testing.T) {
	convey.Convey("A state that was not read from the store recently is rejected as stale", t, func() {
		hub := NewHub()
		hub.Subscribe("config/", &recorder{values: map[string]string{}})
		hub.Reset(nil, kvstore.Position{Revision: 7})
		hub.lag.Store(int64(5 * time.Second))
		hub.Apply(kvstore.WatchBatch{Revision: 7})
		server := httptest.NewServer(hub.Handler())
		defer server.Close()
		hub.mu.Lock()
		hub.syncedAt = time.Now().Add(-5 * time.Second)
		hub.mu.Unlock()
		s := NewSource(newFakeStore(), NewHub(), fixedMembers{}, &http.Client{}, log.NewNopLogger())
		var response Response
		err := s.fetch(context.Background(), upstream{&Member{Addr: server.Listener.Addr().String()}}, PathList, headerTimeout, &response)
		convey.So(err, convey.ShouldNotBeNil)
		convey.So(response.age(), convey.ShouldBeGreaterThan, maxStateAge)
	})
}

// TestReaderRejectsItsOwnState guards against a process that reads its own state back from
// one of its readers, so that it and all its readers count it as current although none
// of them reads the store.
func TestReaderRejectsItsOwnState(t *testing.T) {
	convey.Convey("A state that came through the reader fails, another one does not", t, func() {
		hub := NewHub()
		hub.Reset(nil, kvstore.Position{Revision: 7})
		server := httptest.NewServer(hub.Handler())
		defer server.Close()
		u := upstream{&Member{Name: "upstream", Addr: server.Listener.Addr().String()}}
		s := NewSource(newFakeStore(), NewHub(), fixedMembers{name: "reader"}, &http.Client{}, log.NewNopLogger())
		for _, path := range []string{PathList, watchPath(kvstore.Position{Revision: 7}, 0)} {
			hub.setVia([]string{"leader"})
			convey.So(s.fetch(context.Background(), u, path, headerTimeout, &Response{}), convey.ShouldBeNil)
			hub.setVia([]string{"leader", "reader"})
			convey.So(s.fetch(context.Background(), u, path, headerTimeout, &Response{}), convey.ShouldEqual, errLoop)
		}
	})
}

// TestFailedStoreIsProbed guards against a process that does not receive changes while it
// tries a failed store again, although another process has them.
func TestFailedStoreIsProbed(t *testing.T) {
	convey.Convey("A failed store is probed, and read only after a probe succeeded", t, func() {
		store := newFakeStore()
		store.put("config/current", "1")
		// If all sources have failed, the one that failed first is read again. So the other processes
		// have states before, and are several: a late response counts as a failure.
		var others []Member
		for _, name := range []string{"a", "b", "c"} {
			other := startNode(t, store, name, func() Members { return fixedMembers{name: name} })
			eventually(t, "process "+name+" has the first version", func() bool { return other.recorder.value("config/current") == "1" })
			others = append(others, other.member)
		}
		rejecting := clone(store)
		rejecting.setRejectReads(true)
		n := startNode(t, rejecting, "n", func() Members { return fixedMembers{name: "n", others: others} })
		probes := func() int {
			rejecting.mu.Lock()
			defer rejecting.mu.Unlock()
			return rejecting.probes
		}
		eventually(t, "two probes failed", func() bool { return probes() >= 2 })
		convey.So(n.recorder.value("config/current"), convey.ShouldEqual, "1")
		rejecting.mu.Lock()
		convey.So(rejecting.reads, convey.ShouldEqual, 1)
		rejecting.mu.Unlock()
		rejecting.setRejectReads(false)
		eventually(t, "the store is read again", func() bool {
			current, _ := n.source.Current()
			return current == "store"
		})
	})
}

// TestProcessesAgreeOnLeader guards against several leaders in a region, which
// would all read the store.
func TestProcessesAgreeOnLeader(t *testing.T) {
	convey.Convey("All processes of a region agree on their leader", t, func() {
		names := []string{"a", "b", "c", "d", "e"}
		leaders := map[string]int{}
		for _, self := range names {
			r := NewMemberRegistry(Member{Name: self, Region: "north", Addr: "10.0.0.1:1"}, nil, log.NewNopLogger())
			var kvs []kvstore.KV
			for _, n := range names {
				kvs = append(kvs, kvstore.KV{Key: MemberPrefix + n, Value: []byte(`{"name":"` + n + `","region":"north","addr":"10.0.0.1:1"}`)})
			}
			kvs = append(kvs, kvstore.KV{Key: MemberPrefix + "far", Value: []byte(`{"name":"far","region":"south","addr":"10.0.0.1:1"}`)})
			r.Reset(kvs, kvstore.Position{Revision: 1})
			leader := self
			if l := r.Leader(); l != nil {
				leader = l.Name
			}
			leaders[leader]++
			convey.So(r.Count(), convey.ShouldEqual, len(names)+1)
		}
		convey.So(len(leaders), convey.ShouldEqual, 1)
	})
}
