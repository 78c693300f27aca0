package entry

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/quetzalglade/quetzalglade/result"
)

// TestReportedFailureIsThatOfTheDeliveringAttempt guards against an error that reports
// fewer delivered tokens than the caller has received, because another attempt failed.
func TestReportedFailureIsThatOfTheDeliveringAttempt(t *testing.T) {
	refused := result.New(result.Overloaded, result.RanNo, "refused")
	noTarget := result.New(result.NoTarget, result.RanNo, "no target")
	lost := func(id string, delivered int) *result.Error {
		return result.New(result.EngineLost, result.RanYes, "lost").ForGeneration(id, delivered)
	}
	diverged := result.New(result.ReplayDiverged, result.RanYes, "diverged").ForGeneration("second", 2)
	Convey("The error of the attempt that delivered the last tokens is kept", t, func() {
		So(failureToReport(nil, refused), ShouldEqual, refused)
		first, second := lost("first", 2), lost("second", 5)
		So(failureToReport(refused, first), ShouldEqual, first)
		So(failureToReport(first, refused), ShouldEqual, first)
		So(failureToReport(first, second), ShouldEqual, second)
		So(failureToReport(second, first), ShouldEqual, second)
		So(failureToReport(first, diverged), ShouldEqual, diverged)
		So(failureToReport(refused, noTarget), ShouldEqual, refused)
		So(failureToReport(noTarget, refused), ShouldEqual, refused)
	})
}
