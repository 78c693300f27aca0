package entry

import (
	"github.com/quetzalglade/quetzalglade/caller"
	"github.com/quetzalglade/quetzalglade/peer"
)

// Estimated sizes on the link, in bytes.
const (
	frameOverhead   = 120
	messageOverhead = 600
)

// noteFrame takes in what a frame tells of its sender and of the link.
func (e *Entry) noteFrame(vm string, f *peer.Frame) {
	e.noteLoad(vm, f.Load)
	if !e.isAway(vm) {
		return
	}
	size := frameOverhead
	for _, t := range f.Tokens {
		size += len(t)
	}
	e.limits.cross(size)
}

// isAway reports whether a target is in another region.
func (e *Entry) isAway(vm string) bool {
	t := e.picker.current.Load().find(vm)
	return t != nil && t.member.State.Region != e.opts.Region
}

// stayHome drops the targets of other regions while the link's budget is used
// up, unless there is no other.
func (e *Entry) stayHome(candidates []*pickTarget) []*pickTarget {
	if e.limits.mayCross() {
		return candidates
	}
	var home []*pickTarget
	for _, t := range candidates {
		if t.member.State.Region == e.opts.Region {
			home = append(home, t)
		}
	}
	if len(home) == 0 {
		return candidates
	}
	return home
}

// spendPrompt counts the prompt of work that is sent to another region.
func (e *Entry) spendPrompt(t *pickTarget, promptTokens int) {
	if t.member.State.Region != e.opts.Region {
		e.limits.cross(messageOverhead + promptTokens*caller.BytesPerToken)
	}
}
