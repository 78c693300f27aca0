package registry

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/smartystreets/goconvey/convey"

	"github.com/quetzalglade/quetzalglade/kvstore"
)

// decode parses "service,state,start" as a record. The number of characters of
// the last field is the start time.
func decode(key string, value []byte) (Record, error) {
	fields := strings.Split(string(value), ",")
	if len(fields) != 3 {
		return Record{}, errors.New("malformed record")
	}
	r := Record{ID: key, Service: fields[0], StartMillis: int64(len(fields[2]))}
	if fields[1] == "draining" {
		r.State = Draining
	}
	return r, nil
}

// newTestKeeper returns a running keeper and its fake time. Only the goroutine of
// the keeper may change the time.
func newTestKeeper(t *testing.T) (*Keeper, *time.Time) {
	t.Helper()
	k := NewKeeper(decode, log.NewNopLogger())
	fakeNow := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	k.now = func() time.Time { return fakeNow }
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = k.Serve(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return k, &fakeNow
}

func kv(key, value string) kvstore.KV { return kvstore.KV{Key: key, Value: []byte(value)} }

// flush waits until the snapshot contains all earlier updates.
func (k *Keeper) flush() {
	done := make(chan struct{})
	k.updates <- func() {}
	k.updates <- func() { close(done) }
	<-done
}

func readyCount(k *Keeper) int { return len(k.Snapshot().Ready("s")) }

// TestKeeper guards against targets that receive work although they leave, and
// against the loss of live targets whose store entries expire in an outage of the
// store.
func TestKeeper(t *testing.T) {
	convey.Convey("A draining target does not become ready again, but a new incarnation does", t, func() {
		k, _ := newTestKeeper(t)
		k.Reset([]kvstore.KV{kv("a", "s,ready,1"), kv("b", "s,ready,1"), kv("junk", "?")}, kvstore.Position{Revision: 5})
		k.flush()
		convey.So(readyCount(k), convey.ShouldEqual, 2)
		a := k.Snapshot().Target("a")
		k.Apply(kvstore.WatchBatch{Revision: 6, Events: []kvstore.Event{{KV: kv("a", "s,draining,1")}}})
		k.Apply(kvstore.WatchBatch{Revision: 7, Events: []kvstore.Event{{KV: kv("a", "s,ready,1")}}})
		k.flush()
		convey.So(readyCount(k), convey.ShouldEqual, 1)
		convey.So(a.Load.IsLeaving(), convey.ShouldBeTrue)
		k.Apply(kvstore.WatchBatch{Revision: 8, Events: []kvstore.Event{{KV: kv("a", "s,ready,22")}}})
		k.flush()
		convey.So(readyCount(k), convey.ShouldEqual, 2)
		convey.So(k.Snapshot().Target("a").Load, convey.ShouldNotEqual, a.Load)
	})
	convey.Convey("A target whose entry is removed is removed at once while the store is available", t, func() {
		k, _ := newTestKeeper(t)
		k.Reset([]kvstore.KV{kv("a", "s,ready,1")}, kvstore.Position{Revision: 5})
		k.flush()
		a := k.Snapshot().Target("a")
		k.Apply(kvstore.WatchBatch{Revision: 6, Events: []kvstore.Event{{KV: kv("a", ""), Deleted: true}}})
		k.flush()
		convey.So(readyCount(k), convey.ShouldEqual, 0)
		convey.So(a.Load.IsLeaving(), convey.ShouldBeTrue)
	})
	convey.Convey("Targets whose entries expired in an outage are kept for recoveryGrace after it", t, func() {
		k, fakeNow := newTestKeeper(t)
		k.Reset([]kvstore.KV{kv("a", "s,ready,1"), kv("b", "s,ready,1")}, kvstore.Position{Revision: 5})
		k.Disconnected(errors.New("down"))
		k.flush()
		convey.So(readyCount(k), convey.ShouldEqual, 2)
		k.Reset(nil, kvstore.Position{Revision: 9})
		k.flush()
		convey.So(readyCount(k), convey.ShouldEqual, 2)
		k.Apply(kvstore.WatchBatch{Revision: 10, Events: []kvstore.Event{{KV: kv("a", "s,ready,1")}}})
		k.updates <- func() { *fakeNow = fakeNow.Add(recoveryGrace) }
		k.updates <- k.removeMissing
		k.flush()
		convey.So(readyCount(k), convey.ShouldEqual, 1)
		convey.So(k.Snapshot().Target("b"), convey.ShouldBeNil)
	})
	convey.Convey("MarkLeaving marks a target only if the given start time matches", t, func() {
		k, _ := newTestKeeper(t)
		k.Reset([]kvstore.KV{kv("a", "s,ready,1")}, kvstore.Position{Revision: 5})
		k.MarkLeaving("a", 7, "another incarnation")
		k.flush()
		convey.So(readyCount(k), convey.ShouldEqual, 1)
		k.MarkLeaving("a", 1, "load report")
		k.flush()
		convey.So(readyCount(k), convey.ShouldEqual, 0)
	})
}

// TestDispatchedSince guards against work that neither a load report nor
// DispatchedSince counts: a report does not contain dispatches that were on their
// way to the engine when it was made.
func TestDispatchedSince(t *testing.T) {
	convey.Convey("DispatchedSince sums the work dispatched since the given time", t, func() {
		load := newLoad()
		start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		for i := range 4 {
			load.RecordDispatch(Dispatch{At: start.Add(time.Duration(i) * 100 * time.Millisecond), PromptTokens: 10, KVTokens: 20})
		}
		load.RecordDispatch(Dispatch{At: start.Add(400 * time.Millisecond), KVTokens: 5})
		requests, promptTokens, kvTokens := load.DispatchedSince(start.Add(200 * time.Millisecond))
		convey.So([]int{requests, promptTokens, kvTokens}, convey.ShouldResemble, []int{2, 20, 45})
	})
}
