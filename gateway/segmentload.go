package gateway

import (
	"time"

	"github.com/quetzalglade/quetzalglade/registry"
)

// segmentLoad is the load that one segment of a streaming request adds to its
// target and its backup target.
type segmentLoad struct {
	segment        *segment
	promptTokens   int64
	kvTokens       int64
	prefillPending bool
}

// newSegmentLoad adds the load of a segment to its targets. A segment that
// continues an earlier one needs no prefill.
func newSegmentLoad(req *request, seg *segment) *segmentLoad {
	work := req.placementWork()
	l := &segmentLoad{segment: seg, promptTokens: int64(work.PromptTokens), kvTokens: int64(work.KVTokens)}
	seg.target.Load.Requests.Add(1)
	seg.target.Load.KVTokens.Add(l.kvTokens)
	if seg.backup != nil {
		seg.backup.Load.KVTokens.Add(l.kvTokens)
	}
	l.setPrefillPending(seg.resume == nil)
	l.recordDispatch(time.Now())
	return l
}

// recordDispatch adds the segment's work to the recently dispatched work of its
// targets.
func (l *segmentLoad) recordDispatch(now time.Time) {
	dispatch := registry.Dispatch{At: now, PromptTokens: int(l.promptTokens), KVTokens: int(l.kvTokens)}
	if l.segment.resume != nil {
		dispatch.PromptTokens = 0
	}
	l.segment.target.Load.RecordDispatch(dispatch)
	if l.segment.backup != nil {
		l.segment.backup.Load.RecordDispatch(registry.Dispatch{At: now, KVTokens: int(l.kvTokens)})
	}
}

// setPrefillPending sets whether the prompt still counts as prefill work at the
// target.
func (l *segmentLoad) setPrefillPending(prefillPending bool) {
	if l.prefillPending == prefillPending {
		return
	}
	l.prefillPending = prefillPending
	if prefillPending {
		l.segment.target.Load.PrefillTokens.Add(l.promptTokens)
		return
	}
	l.segment.target.Load.PrefillTokens.Add(-l.promptTokens)
}

// remove subtracts the load again.
func (l *segmentLoad) remove() {
	l.setPrefillPending(false)
	l.segment.target.Load.Requests.Add(-1)
	l.segment.target.Load.KVTokens.Add(-l.kvTokens)
	if l.segment.backup != nil {
		l.segment.backup.Load.KVTokens.Add(-l.kvTokens)
	}
}
