package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/registry"
	"github.com/quetzalglade/quetzalglade/routing"
)

// newResumableStream returns a resumable stream of a gateway whose targets, two in each data
// centre, have different addresses.
func newResumableStream(t *testing.T) *streamRequest {
	t.Helper()
	g := newEligibilityGateway(t)
	g.table.Store(routing.NewTable(1, []routing.Route{{Name: "stream", Host: "h", Prefix: "/", Kind: routing.Stream, Resumable: true, MaxAttempts: 9}}, nil, routing.Access{}, routing.Limits{}))
	return &streamRequest{g: g, req: newEligibilityRequest(g)}
}

// Guards against a second run of a resumable stream at one address: a rerun or a migration
// that copies the KV cache to a target that may have run the stream, and a failover to that
// copy.
func TestCopiesAvoidTargetsThatMayHaveRun(t *testing.T) {
	s := newResumableStream(t)
	ran := targetIn(s.g, "a")
	s.recordRun(&segment{target: ran})
	choices := map[string]func(primary *registry.Target) *registry.Target{
		"backup":    func(primary *registry.Target) *registry.Target { return s.g.chooseBackupTarget(s.req, primary) },
		"migration": func(primary *registry.Target) *registry.Target { return s.g.chooseMigrationTarget(s.req, primary) },
	}
	primary := targetIn(s.g, "b")
	for name, choose := range choices {
		chosen := 0
		for range 200 {
			target := choose(primary)
			if target == nil {
				continue
			}
			chosen++
			if target.Addr == ran.Addr {
				t.Fatalf("%s: chose %s, where the stream may have run", name, target.ID)
			}
		}
		if chosen == 0 {
			t.Fatalf("%s: no target was chosen", name)
		}
	}
}

// Guards against the loss of the KV cache at the source of a stream by an event of the next
// target that is then rejected, or by a comment before it.
func TestKeptCacheOutlivesARejectedEvent(t *testing.T) {
	for name, c := range map[string]struct {
		events string
		err    error
		isKept bool
	}{
		"gap":               {numberedEvents(5, 6, "x"), errEventGap, true},
		"comment, then gap": {": comment\n\n" + numberedEvents(5, 6, "x"), errEventGap, true},
		"next event":        {numberedEvents(3, 4, "x"), io.EOF, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newResumableStream(t)
			w := httptest.NewRecorder()
			s.w, s.controller, s.lastEventID, s.req.arrivedAt = w, http.NewResponseController(w), "2", time.Now()
			source := targetIn(s.g, "a")
			// The source is held, so that nothing is called to free the cache.
			source.Load.Shed(time.Now(), time.Hour)
			s.kept = &keptCache{source: source, resume: Resume{HolderAddr: source.Addr, Handle: "h"}}
			seg := &segment{target: targetIn(s.g, "b"), lastEventID: "2"}
			seg.waiting = s.g.parts.Watch(nil, func() {})
			load := newSegmentLoad(s.req, seg)
			defer load.remove()
			at := &attempt{target: seg.target, resp: &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(c.events))}}
			if err := s.relayEvents(at, load, seg); !errors.Is(err, c.err) {
				t.Fatalf("relayed with error %v, want %v", err, c.err)
			}
			if isKept := s.kept != nil; isKept != c.isKept {
				t.Fatalf("kept %v, want %v", isKept, c.isKept)
			}
		})
	}
}
