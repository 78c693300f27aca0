package agent

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/result"
)

// sendOnce sends a call that may run at most once.
func (o *oneSlotAgent) sendOnce(ctx context.Context, id, key, fingerprint string) (*peer.Reply, error) {
	return o.client.Call(ctx, o.addr, &peer.Call{
		ID: id, Incarnation: o.agent.incarnation, Workspace: "w", Service: "booking", Method: http.MethodPost, Path: "/visits/1",
		QueueMillis: answerTimeout.Milliseconds(), TimeoutMillis: answerTimeout.Milliseconds(),
		AtMostOnce: &peer.AtMostOnce{
			Key: key, Fingerprint: fingerprint, AgentUptimeMillis: o.agent.uptime().Milliseconds(), StartWithinMillis: time.Minute.Milliseconds(),
		},
	})
}

// TestSecondClaimOfAKey guards against work that runs a second time because its claim was lost
// and the key claimed again for the same agent, or because a call under the lost claim arrives
// after the key was claimed again.
func TestSecondClaimOfAKey(t *testing.T) {
	o := startOneSlotAgent(t)
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	Convey("The second call gets the answer of the first", t, func() {
		first, err := o.sendOnce(ctx, "a1", "ka", "f")
		So(err, ShouldBeNil)
		second, err := o.sendOnce(ctx, "a2", "ka", "f")
		So(err, ShouldBeNil)
		So(second.ID, ShouldEqual, "a2")
		So(string(second.Body), ShouldEqual, string(first.Body))
		So(o.service.Effects(), ShouldHaveLength, 1)
		_, err = o.sendOnce(ctx, "a3", "ka", "other content")
		So(err, ShouldNotBeNil)
		So(o.service.Effects(), ShouldHaveLength, 1)
	})
	Convey("A key that is reserved for a call starts no other one", t, func() {
		before := len(o.service.Effects())
		outcome, err := o.client.Outcome(ctx, o.addr, peer.OutcomeQuery{Key: "kb", OnlyCall: "b2", Incarnation: o.agent.incarnation})
		So(err, ShouldBeNil)
		So(outcome.State, ShouldEqual, peer.CallWithdrawn)
		_, err = o.sendOnce(ctx, "b1", "kb", "f")
		So(err, ShouldNotBeNil)
		var refusal *result.Error
		So(errors.As(err, &refusal), ShouldBeTrue)
		So(refusal.Code, ShouldEqual, result.AttemptRevoked)
		So(refusal.Ran, ShouldEqual, result.RanNo)
		_, err = o.sendOnce(ctx, "b2", "kb", "f")
		So(err, ShouldBeNil)
		So(len(o.service.Effects())-before, ShouldEqual, 1)
	})
}
