package feed

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/smartystreets/goconvey/convey"

	"github.com/quetzalglade/quetzalglade/internal/httpclient"
	"github.com/quetzalglade/quetzalglade/internal/wan"
	"github.com/quetzalglade/quetzalglade/kvstore"
)

// TestFeedOmitsSupersededVersions guards against responses that hold every version of a
// key since the last read, which delay a new configuration when many change in a row.
func TestFeedOmitsSupersededVersions(t *testing.T) {
	convey.Convey("A response holds the newest state of each changed key, in the order of revisions", t, func() {
		hub := NewHub()
		hub.Subscribe("config/", &recorder{values: map[string]string{}})
		hub.Reset([]kvstore.KV{{Key: "config/old", ModRevision: 1}}, kvstore.Position{Revision: 1})
		for revision := int64(2); revision < 40; revision++ {
			hub.Apply(kvstore.WatchBatch{Revision: revision, Events: []kvstore.Event{
				{KV: kvstore.KV{Key: "config/current", Value: []byte(fmt.Sprint(revision)), ModRevision: revision}},
			}})
		}
		hub.Apply(kvstore.WatchBatch{Revision: 41, Events: []kvstore.Event{
			{KV: kvstore.KV{Key: "config/brief", ModRevision: 40}},
			{KV: kvstore.KV{Key: "config/brief", ModRevision: 41}, Deleted: true},
		}})
		events, position, _, _, ok := hub.changesSince(kvstore.Position{Revision: 1})
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(position, convey.ShouldResemble, kvstore.Position{Revision: 41})
		convey.So(events, convey.ShouldHaveLength, 2)
		convey.So(events[0].KV.ModRevision, convey.ShouldEqual, 39)
		convey.So(events[1].KV.Key, convey.ShouldEqual, "config/brief")
		convey.So(events[1].Deleted, convey.ShouldBeTrue)
	})
}

// A link on which the transfer of a large state takes several times as long as a
// response may take to start.
const (
	slowLinkBitsPerSecond = 2e6
	largeStateBytes       = 600 << 10
)

// heldTransport holds back the requests after a large state until release is closed.
type heldTransport struct {
	http.RoundTripper
	isReceived atomic.Bool
	release    chan struct{}
}

// RoundTrip implements http.RoundTripper.
func (h *heldTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if h.isReceived.Load() {
		select {
		case <-h.release:
		case <-r.Context().Done():
			return nil, r.Context().Err()
		}
	}
	resp, err := h.RoundTripper.RoundTrip(r)
	if err == nil {
		resp.Body = &countedBody{ReadCloser: resp.Body, transport: h}
	}
	return resp, err
}

// countedBody notes when the transport has received a large state.
type countedBody struct {
	io.ReadCloser
	transport *heldTransport
	bytes     int
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.bytes += n; b.bytes >= largeStateBytes {
		b.transport.isReceived.Store(true)
	}
	return n, err
}

// TestSlowLinkDeliversState guards against a reader that never receives a new state
// because each transfer takes longer than a time limit, is dropped and starts again.
func TestSlowLinkDeliversState(t *testing.T) {
	convey.Convey("A state that takes several seconds to transfer arrives", t, func() {
		store := newFakeStore()
		store.put("config/current", "1")
		source := startNode(t, store, "source", func() Members { return fixedMembers{} })
		client := httpclient.New(httpclient.Options{Dial: wan.ThrottledDialer(slowLinkBitsPerSecond)})
		// A further read would renew the age before the test has seen it.
		held := &heldTransport{RoundTripper: client.Transport, release: make(chan struct{})}
		client.Transport = held
		defer close(held.release)
		unreachable := newFakeStore()
		unreachable.setRejectReads(true)
		reader := startNodeWithClient(t, unreachable, "reader", func() Members {
			return fixedMembers{leader: &source.member, others: []Member{source.member}}
		}, client)
		eventually(t, "the reader has the first version", func() bool { return reader.recorder.value("config/current") == "1" })
		large := strings.Repeat("x", largeStateBytes)
		store.put("config/current", large)
		eventually(t, "the reader has the large version", func() bool { return reader.recorder.value("config/current") == large })
		_, age := reader.source.Current()
		convey.So(age, convey.ShouldBeGreaterThan, time.Second)
	})
}

// TestLeaderHasTheFastestLink guards against a leader whose link is too slow to serve
// all processes of its region in time.
func TestLeaderHasTheFastestLink(t *testing.T) {
	convey.Convey("Among the processes of a region, one with the fastest link is the leader", t, func() {
		names := []string{"a", "b", "c", "d", "e"}
		var kvs []kvstore.KV
		for i, n := range names {
			mbps := 10.0
			if i%2 == 1 {
				mbps = 200
			}
			value := fmt.Sprintf(`{"name":"%s","region":"north","addr":"10.0.0.1:1","link_mbps":%g}`, n, mbps)
			kvs = append(kvs, kvstore.KV{Key: MemberPrefix + n, Value: []byte(value)})
		}
		leaders := map[string]bool{}
		for i, self := range names {
			mbps := 10.0
			if i%2 == 1 {
				mbps = 200
			}
			r := NewMemberRegistry(Member{Name: self, Region: "north", Addr: "10.0.0.1:1", LinkMbps: mbps}, nil, log.NewNopLogger())
			r.Reset(kvs, kvstore.Position{Revision: 1})
			leader := self
			if l := r.Leader(); l != nil {
				leader = l.Name
			}
			leaders[leader] = true
		}
		convey.So(leaders, convey.ShouldHaveLength, 1)
		convey.So(leaders["b"] || leaders["d"], convey.ShouldBeTrue)
	})
}
