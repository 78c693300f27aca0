package decision

import (
	"maps"
	"math"
	"time"
)

// UsualShares compares the recent load of each workspace with its usual share. Only work
// within the share counts as regular; the rest gives way to other work under overload. The
// state is that of one process, which receives a random part of each workspace's requests.
// It is not safe for concurrent use.
type UsualShares struct {
	byWorkspace map[string]*workspaceLoad
	total       workspaceLoad
	at          time.Time
}

// workspaceLoad is load in prompt tokens, decayed with the two time constants. regular is the
// part of the recent load that was within the share.
type workspaceLoad struct{ recent, regular, usual float64 }

const (
	// recentTime is the time constant of recent load: long enough for a process that
	// receives one stream in three seconds from a workspace, short against a burst.
	recentTime = 5 * time.Second
	// usualTime is the time constant of the usual share: a burst of ten seconds changes it
	// by less than a tenth.
	usualTime = 2 * time.Minute
	// shareFactor is the multiple of its usual share that a workspace may use.
	shareFactor = 2.0
	// shareSlackTokens is what a workspace may use in addition: three prompts, since few
	// streams of a workspace reach one process within recentTime.
	shareSlackTokens = 8000
	// maxWorkspaces limits the number of workspaces that are remembered.
	maxWorkspaces = 4096
)

// Observe counts a stream and reports whether it exceeds the share of its workspace.
func (u *UsualShares) Observe(now time.Time, workspace string, promptTokens int) bool {
	if u.byWorkspace == nil {
		u.byWorkspace = map[string]*workspaceLoad{}
	}
	u.decay(now)
	load := u.byWorkspace[workspace]
	if load == nil {
		load = &workspaceLoad{}
		u.byWorkspace[workspace] = load
	}
	tokens := float64(promptTokens)
	share := 1 / float64(len(u.byWorkspace))
	if load.usual > 0 {
		share = load.usual / u.total.usual
	}
	load.recent += tokens
	load.usual += tokens
	u.total.recent += tokens
	u.total.usual += tokens
	if len(u.byWorkspace) > 1 && load.regular+tokens > shareFactor*share*u.total.recent+shareSlackTokens {
		return true
	}
	load.regular += tokens
	return false
}

func (u *UsualShares) decay(now time.Time) {
	elapsed := now.Sub(u.at)
	if elapsed <= 0 {
		return
	}
	u.at = now
	recent, usual := math.Exp(-float64(elapsed)/float64(recentTime)), math.Exp(-float64(elapsed)/float64(usualTime))
	if len(u.byWorkspace) > maxWorkspaces {
		maps.DeleteFunc(u.byWorkspace, func(_ string, l *workspaceLoad) bool { return l.recent < 1 })
	}
	u.total.decay(recent, usual)
	for _, l := range u.byWorkspace {
		l.decay(recent, usual)
	}
}

func (l *workspaceLoad) decay(recent, usual float64) {
	l.recent *= recent
	l.regular *= recent
	l.usual *= usual
}
