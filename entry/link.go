package entry

import (
	"github.com/quetzalglade/quetzalglade/caller"
	"github.com/quetzalglade/quetzalglade/peer"
)

// Estimated overhead on the link between regions: per frame of a generation and
// per message that starts work.
const (
	frameOverheadBytes   = 120
	messageOverheadBytes = 600
)

// recordFrame stores the load report in a frame and, if the sender is in another
// region, charges the link budget for the estimated size of the frame.
func (e *Entry) recordFrame(vm string, f *peer.Frame) {
	e.updateLoad(vm, f.Load)
	if !e.isCrossRegion(vm) {
		return
	}
	sizeBytes := frameOverheadBytes
	for _, t := range f.Tokens {
		sizeBytes += len(t)
	}
	e.limits.spendCrossRegion(sizeBytes)
}

// isCrossRegion reports whether a target is in another region. A target that is
// not in the current snapshot counts as local.
func (e *Entry) isCrossRegion(vm string) bool {
	t := e.snapshots.current.Load().find(vm)
	return t != nil && t.member.State.Region != e.opts.Region
}

// preferLocalRegion drops the targets of other regions while the link budget is
// used up, unless there is no target in the local region.
func (e *Entry) preferLocalRegion(candidates []*targetSnapshot) []*targetSnapshot {
	if e.limits.crossRegionAllowed() {
		return candidates
	}
	var local []*targetSnapshot
	for _, t := range candidates {
		if t.member.State.Region == e.opts.Region {
			local = append(local, t)
		}
	}
	if len(local) == 0 {
		return candidates
	}
	return local
}

// spendPromptBytes charges the link budget for the prompt of work that is sent to
// another region.
func (e *Entry) spendPromptBytes(t *targetSnapshot, promptTokens int) {
	if t.member.State.Region != e.opts.Region {
		e.limits.spendCrossRegion(messageOverheadBytes + promptTokens*caller.BytesPerToken)
	}
}
