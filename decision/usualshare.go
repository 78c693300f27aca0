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

// workspaceLoad is load within the share in prompt tokens, decayed with the two time
// constants.
type workspaceLoad struct{ recent, usual float64 }

func (l *workspaceLoad) add(tokens float64) {
	l.recent += tokens
	l.usual += tokens
}

const (
	// recentTime is the time constant of recent load: long enough for a process that
	// receives one stream in three seconds from a workspace, short against a burst.
	recentTime = 5 * time.Second
	// usualTime is the time constant of the usual share. With two minutes, a burst of eight
	// seconds doubled the share of the workspace that sent it.
	usualTime = 10 * time.Minute
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
	if len(u.byWorkspace) > 1 && load.recent+tokens > shareFactor*share*(u.total.recent+tokens)+shareSlackTokens {
		return true
	}
	load.add(tokens)
	u.total.add(tokens)
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
	l.usual *= usual
}
