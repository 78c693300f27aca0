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

// answerTimeout is long enough for a reply on a heavily loaded machine.
const answerTimeout = 30 * time.Second

// oneSlotAgent is a running agent that admits one call at a time.
type oneSlotAgent struct {
	agent   *Agent
	service *standin.Plain
	client  *peer.Client
	addr    string
}

func startOneSlotAgent(t *testing.T) *oneSlotAgent {
	plain := standin.NewPlain(0)
	service := httptest.NewServer(plain.Handler())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	keys := peer.Keys{"test"}
	a, err := New(Options{
		VM: "vm", Listener: listener, Keys: keys, PlainURL: service.URL, Role: "booking",
		Limits: decision.QueueLimits{Slots: 1, MaxWaiting: 8}, DrainLimit: time.Second,
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
	return &oneSlotAgent{agent: a, service: plain, client: peer.NewClient(&http.Client{}, keys), addr: listener.Addr().String()}
}

func (o *oneSlotAgent) reserve(ctx context.Context, id string) error {
	_, err := o.client.Reserve(ctx, o.addr, &peer.Reserve{ID: id, Incarnation: o.agent.incarnation, Workspace: "w", Service: "booking", QueueMillis: answerTimeout.Milliseconds()})
	return err
}

func (o *oneSlotAgent) call(ctx context.Context, id string) (*peer.Reply, error) {
	return o.client.Call(ctx, o.addr, &peer.Call{
		ID: id, Incarnation: o.agent.incarnation, Workspace: "w", Service: "booking", Method: http.MethodGet, Path: "/status/1",
		QueueMillis: answerTimeout.Milliseconds(), TimeoutMillis: answerTimeout.Milliseconds(), Idempotent: true,
	})
}

// keepReservations sets how long capacity that is granted from now on is kept.
func (o *oneSlotAgent) keepReservations(ttl time.Duration) {
	o.agent.control.do(func(s *state) { s.reservationTTL = ttl })
}

// TestReservations guards against a reservation that takes a second slot beside its
// call, that still starts work after it was revoked, or that blocks its slot forever
// because the call never arrives.
func TestReservations(t *testing.T) {
	o := startOneSlotAgent(t)
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	// A reservation that is to be used does not expire while the test gets no processor time.
	o.keepReservations(answerTimeout)
	Convey("A granted reservation occupies the only slot, and the call with its ID uses that slot", t, func() {
		So(o.reserve(ctx, "first"), ShouldBeNil)
		So(o.agent.State().Load.Running, ShouldEqual, 1)
		second := make(chan error, 1)
		go func() { second <- o.reserve(ctx, "second") }()
		reply, err := o.call(ctx, "first")
		So(err, ShouldBeNil)
		So(reply.Error, ShouldBeNil)
		So(reply.Status, ShouldEqual, http.StatusOK)
		So(<-second, ShouldBeNil)
		revoked, err := o.client.Revoke(ctx, o.addr, peer.Revoke{ID: "second", Incarnation: o.agent.incarnation})
		So(err, ShouldBeNil)
		So(revoked.Started, ShouldBeFalse)
	})
	Convey("A call with the ID of a revoked reservation is refused and does not run", t, func() {
		_, err := o.call(ctx, "second")
		So(result.Is(err, result.AttemptRevoked), ShouldBeTrue)
		So(result.From(err).Ran, ShouldEqual, result.RanNo)
	})
	Convey("Reserved capacity that no call uses expires and is granted to the next reservation", t, func() {
		o.keepReservations(defaultReservationTTL)
		So(o.reserve(ctx, "unused"), ShouldBeNil)
		o.keepReservations(answerTimeout)
		So(o.reserve(ctx, "next"), ShouldBeNil)
		_, err := o.call(ctx, "unused")
		So(result.From(err).Ran, ShouldEqual, result.RanNo)
		reply, err := o.call(ctx, "next")
		So(err, ShouldBeNil)
		So(reply.Status, ShouldEqual, http.StatusOK)
	})
}
