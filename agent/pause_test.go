package agent

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/result"
)

// TestPausedAgentStartsNoExpiredCall guards against a call that starts after its permission
// has expired: the agent is paused, or its VM suspended, while the call is queued. Another
// target may have run the call meanwhile.
func TestPausedAgentStartsNoExpiredCall(t *testing.T) {
	o := startOneSlotAgent(t)
	var suspended atomic.Int64
	clock := o.agent.clock
	o.agent.clock = func() time.Duration { return clock() + time.Duration(suspended.Load()) }
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	Convey("A call that is queued while the VM is suspended beyond its permission is withdrawn and does not run", t, func() {
		So(o.reserve(ctx, "first"), ShouldBeNil)
		replies := make(chan *peer.Reply, 1)
		errs := make(chan error, 1)
		go func() {
			reply, err := o.client.Call(ctx, o.addr, &peer.Call{
				ID: "once", Incarnation: o.agent.incarnation, Workspace: "w", Service: "booking", Method: http.MethodPost, Path: "/visits/1",
				QueueMillis: answerTimeout.Milliseconds(), TimeoutMillis: answerTimeout.Milliseconds(),
				AtMostOnce: &peer.AtMostOnce{Key: "k", AgentUptimeMillis: o.agent.uptime().Milliseconds(), StartWithinMillis: time.Minute.Milliseconds()},
			})
			replies <- reply
			errs <- err
		}()
		for o.agent.State().Load.Queued == 0 {
			time.Sleep(time.Millisecond)
		}
		suspended.Store(int64(5 * time.Minute))
		_, err := o.call(ctx, "first")
		So(err, ShouldBeNil)
		reply := <-replies
		So(<-errs, ShouldBeNil)
		So(reply.Error, ShouldNotBeNil)
		So(reply.Error.Code, ShouldEqual, result.AttemptRevoked)
		So(reply.Error.Ran, ShouldEqual, result.RanNo)
	})
}
