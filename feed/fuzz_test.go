package feed

import (
	"encoding/json"
	"testing"

	"github.com/go-kit/log"

	"github.com/quetzalglade/quetzalglade/kvstore"
)

// FuzzResponse guards against panics and against processes without an address from any
// response of another process's hub.
func FuzzResponse(f *testing.F) {
	f.Add([]byte(`{"revision":7,"age_ms":12,"events":[{"key":"quetzalglade/members/a","value":"eyJuYW1lIjoiYSJ9","revision":3},{"key":7},null]}`))
	f.Add([]byte(`{"revision":1e400,"events":[[[[]]]]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var response Response
		if json.Unmarshal(data, &response) != nil {
			return
		}
		r := NewMemberRegistry(Member{Name: "self", Addr: "10.0.0.1:1"}, nil, log.NewNopLogger())
		var batch kvstore.WatchBatch
		for _, e := range response.Events.Items {
			batch.Events = append(batch.Events, kvstore.Event{KV: e.kv(), Deleted: e.Deleted})
		}
		r.Apply(batch)
		for _, m := range r.Others() {
			if m.check() != nil {
				t.Fatalf("member %+v", m)
			}
		}
	})
}

// FuzzMember guards against entries of processes that cannot be used.
func FuzzMember(f *testing.F) {
	f.Add([]byte(`{"name":"a","region":"r","addr":"10.0.0.1:8083","link_mbps":200}`))
	f.Add([]byte(`{"name":"a","addr":"10.0.0.1:65536"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r := NewMemberRegistry(Member{Name: "self", Addr: "10.0.0.1:1"}, nil, log.NewNopLogger())
		r.Reset([]kvstore.KV{{Key: MemberPrefix + "a", Value: data}}, kvstore.Position{Revision: 1})
		for _, m := range r.Others() {
			if m.check() != nil {
				t.Fatalf("member %+v", m)
			}
		}
	})
}
