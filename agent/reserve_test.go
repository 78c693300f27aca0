package agent

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/internal/standin"
	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/result"
)

// answerLimit is a generous wait for an answer that must come.
const answerLimit = 30 * time.Second

// oneSlot runs an agent with room for one call.
type oneSlot struct {
	agent *Agent
	peers *peer.Client
	addr  string
}

func startOneSlot(t *testing.T) *oneSlot {
	service := httptest.NewServer(standin.NewPlain(0).Handler())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	keys := peer.Keys{"test"}
	a, err := New(Options{
		VM: "vm", Listener: l, Keys: keys, PlainURL: service.URL, Role: "booking",
		Limits: decision.QueueLimits{Slots: 1, Length: 8}, DrainLimit: time.Second,
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = a.Serve(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		service.Close()
	})
	return &oneSlot{agent: a, peers: peer.NewClient(&http.Client{}, keys), addr: l.Addr().String()}
}

func (o *oneSlot) reserve(ctx context.Context, id string) error {
	_, err := o.peers.Reserve(ctx, o.addr, &peer.Reserve{ID: id, Incarnation: o.agent.incarnation, Workspace: "w", Service: "booking", QueueMillis: answerLimit.Milliseconds()})
	return err
}

func (o *oneSlot) call(ctx context.Context, id string) (*peer.Reply, error) {
	return o.peers.Call(ctx, o.addr, &peer.Call{
		ID: id, Incarnation: o.agent.incarnation, Workspace: "w", Service: "booking", Method: http.MethodGet, Path: "/status/1",
		QueueMillis: answerLimit.Milliseconds(), TimeoutMillis: answerLimit.Milliseconds(), Idempotent: true,
	})
}

func TestReservations(t *testing.T) {
	o := startOneSlot(t)
	ctx, cancel := context.WithTimeout(context.Background(), answerLimit)
	defer cancel()
	Convey("A granted reservation keeps the only slot, and the call under its id uses it", t, func() {
		So(o.reserve(ctx, "first"), ShouldBeNil)
		So(o.agent.State().Load.Running, ShouldEqual, 1)
		second := make(chan error, 1)
		go func() { second <- o.reserve(ctx, "second") }()
		reply, err := o.call(ctx, "first")
		So(err, ShouldBeNil)
		So(reply.Error, ShouldBeNil)
		So(reply.Status, ShouldEqual, http.StatusOK)
		So(<-second, ShouldBeNil)
		revoked, err := o.peers.Revoke(ctx, o.addr, peer.Revoke{ID: "second", Incarnation: o.agent.incarnation})
		So(err, ShouldBeNil)
		So(revoked.Began, ShouldBeFalse)
	})
	Convey("A call under a revoked reservation is refused as not run", t, func() {
		_, err := o.call(ctx, "second")
		So(result.Is(err, result.AttemptRevoked), ShouldBeTrue)
		So(result.From(err).Ran, ShouldEqual, result.RanNo)
	})
	Convey("Room that nobody comes for is given to the next", t, func() {
		So(o.reserve(ctx, "lost"), ShouldBeNil)
		So(o.reserve(ctx, "next"), ShouldBeNil)
		_, err := o.call(ctx, "lost")
		So(result.From(err).Ran, ShouldEqual, result.RanNo)
		reply, err := o.call(ctx, "next")
		So(err, ShouldBeNil)
		So(reply.Status, ShouldEqual, http.StatusOK)
	})
}
