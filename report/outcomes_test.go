package report

import (
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// sampleLog has requests with different outcomes, lines with a log collector's
// prefix, and a line without a JSON object.
const sampleLog = `12.1 edge-1 {"msg":"placed","request":"a","route":"guide"}
12.2 edge-1 {"msg":"continued","request":"a","events":7}
{"msg":"answered","request":"a","route":"guide","status":200,"outcome":"complete","timing":"pause too long","max_gap_at":7}
{"msg":"answered","request":"b","route":"guide","status":200,"outcome":"complete","timing":"pause too long","max_gap_at":3}
{"msg":"answered","request":"c","route":"guide","status":200,"outcome":"complete","timing":"first event late"}
{"msg":"answered","request":"d","route":"guide","status":200,"outcome":"cut","err":"unexpected EOF"}
{"msg":"answered","request":"e","route":"guide","status":200,"outcome":"complete","timing":"on time"}
{"msg":"placed","request":"f","route":"guide"}
{"msg":"answered","request":"g","route":"look","status":500,"outcome":"complete"}
{"msg":"refused","request":"h","route":"look","name":"no_target"}
{"msg":"answered","request":"i","route":"look","status":200,"outcome":"client left"}
{"msg":"target leaving","target":"x"}
not a line of ours
`

// TestOutcomes guards against requests that are counted several times or not at all,
// because a request has several log lines or lacks the final one.
func TestOutcomes(t *testing.T) {
	convey.Convey("Each request is counted once under its outcome", t, func() {
		o := NewOutcomes()
		convey.So(o.Read(strings.NewReader(sampleLog)), convey.ShouldBeNil)
		counts := map[string]int{}
		for _, r := range o.Rows() {
			counts[r.Route+"/"+r.Outcome] = r.Count
		}
		convey.So(counts, convey.ShouldResemble, map[string]int{
			"guide/late: pause too long, at a move": 1, "guide/late: pause too long": 1, "guide/late: first event late": 1,
			"guide/cut off: unexpected EOF": 1, "guide/on time": 1, "guide/" + noFinalLine: 1,
			"look/the target's own 500": 1, "look/refused: no_target": 1, "look/client left": 1,
		})
		convey.So(o.Skipped, convey.ShouldEqual, 1)
		var table strings.Builder
		convey.So(o.Print(&table), convey.ShouldBeNil)
		convey.So(table.String(), convey.ShouldContainSubstring, "guide  1         0.167")
	})
}
