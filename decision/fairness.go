package decision

import (
	"math"
	"time"
)

// fairness orders the work of workspaces by start-time fair queueing: each
// item gets the virtual time at which its workspace, had it only its weighted
// share of the target, would start it.
type fairness struct {
	// now is the start tag of the item that was admitted last.
	now float64
	// next is the virtual time at which a workspace's next item starts.
	next map[string]float64
	// used is each workspace's recent work by weight, which fades.
	used map[string]float64
	// rolled is when used was last faded.
	rolled time.Time
}

func newFairness() fairness {
	return fairness{next: map[string]float64{}, used: map[string]float64{}}
}

// usageMemory is the time constant of a workspace's recent work, and
// usageFloor the work below which it is forgotten.
const (
	usageMemory = 10 * time.Second
	usageFloor  = 1.0
)

// roll fades the recent work.
func (f *fairness) roll(now time.Time) {
	fade := math.Exp(-float64(now.Sub(f.rolled)) / float64(usageMemory))
	f.rolled = now
	for w := range f.used {
		f.used[w] *= fade
		if f.used[w] < usageFloor {
			delete(f.used, w)
		}
	}
}

// excess returns how many times its equal share, by weight, the item's
// workspace has used of late; at least 1.
func (f *fairness) excess(it *Item) float64 {
	sum := 0.0
	for _, u := range f.used {
		sum += u
	}
	if sum == 0 {
		return 1
	}
	return max(f.used[it.Workspace]*float64(len(f.used))/sum, 1)
}

func (f *fairness) start(it *Item) float64 { return max(f.now, f.next[it.Workspace]) }

// enter tags an item that joins the queue.
func (f *fairness) enter(it *Item) {
	it.tag = f.start(it)
	f.next[it.Workspace] = it.tag + it.cost/it.weight()
}

// admit moves the virtual time to the item that starts.
func (f *fairness) admit(it *Item) {
	f.now = max(f.now, it.tag)
	f.used[it.Workspace] += it.cost / it.weight()
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
