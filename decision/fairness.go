package decision

// fairness orders the work of workspaces by start-time fair queueing: each
// item gets the virtual time at which its workspace, had it only its weighted
// share of the target, would start it.
type fairness struct {
	// now is the start tag of the item that was admitted last.
	now float64
	// next is the virtual time at which a workspace's next item starts.
	next map[string]float64
}

func newFairness() fairness { return fairness{next: map[string]float64{}} }

func (f *fairness) start(it *Item) float64 { return max(f.now, f.next[it.Workspace]) }

// enter tags an item that joins the queue.
func (f *fairness) enter(it *Item) {
	it.tag = f.start(it)
	f.next[it.Workspace] = it.tag + it.cost/it.weight()
}

// admit moves the virtual time to the item that starts.
func (f *fairness) admit(it *Item) {
	f.now = max(f.now, it.tag)
}

// settle replaces the estimated cost of an item by what it took.
func (f *fairness) settle(it *Item, took float64) {
	f.next[it.Workspace] += (took - it.cost) / it.weight()
	it.cost = took
	if f.next[it.Workspace] < f.now {
		delete(f.next, it.Workspace)
	}
}

func (it *Item) weight() float64 { return float64(max(it.Weight, 1)) }
