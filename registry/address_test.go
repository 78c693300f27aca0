package registry

import (
	"fmt"
	"slices"
	"testing"

	"github.com/quetzalglade/quetzalglade/kvstore"
)

// Guards against requests to a target whose address already belongs to a later one. Entries
// of targets that are gone stay in the store for some time; each such request is rejected
// and spends a retry, which a fleet that has just restarted does not have.
func TestLaterTargetReplacesEarlierOneAtItsAddress(t *testing.T) {
	type entry struct {
		addr  string
		start int64
	}
	for _, tt := range []struct {
		name    string
		entries []entry
		ready   []int
	}{
		{"the earlier one is listed first", []entry{{"a:1", 10}, {"a:1", 20}}, []int{1}},
		{"the earlier one is listed last", []entry{{"a:1", 20}, {"a:1", 10}}, []int{0}},
		{"three of one address", []entry{{"a:1", 20}, {"a:1", 30}, {"a:1", 10}}, []int{1}},
		{"other addresses", []entry{{"a:1", 10}, {"a:2", 20}}, []int{0, 1}},
		{"without start times", []entry{{"a:1", 0}, {"a:1", 0}}, []int{0, 1}},
		{"one without a start time", []entry{{"a:1", 0}, {"a:1", 10}}, []int{0, 1}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			k, _ := newTestKeeper(t)
			k.decode = func(key string, _ []byte) (Record, error) {
				var i int
				if _, err := fmt.Sscanf(key, "t%d", &i); err != nil {
					return Record{}, err
				}
				return Record{ID: key, Service: "s", Addr: tt.entries[i].addr, StartMillis: tt.entries[i].start}, nil
			}
			var kvs []kvstore.KV
			for i := range tt.entries {
				kvs = append(kvs, kv(fmt.Sprintf("t%d", i), ""))
			}
			// The second read renews the entries of targets that are gone.
			for range 2 {
				k.Reset(kvs, kvstore.Position{Revision: 1})
				k.flush()
			}
			if readyCount(k) != len(tt.ready) {
				t.Fatalf("%d targets are ready, want %v", readyCount(k), tt.ready)
			}
			if len(tt.ready) == 1 && len(tt.entries) == 2 {
				later := fmt.Sprintf("t%d", tt.ready[0])
				k.Apply(kvstore.WatchBatch{Revision: 2, Events: []kvstore.Event{{KV: kv(later, ""), Deleted: true}}})
				k.flush()
				if readyCount(k) != 1 {
					t.Fatal("the earlier target is not ready although the later one has gone")
				}
				k.Apply(kvstore.WatchBatch{Revision: 3, Events: []kvstore.Event{{KV: kv(later, "")}}})
				k.flush()
			}
			for _, i := range tt.ready {
				if !slices.ContainsFunc(k.Snapshot().Ready("s"), func(target *Target) bool { return target.ID == fmt.Sprintf("t%d", i) }) {
					t.Fatalf("target %d is not ready", i)
				}
			}
		})
	}
}
