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

// newSegmentLoad adds the load of a segment. A segment that resumes an earlier
// one needs no prefill.
func newSegmentLoad(req *request, seg *segment) *segmentLoad {
	work := req.placementWork()
	l := &segmentLoad{segment: seg, promptTokens: int64(work.PromptTokens), kvTokens: int64(work.KVTokens)}
	seg.target.Account.Requests.Add(1)
	seg.target.Account.Memory.Add(l.kvTokens)
	if seg.backup != nil {
		seg.backup.Account.Memory.Add(l.kvTokens)
	}
	l.setPrefillPending(seg.resume == nil)
	l.recordSent(time.Now())
	return l
}

// recordSent adds the segment's work to the work recently sent to its targets.
func (l *segmentLoad) recordSent(now time.Time) {
	sent := registry.Sent{At: now, PromptTokens: int(l.promptTokens), MemoryTokens: int(l.kvTokens)}
	if l.segment.resume != nil {
		sent.PromptTokens = 0
	}
	l.segment.target.Account.Send(sent)
	if l.segment.backup != nil {
		l.segment.backup.Account.Send(registry.Sent{At: now, MemoryTokens: int(l.kvTokens)})
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
		l.segment.target.Account.Prefill.Add(l.promptTokens)
		return
	}
	l.segment.target.Account.Prefill.Add(-l.promptTokens)
}

func (l *segmentLoad) remove() {
	l.setPrefillPending(false)
	l.segment.target.Account.Requests.Add(-1)
	l.segment.target.Account.Memory.Add(-l.kvTokens)
	if l.segment.backup != nil {
		l.segment.backup.Account.Memory.Add(-l.kvTokens)
	}
}
