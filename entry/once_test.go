package entry

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/quetzalglade/quetzalglade/claim"
	"github.com/quetzalglade/quetzalglade/result"
)

// Guards against an outcome that an earlier build has stored, of an invalid response, and that
// ends the caller's connection or passes for an answer.
func TestInvalidStoredOutcome(t *testing.T) {
	convey.Convey("A repeated call learns that the first one ran", t, func() {
		for _, outcome := range []claim.Outcome{
			{Status: 0, Body: []byte("hello")}, {Status: 999}, {Status: 200, Header: map[string]string{"X Worker": "w"}},
		} {
			res := resultFromRecord(&outcome)
			convey.So(res.reply, convey.ShouldBeNil)
			convey.So(res.retry, convey.ShouldBeFalse)
			convey.So(res.failure.Code, convey.ShouldEqual, result.OutcomeUnknown)
			convey.So(res.failure.Ran, convey.ShouldEqual, result.RanYes)
		}
	})
	convey.Convey("A valid outcome is the reply", t, func() {
		res := resultFromRecord(&claim.Outcome{Status: 404, Body: []byte("hello")})
		convey.So(res.reply.Status, convey.ShouldEqual, 404)
		convey.So(res.failure, convey.ShouldBeNil)
	})
}
