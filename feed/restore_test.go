package feed

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"

	"github.com/go-kit/log"
	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/quetzalglade/quetzalglade/kvstore"
)

// handlers responds to requests by the host of their URL, without a network.
type handlers map[string]http.Handler

// RoundTrip implements http.RoundTripper.
func (h handlers) RoundTrip(r *http.Request) (*http.Response, error) {
	recorded := httptest.NewRecorder()
	h[r.URL.Host].ServeHTTP(recorded, r)
	return recorded.Result(), nil
}

// restore returns the store to a copy and begins a new era.
func (s *fakeStore) restore(c *fakeStore) {
	s.mu.Lock()
	defer s.mu.Unlock()
	era := s.position.Era + 1
	s.items, s.position = maps.Clone(c.items), c.position
	s.position.Era = era
}

// values returns the keys and values of the store.
func values(items map[string]kvstore.KV) string {
	var out []string
	for key, kv := range items {
		out = append(out, fmt.Sprintf("%s=%s@%d", key, kv.Value, kv.ModRevision))
	}
	slices.Sort(out)
	return fmt.Sprint(out)
}

// reader is a process whose reads a test makes one by one.
type reader struct {
	member Member
	hub    *Hub
	source *Source
}

// read reads once from an upstream: the changes since the reader's state, or all keys if it
// has none or the upstream asks for it.
func (r *reader) read(ctx context.Context, u upstream) {
	if r.hub.Position() != (kvstore.Position{}) {
		out := make(chan kvstore.WatchBatch, 1)
		after, failures := r.hub.Position(), 0
		var err error
		if u.member == nil {
			batch, _ := r.source.Store.(*fakeStore).poll("", after)
			err = batch.Err
			out <- batch
		} else {
			r.source.current = ""
			err = r.source.watchMember(ctx, u, &after, out, &failures)
		}
		if err == nil {
			r.hub.Apply(<-out)
		}
		if !kvstore.MustList(err) {
			return
		}
	}
	kvs, position, _, _, err := r.source.list(ctx, u, "")
	if err == nil && r.source.checkPosition(position) == nil {
		r.hub.Reset(kvs, position)
	}
}

// TestNoStateOutlivesARestore guards against a process that returns to a state from before a
// restore of the store, keeps one, or takes two states with the same revision for one, whichever
// way the processes read from the store and from each other.
func TestNoStateOutlivesARestore(t *testing.T) {
	ctx := context.Background()
	rapid.Check(t, func(t *rapid.T) {
		store := newFakeStore()
		network := handlers{}
		var readers []*reader
		for i := range 3 {
			r := &reader{member: Member{Name: fmt.Sprint("m", i), Addr: fmt.Sprintf("m%d:1", i)}, hub: NewHub()}
			r.hub.Subscribe("", &recorder{values: map[string]string{}})
			r.source = NewSource(store, r.hub, fixedMembers{name: r.member.Name}, &http.Client{Transport: network}, log.NewNopLogger())
			network[r.member.Addr] = r.hub.Handler()
			readers = append(readers, r)
		}
		store.put("k0", "first")
		copies := []*fakeStore{clone(store)}
		// states holds the state of the store at each position.
		states := map[kvstore.Position]string{store.position: values(store.items)}
		check := func(r *reader, before kvstore.Position) {
			position := r.hub.Position()
			if position.Before(before) {
				t.Fatalf("%s went from %+v back to %+v", r.member.Name, before, position)
			}
			if position == (kvstore.Position{}) {
				return
			}
			if got := values(r.hub.items); got != states[position] {
				t.Fatalf("%s has %s at %+v, want %s", r.member.Name, got, position, states[position])
			}
		}
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				store.put(fmt.Sprint("k", rapid.IntRange(0, 3).Draw(t, "key")), fmt.Sprint(step))
				states[store.position] = values(store.items)
			case 2:
				copies = append(copies, clone(store))
			case 3:
				store.restore(rapid.SampledFrom(copies).Draw(t, "copy"))
				states[store.position] = values(store.items)
			default:
				r := rapid.SampledFrom(readers).Draw(t, "reader")
				u := upstream{}
				if from := rapid.SampledFrom(readers).Draw(t, "from"); from != r && from.hub.Position() != (kvstore.Position{}) {
					u.member = &from.member
				}
				before := r.hub.Position()
				r.read(ctx, u)
				check(r, before)
			}
		}
		for _, r := range readers {
			before := r.hub.Position()
			r.read(ctx, upstream{})
			check(r, before)
			if r.hub.Position() != store.position {
				t.Fatalf("%s is at %+v, the store at %+v", r.member.Name, r.hub.Position(), store.position)
			}
		}
	})
}

// TestEarlierEraIsRefused guards against a process that reads from one that has not seen the
// restore yet, or whose answer was sent before it.
func TestEarlierEraIsRefused(t *testing.T) {
	convey.Convey("A state of an earlier era is refused, whatever its revision", t, func() {
		behind := NewHub()
		behind.Subscribe("", &recorder{values: map[string]string{}})
		behind.Reset(nil, kvstore.Position{Era: 1, Revision: 900})
		store := newFakeStore()
		store.position = kvstore.Position{Era: 2, Revision: 5}
		network := handlers{"behind:1": behind.Handler()}
		hub := NewHub()
		s := NewSource(store, hub, fixedMembers{name: "self"}, &http.Client{Transport: network}, log.NewNopLogger())
		u := upstream{&Member{Name: "behind", Addr: "behind:1"}}
		convey.Convey("by a process that knows the restore from its own state", func() {
			hub.Reset(nil, store.position)
			after, failures := hub.Position(), 0
			err := s.watchMember(context.Background(), u, &after, make(chan kvstore.WatchBatch, 1), &failures)
			convey.So(err, convey.ShouldNotBeNil)
			convey.So(kvstore.MustList(err), convey.ShouldBeFalse)
			convey.So(s.probeMember(context.Background(), u), convey.ShouldNotBeNil)
			_, position, _, _, err := s.list(context.Background(), u, "")
			convey.So(err, convey.ShouldBeNil)
			convey.So(s.checkPosition(position), convey.ShouldNotBeNil)
		})
		convey.Convey("by a process that has no state and knows the restore from the store", func() {
			_, position, _, _, err := s.list(context.Background(), u, "")
			convey.So(err, convey.ShouldBeNil)
			convey.So(s.checkPosition(position), convey.ShouldNotBeNil)
		})
		convey.Convey("A batch of another era changes nothing", func() {
			hub.Reset(nil, store.position)
			hub.Apply(kvstore.WatchBatch{Era: 1, Revision: 901, Events: []kvstore.Event{{KV: kvstore.KV{Key: "k", ModRevision: 901}}}})
			convey.So(hub.Position(), convey.ShouldResemble, store.position)
		})
	})
}

// TestRequestsWithoutAnEra guards against processes of an earlier version, which state no era and
// would list all keys again and again.
func TestRequestsWithoutAnEra(t *testing.T) {
	convey.Convey("A watch request without an era is of the hub's, one with an invalid era fails", t, func() {
		hub := NewHub()
		hub.Reset(nil, kvstore.Position{Era: 2, Revision: 5})
		status := func(query string) int {
			recorded := httptest.NewRecorder()
			hub.Handler().ServeHTTP(recorded, httptest.NewRequest(http.MethodGet, PathWatch+"?wait_ms=0&"+query, nil))
			return recorded.Code
		}
		convey.So(status("after=5"), convey.ShouldEqual, http.StatusOK)
		convey.So(status("after=5&era=2"), convey.ShouldEqual, http.StatusOK)
		convey.So(status("after=9&era=1"), convey.ShouldEqual, http.StatusGone)
		convey.So(status("after=5&era=x"), convey.ShouldEqual, http.StatusBadRequest)
	})
}

// TestMembersAreKeptAfterARestore guards against processes that take a larger share, or another
// leader, because a restore of the store has lost the registrations of others.
func TestMembersAreKeptAfterARestore(t *testing.T) {
	entry := func(name string) kvstore.KV {
		return kvstore.KV{Key: MemberPrefix + name, Value: []byte(`{"name":"` + name + `","region":"r","addr":"127.0.0.1:1"}`)}
	}
	convey.Convey("Missing processes are kept until they can have registered again, and only after a restore", t, func() {
		r := NewMemberRegistry(Member{Name: "a", Region: "r"}, nil, log.NewNopLogger())
		all := []kvstore.KV{entry("a"), entry("b"), entry("c")}
		r.Reset(all, kvstore.Position{Era: 1, Revision: 9})
		convey.So(r.Count(), convey.ShouldEqual, 3)
		r.Reset(all[:2], kvstore.Position{Era: 2, Revision: 5})
		convey.So(r.Count(), convey.ShouldEqual, 3)
		convey.So(r.restored, convey.ShouldHaveLength, 1)
		r.Reset(all[:2], kvstore.Position{Era: 2, Revision: 6})
		convey.So(r.Count(), convey.ShouldEqual, 3)
		r.keptUntil[MemberPrefix+"c"] = r.keptUntil[MemberPrefix+"c"].Add(-2 * leaseTTL)
		convey.So(r.Count(), convey.ShouldEqual, 2)
		r.Reset(all[:1], kvstore.Position{Era: 2, Revision: 7})
		convey.So(r.Count(), convey.ShouldEqual, 1)
	})
	convey.Convey("This process is not listed while its registration is missing", t, func() {
		r := NewMemberRegistry(Member{Name: "a", Region: "r"}, nil, log.NewNopLogger())
		r.Reset([]kvstore.KV{entry("a"), entry("b")}, kvstore.Position{Era: 1, Revision: 9})
		r.Reset([]kvstore.KV{entry("b")}, kvstore.Position{Era: 2, Revision: 9})
		convey.So(r.listedSince.IsZero(), convey.ShouldBeTrue)
	})
}
