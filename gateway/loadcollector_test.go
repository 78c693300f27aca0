package gateway

import (
	"testing"
	"time"

	"github.com/quetzalglade/quetzalglade/sidecar"
)

// Guards against requests to an engine that is gone while another one reports from its
// address, and against an exclusion that does not end or that an older report causes.
func TestReportOfLaterEngineExcludesEarlierTarget(t *testing.T) {
	for _, tt := range []struct {
		name     string
		line     sidecar.Line
		replaced bool
	}{
		{"later start", sidecar.Line{Report: &sidecar.Report{StartMillis: 2}}, true},
		{"same start", sidecar.Line{Report: &sidecar.Report{StartMillis: 1}}, false},
		{"unknown start", sidecar.Line{Report: &sidecar.Report{}}, false},
		{"unreachable engine", sidecar.Line{EngineUnreachable: true}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g := newEligibilityGateway(t)
			target := targetIn(g, "a")
			(&loadCollector{g: g}).receive(target.Addr, tt.line)
			now := time.Now()
			if acceptsWork(target, now) == tt.replaced {
				t.Fatalf("accepts work: %v", !tt.replaced)
			}
			if !acceptsWork(target, now.Add(2*replacedMemory)) {
				t.Fatal("the exclusion does not end")
			}
		})
	}
}
