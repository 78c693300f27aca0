package quarantine

import (
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/kvstore"
)

// FuzzStoredValues guards against panics from any value under the keys of marks and of
// evidence of prompt parts.
func FuzzStoredValues(f *testing.F) {
	f.Add([]byte(`{"fingerprint":"f","deaths":{"c":1768619626031},"lifted_ms":5}`))
	f.Add([]byte(`{"part":"p","crashes":[{"id":"a","at_ms":1e400}]}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		kvs := []kvstore.KV{{Key: Prefix + "f", Value: data}, {Key: PartPrefix + "p", Value: data}}
		marks := NewKeeper(nil, log.NewNopLogger(), false)
		marks.Reset(kvs[:1], kvstore.Position{Revision: 1})
		marks.Status("f", time.Now())
		parts := NewPartKeeper(nil, log.NewNopLogger(), func([]decision.PartEvidence) {})
		parts.Reset(kvs[1:], kvstore.Position{Revision: 1})
		parts.Quarantined([]string{"p", "f"})
	})
}
