package decision

// WorkspaceLimit bounds the requests in progress of each workspace at one
// entry. Entries need no coordination: the platform's balancer spreads callers.
type WorkspaceLimit struct{ active map[string]int }

// NewWorkspaceLimit returns a limit with nothing in progress.
func NewWorkspaceLimit() *WorkspaceLimit { return &WorkspaceLimit{active: map[string]int{}} }

// Enter counts a request and reports true, unless the workspace has most in
// progress already; 0 is no bound. Leave ends a request that entered.
func (l *WorkspaceLimit) Enter(workspace string, most int) bool {
	if most > 0 && l.active[workspace] >= most {
		return false
	}
	l.active[workspace]++
	return true
}

// Leave ends a request.
func (l *WorkspaceLimit) Leave(workspace string) {
	l.active[workspace]--
	if l.active[workspace] <= 0 {
		delete(l.active, workspace)
	}
}

// Active returns the number of the workspace's requests in progress.
func (l *WorkspaceLimit) Active(workspace string) int { return l.active[workspace] }
