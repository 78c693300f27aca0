package registry

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/quetzalglade/quetzalglade/kvstore"
)

// at returns an entry as of a revision.
func at(kv kvstore.KV, revision int64) kvstore.KV {
	kv.ModRevision = revision
	return kv
}

// isReady reports whether the target gets new work.
func isReady(k *Keeper, id string) bool {
	k.flush()
	for _, t := range k.Snapshot().Ready("s") {
		if t.ID == id {
			return true
		}
	}
	return false
}

// The positions before and after a restore.
var (
	before   = kvstore.Position{Era: 1, Revision: 20}
	restored = kvstore.Position{Era: 2, Revision: 10}
)

// put returns the write of an entry after the restore.
func put(revision int64, kv kvstore.KV) kvstore.WatchBatch {
	return kvstore.WatchBatch{Era: 2, Revision: revision, Events: []kvstore.Event{{KV: at(kv, revision)}}}
}

// deleted returns the removal of the target's entry.
func deleted(era, revision int64) kvstore.WatchBatch {
	return kvstore.WatchBatch{Era: era, Revision: revision, Events: []kvstore.Event{{KV: at(kv("a", ""), revision), Deleted: true}}}
}

// TestTargetsAfterARestore guards against a target that loses its work because a restore of the
// store has lost its entry.
func TestTargetsAfterARestore(t *testing.T) {
	convey.Convey("A target whose entry is missing keeps its work until it can have registered again", t, func() {
		k, now := newTestKeeper(t)
		k.Reset([]kvstore.KV{at(entry("ready", 1), 15)}, before)
		k.Reset(nil, restored)
		convey.So(isReady(k, "a"), convey.ShouldBeTrue)
		convey.So(k.Snapshot().Target("a").Load.IsLeaving(), convey.ShouldBeFalse)
		convey.Convey("and after that if it has", func() {
			k.Apply(put(11, entry("ready", 1)))
			k.updates <- func() { *now = now.Add(time.Minute); k.removeMissing() }
			convey.So(isReady(k, "a"), convey.ShouldBeTrue)
		})
		convey.Convey("and not after that if it has not", func() {
			k.updates <- func() { *now = now.Add(recoveryGrace); k.removeMissing() }
			convey.So(isReady(k, "a"), convey.ShouldBeFalse)
		})
	})
	convey.Convey("Without a restore, a target whose entry is missing has left", t, func() {
		k, _ := newTestKeeper(t)
		k.Reset([]kvstore.KV{at(entry("ready", 1), 15)}, before)
		k.Reset(nil, kvstore.Position{Era: 1, Revision: 21})
		convey.So(isReady(k, "a"), convey.ShouldBeFalse)
	})
	convey.Convey("An earlier incarnation that is back does not end the work of the later one", t, func() {
		k, _ := newTestKeeper(t)
		k.Reset([]kvstore.KV{at(entry("ready", 2), 15)}, before)
		k.Reset([]kvstore.KV{at(entry("ready", 1), 9)}, restored)
		convey.So(isReady(k, "a"), convey.ShouldBeTrue)
		convey.So(k.Snapshot().Target("a").StartMillis, convey.ShouldEqual, 2)
		convey.So(k.Snapshot().Target("a").Load.IsLeaving(), convey.ShouldBeFalse)
	})
	convey.Convey("A change with the revision of a lost one is seen", t, func() {
		k, _ := newTestKeeper(t)
		k.Reset([]kvstore.KV{at(entry("ready", 1), 11)}, before)
		k.Reset([]kvstore.KV{at(entry("ready", 1), 9)}, restored)
		k.Apply(put(11, entry("draining", 1)))
		convey.So(isReady(k, "a"), convey.ShouldBeFalse)
	})
}

// TestRemovedTargetsAfterARestore guards against a target that has left and gets work because a
// restore of the store has brought its entry back.
func TestRemovedTargetsAfterARestore(t *testing.T) {
	convey.Convey("A target that had been removed is not used because its entry is back", t, func() {
		k, now := newTestKeeper(t)
		k.Reset([]kvstore.KV{at(entry("ready", 1), 9)}, kvstore.Position{Era: 1, Revision: 9})
		k.Apply(deleted(1, 20))
		k.Reset([]kvstore.KV{at(entry("ready", 1), 9)}, restored)
		convey.So(isReady(k, "a"), convey.ShouldBeFalse)
		convey.Convey("also in a further list", func() {
			k.Reset([]kvstore.KV{at(entry("ready", 1), 9)}, kvstore.Position{Era: 2, Revision: 12})
			convey.So(isReady(k, "a"), convey.ShouldBeFalse)
		})
		convey.Convey("but once it writes its entry again", func() {
			k.Apply(put(11, entry("ready", 1)))
			convey.So(isReady(k, "a"), convey.ShouldBeTrue)
			k.Reset([]kvstore.KV{at(entry("ready", 1), 11)}, kvstore.Position{Era: 2, Revision: 12})
			convey.So(isReady(k, "a"), convey.ShouldBeTrue)
		})
		convey.Convey("or a later incarnation is registered", func() {
			k.Reset([]kvstore.KV{at(entry("ready", 2), 9)}, kvstore.Position{Era: 2, Revision: 12})
			convey.So(isReady(k, "a"), convey.ShouldBeTrue)
		})
		convey.Convey("or its entry has not been removed again in time", func() {
			k.updates <- func() { *now = now.Add(restoredEntryHold); k.releaseHeld() }
			convey.So(isReady(k, "a"), convey.ShouldBeTrue)
		})
		convey.Convey("and not if it has been removed again", func() {
			k.Apply(deleted(2, 11))
			k.updates <- func() { *now = now.Add(restoredEntryHold); k.releaseHeld() }
			convey.So(isReady(k, "a"), convey.ShouldBeFalse)
		})
	})
	convey.Convey("Nor one whose last write and removal were not seen", t, func() {
		k, now := newTestKeeper(t)
		k.Reset([]kvstore.KV{at(entry("ready", 1), 50)}, kvstore.Position{Era: 1, Revision: 55})
		k.updates <- func() { *now = now.Add(time.Minute) }
		k.Reset(nil, kvstore.Position{Era: 1, Revision: 90})
		convey.So(isReady(k, "a"), convey.ShouldBeFalse)
		k.Reset([]kvstore.KV{at(entry("ready", 1), 70)}, kvstore.Position{Era: 2, Revision: 75})
		convey.So(isReady(k, "a"), convey.ShouldBeFalse)
	})
	convey.Convey("One that was dropped after the restore is used once a list has its entry", t, func() {
		k, now := newTestKeeper(t)
		k.Reset([]kvstore.KV{at(entry("ready", 1), 240)}, kvstore.Position{Era: 1, Revision: 241})
		k.Reset(nil, kvstore.Position{Era: 2, Revision: 41})
		k.updates <- func() { *now = now.Add(recoveryGrace); k.removeMissing() }
		convey.So(isReady(k, "a"), convey.ShouldBeFalse)
		k.Reset([]kvstore.KV{at(entry("ready", 1), 60)}, kvstore.Position{Era: 2, Revision: 61})
		convey.So(isReady(k, "a"), convey.ShouldBeTrue)
	})
	convey.Convey("An entry from after the removal is used at once", t, func() {
		k, _ := newTestKeeper(t)
		k.Reset([]kvstore.KV{at(entry("ready", 1), 9)}, kvstore.Position{Era: 1, Revision: 9})
		k.Apply(deleted(1, 20))
		k.Reset([]kvstore.KV{at(entry("ready", 1), 22)}, kvstore.Position{Era: 2, Revision: 30})
		convey.So(isReady(k, "a"), convey.ShouldBeTrue)
	})
	convey.Convey("A target that had stated that it leaves stays out", t, func() {
		k, now := newTestKeeper(t)
		k.Reset([]kvstore.KV{at(entry("ready", 1), 9)}, kvstore.Position{Era: 1, Revision: 9})
		k.Apply(kvstore.WatchBatch{Era: 1, Revision: 20, Events: []kvstore.Event{{KV: at(entry("draining", 1), 20)}}})
		k.Reset([]kvstore.KV{at(entry("ready", 1), 9)}, restored)
		convey.So(isReady(k, "a"), convey.ShouldBeFalse)
		k.updates <- func() { *now = now.Add(restoredEntryHold); k.releaseHeld() }
		convey.So(isReady(k, "a"), convey.ShouldBeFalse)
	})
}

// TestWarmUpAfterARestore guards against a target that counts as cold for longer because a
// restore of the store has brought an older entry of it back, and against a warm-up time that
// is not taken from an entry with the revision of a lost one.
func TestWarmUpAfterARestore(t *testing.T) {
	convey.Convey("The warm-up time that is known stays until the entry is written again", t, func() {
		k, now := newTestKeeper(t)
		warmUp := map[string]time.Duration{"old": 9 * time.Second, "new": 2 * time.Second, "again": 5 * time.Second}
		k.decode = func(key string, value []byte) (Record, error) {
			return Record{ID: key, Service: "s", StartMillis: 1, WarmUp: warmUp[string(value)]}, nil
		}
		remaining := func() time.Duration {
			k.flush()
			return k.Snapshot().Target("a").ColdUntil(*now).Sub(*now)
		}
		k.Reset([]kvstore.KV{at(kv("a", "new"), 11)}, kvstore.Position{Era: 1, Revision: 11})
		convey.So(remaining(), convey.ShouldEqual, 2*time.Second)
		k.Reset([]kvstore.KV{at(kv("a", "old"), 9)}, kvstore.Position{Era: 2, Revision: 10})
		convey.So(remaining(), convey.ShouldEqual, 2*time.Second)
		k.Apply(kvstore.WatchBatch{Era: 2, Revision: 11, Events: []kvstore.Event{{KV: at(kv("a", "again"), 11)}}})
		convey.So(remaining(), convey.ShouldEqual, 5*time.Second)
	})
}

// restoringStore is the store's entry of one target, and the copies that it can return to. Each
// change is passed to a keeper.
type restoringStore struct {
	state  storeState
	copies []storeState
	keeper *Keeper
}

type storeState struct {
	position kvstore.Position
	entry    *kvstore.KV
}

// write writes the entry, or removes it if e is nil.
func (s *restoringStore) write(e *kvstore.KV) {
	s.state.position.Revision++
	position := s.state.position
	event := kvstore.Event{KV: at(kv("a", ""), position.Revision), Deleted: true}
	if e != nil {
		written := at(*e, position.Revision)
		e, event = &written, kvstore.Event{KV: written}
	}
	s.state.entry = e
	s.keeper.Apply(kvstore.WatchBatch{Era: position.Era, Revision: position.Revision, Events: []kvstore.Event{event}})
}

// restore returns the store to a copy.
func (s *restoringStore) restore(earlier storeState) {
	era := s.state.position.Era + 1
	s.state = earlier
	s.state.position.Era = era
	s.list()
}

func (s *restoringStore) list() {
	var kvs []kvstore.KV
	if s.state.entry != nil {
		kvs = append(kvs, *s.state.entry)
	}
	s.keeper.Reset(kvs, s.state.position)
}

// TestRestoresInAnyOrder guards against an order of restores, removals and registrations in
// which a departed target is ready, or a live one stays out for ever.
func TestRestoresInAnyOrder(t *testing.T) {
	const seeds, steps = 300, 30
	convey.Convey("In no order is a departed incarnation ready, and a live one always is in the end", t, func() {
		var violations []string
		for seed := range uint64(seeds) {
			k, now := newTestKeeper(t)
			rng := rand.New(rand.NewPCG(seed, 53))
			store := &restoringStore{state: storeState{position: kvstore.Position{Era: 1, Revision: 5}}, keeper: k}
			store.copies = []storeState{store.state}
			newest, departed := 1, 0
			var history []string
			write := func(state string) {
				e := entry(state, newest)
				store.write(&e)
			}
			store.list()
			for range steps {
				step := rng.IntN(8)
				history = append(history, fmt.Sprint(step))
				switch step {
				case 0, 1:
					write("ready")
				case 2:
					write("draining")
					departed = newest
				case 3:
					store.write(nil)
				case 4:
					store.copies = append(store.copies, store.state)
				case 5:
					store.restore(store.copies[rng.IntN(len(store.copies))])
				case 6:
					newest++
				case 7:
					k.updates <- func() { *now = now.Add(time.Second) }
				}
				k.flush()
				if target := k.Snapshot().Target("a"); target != nil && readyCount(k) > 0 && int(target.StartMillis) <= departed {
					violations = append(violations, fmt.Sprintf("seed %d: incarnation %d ready after the departure of %d: %s", seed, target.StartMillis, departed, strings.Join(history, " ")))
				}
			}
			newest++
			write("ready")
			if !isReady(k, "a") {
				violations = append(violations, fmt.Sprintf("seed %d: the live incarnation stays out: %s", seed, strings.Join(history, " ")))
			}
		}
		convey.So(violations, convey.ShouldBeEmpty)
	})
}
