package decision

import (
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
}

// workspaceLoad is load within the share in prompt tokens, decayed with the two time
// constants until at.
type workspaceLoad struct {
	recent, usual float64
	at            time.Time
}

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
	// maxWorkspaces limits the number of workspaces that are remembered. A new one replaces
	// the one of the least usual load among evictionSamples others.
	maxWorkspaces   = 4096
	evictionSamples = 16
)

// Observe counts a stream and reports whether it exceeds the share of its workspace.
func (u *UsualShares) Observe(now time.Time, workspace string, promptTokens int) bool {
	if u.byWorkspace == nil {
		u.byWorkspace = map[string]*workspaceLoad{}
	}
	u.total.decay(now)
	load := u.byWorkspace[workspace]
	if load == nil {
		if len(u.byWorkspace) >= maxWorkspaces {
			u.evict(now)
		}
		load = &workspaceLoad{at: now}
		u.byWorkspace[workspace] = load
	}
	load.decay(now)
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

// evict removes the workspace of the least usual load among some, with its part of the total.
func (u *UsualShares) evict(now time.Time) {
	name, least := "", math.Inf(1)
	samples := 0
	for other, l := range u.byWorkspace {
		if l.decay(now); l.usual < least {
			name, least = other, l.usual
		}
		if samples++; samples == evictionSamples {
			break
		}
	}
	l := u.byWorkspace[name]
	u.total.recent, u.total.usual = max(u.total.recent-l.recent, 0), max(u.total.usual-l.usual, 0)
	delete(u.byWorkspace, name)
}

// decay decays the load until now.
func (l *workspaceLoad) decay(now time.Time) {
	elapsed := now.Sub(l.at)
	if elapsed <= 0 {
		return
	}
	l.at = now
	l.recent *= math.Exp(-float64(elapsed) / float64(recentTime))
	l.usual *= math.Exp(-float64(elapsed) / float64(usualTime))
}
