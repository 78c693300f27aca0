package feed

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/smartystreets/goconvey/convey"

	"github.com/quetzalglade/quetzalglade/kvstore"
)

// fakeStore is a store in memory that can turn its caller away.
type fakeStore struct {
	kvstore.Store
	mu      sync.Mutex
	refuse  bool
	items   map[string]kvstore.KV
	rev     int64
	changed chan struct{}
	reads   int
}

func newFakeStore() *fakeStore {
	return &fakeStore{items: map[string]kvstore.KV{}, changed: make(chan struct{})}
}

var errTurnedAway = errors.New("turned away")

func (s *fakeStore) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.items[key] = kvstore.KV{Key: key, Value: []byte(value), ModRevision: s.rev}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) setRefuse(refuse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuse = refuse
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) Range(_ context.Context, prefix string) ([]kvstore.KV, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.refuse {
		return nil, 0, errTurnedAway
	}
	var out []kvstore.KV
	for key, kv := range s.items {
		if strings.HasPrefix(key, prefix) {
			out = append(out, kv)
		}
	}
	return out, s.rev, nil
}

func (s *fakeStore) Watch(ctx context.Context, prefix string, from int64) <-chan kvstore.WatchBatch {
	out := make(chan kvstore.WatchBatch)
	go func() {
		defer close(out)
		for ctx.Err() == nil {
			batch, changed := s.poll(prefix, from)
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
			from = max(from, batch.Revision+1)
		}
	}()
	return out
}

func (s *fakeStore) poll(prefix string, from int64) (kvstore.WatchBatch, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.refuse {
		return kvstore.WatchBatch{Err: errTurnedAway}, s.changed
	}
	batch := kvstore.WatchBatch{Revision: s.rev}
	for key, kv := range s.items {
		if strings.HasPrefix(key, prefix) && kv.ModRevision >= from {
			batch.Events = append(batch.Events, kvstore.Event{KV: kv})
		}
	}
	return batch, s.changed
}

// record keeps the newest value of each key and whether a revision went back.
type record struct {
	mu     sync.Mutex
	values map[string]string
	last   int64
	back   bool
}

func (r *record) Reset(kvs []kvstore.KV, revision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.values = map[string]string{}
	for _, kv := range kvs {
		r.values[kv.Key] = string(kv.Value)
	}
	r.back = r.back || revision < r.last
	r.last = revision
}

func (r *record) Apply(batch kvstore.WatchBatch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range batch.Events {
		r.values[e.KV.Key] = string(e.KV.Value)
	}
	r.last = max(r.last, batch.Revision)
}

func (r *record) Lost(error) {}

func (r *record) value(key string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.values[key]
}

// fixed are members that do not change.
type fixed struct {
	leader *Member
	others []Member
}

func (f fixed) Leader() *Member  { return f.leader }
func (f fixed) Others() []Member { return f.others }

// node is a process that follows the store through the feed.
type node struct {
	member Member
	store  *fakeStore
	record *record
	server *httptest.Server
}

func startNode(t *testing.T, store *fakeStore, name string, members func() Members) *node {
	t.Helper()
	n := &node{store: store, record: &record{}}
	hub := NewHub()
	hub.Subscribe("config/", n.record)
	n.server = httptest.NewServer(hub.Handler())
	n.member = Member{Name: name, Region: "r", Addr: n.server.Listener.Addr().String()}
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() {
		kvstore.Follow(ctx, NewSource(store, hub, members(), &http.Client{}, log.NewNopLogger()), "", hub)
	})
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
	t.Fatalf("it did not come about that %s", what)
}

// twin lets two nodes have stores of their own with the same content, so that
// one can be turned away.
func twin(s *fakeStore) *fakeStore {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := newFakeStore()
	c.rev = s.rev
	for key, kv := range s.items {
		c.items[key] = kv
	}
	return c
}

func TestFollowersReadTheLeader(t *testing.T) {
	convey.Convey("A follower learns of changes without asking the store again", t, func() {
		store := newFakeStore()
		store.put("config/current", "1")
		leader := startNode(t, store, "leader", func() Members { return fixed{} })
		own := twin(store)
		follower := startNode(t, own, "follower", func() Members { return fixed{leader: &leader.member, others: []Member{leader.member}} })
		eventually(t, "both know the first version", func() bool {
			return leader.record.value("config/current") == "1" && follower.record.value("config/current") == "1"
		})
		for i := 2; i < 6; i++ {
			version := fmt.Sprint(i)
			store.put("config/current", version)
			eventually(t, "the follower learns version "+version, func() bool { return follower.record.value("config/current") == version })
		}
		own.mu.Lock()
		convey.So(own.reads, convey.ShouldEqual, 0)
		own.mu.Unlock()
		convey.So(follower.record.back, convey.ShouldBeFalse)
	})
}

func TestProcessTurnedAwayLearnsFromOthers(t *testing.T) {
	convey.Convey("A leader that the store turns away reads another process", t, func() {
		store := newFakeStore()
		store.put("config/current", "1")
		other := startNode(t, store, "other", func() Members { return fixed{} })
		own := twin(store)
		away := startNode(t, own, "away", func() Members { return fixed{others: []Member{other.member}} })
		eventually(t, "both know the first version", func() bool {
			return other.record.value("config/current") == "1" && away.record.value("config/current") == "1"
		})
		own.setRefuse(true)
		store.put("config/current", "2")
		eventually(t, "the change comes by the other", func() bool { return away.record.value("config/current") == "2" })
	})
}

func TestNewsThatNobodyHearsFromTheStoreGrowOld(t *testing.T) {
	convey.Convey("Two processes that read each other do not take that for fresh", t, func() {
		hub := NewHub()
		hub.Subscribe("config/", &record{values: map[string]string{}})
		hub.Reset(nil, 7)
		hub.lag.Store(int64(5 * time.Second))
		hub.Apply(kvstore.WatchBatch{Revision: 7})
		server := httptest.NewServer(hub.Handler())
		defer server.Close()
		hub.mu.Lock()
		hub.heard = time.Now().Add(-5 * time.Second)
		hub.mu.Unlock()
		s := NewSource(newFakeStore(), NewHub(), fixed{}, &http.Client{}, log.NewNopLogger())
		var m Message
		err := s.ask(context.Background(), server.Listener.Addr().String(), PathList, &m)
		convey.So(err, convey.ShouldNotBeNil)
		convey.So(m.age(), convey.ShouldBeGreaterThan, maxAge)
	})
}

func TestLeaderFollowsTheMembers(t *testing.T) {
	convey.Convey("All processes of a region agree on their leader", t, func() {
		names := []string{"a", "b", "c", "d", "e"}
		leaders := map[string]int{}
		for _, self := range names {
			r := NewRegistry(Member{Name: self, Region: "north", Addr: "x:1"}, nil, log.NewNopLogger())
			var kvs []kvstore.KV
			for _, n := range names {
				kvs = append(kvs, kvstore.KV{Key: MemberPrefix + n, Value: []byte(`{"name":"` + n + `","region":"north","addr":"x:1"}`)})
			}
			kvs = append(kvs, kvstore.KV{Key: MemberPrefix + "far", Value: []byte(`{"name":"far","region":"south","addr":"x:1"}`)})
			r.Reset(kvs, 1)
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
