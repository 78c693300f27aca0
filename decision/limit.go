package decision

// WorkspaceLimit limits the number of active requests of each workspace at one
// entry process. Entries do not coordinate their limits, because the platform's
// load balancer spreads callers over them.
type WorkspaceLimit struct{ active map[string]int }

// NewWorkspaceLimit returns a WorkspaceLimit without active requests.
func NewWorkspaceLimit() *WorkspaceLimit { return &WorkspaceLimit{active: map[string]int{}} }

// Acquire counts a request and reports true, or reports false if the workspace
// already has limit active requests. A limit of 0 means unlimited. The caller
// must release each counted request when it ends.
func (l *WorkspaceLimit) Acquire(workspace string, limit int) bool {
	if limit > 0 && l.active[workspace] >= limit {
		return false
	}
	l.active[workspace]++
	return true
}

// Release releases a counted request.
func (l *WorkspaceLimit) Release(workspace string) {
	l.active[workspace]--
	if l.active[workspace] <= 0 {
		delete(l.active, workspace)
	}
}

// Active returns the number of active requests of the workspace.
func (l *WorkspaceLimit) Active(workspace string) int { return l.active[workspace] }
