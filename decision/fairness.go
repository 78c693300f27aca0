package decision

import (
	"math"
	"time"
)

// fairQueue implements start-time fair queueing between workspaces. Each item
// gets a start tag: the virtual time at which it would start if its workspace
// had only its weighted share of the target.
type fairQueue struct {
	// virtualTime is the highest start tag of the items admitted so far.
	virtualTime float64
	// nextStart is the virtual time at which the next item of each workspace
	// starts.
	nextStart map[string]float64
	// usage is the cost of the recently admitted items of each workspace, divided
	// by its weight. It decays exponentially.
	usage map[string]float64
	// decayedAt is the time of the last decay.
	decayedAt time.Time
}

func newFairQueue() fairQueue {
	return fairQueue{nextStart: map[string]float64{}, usage: map[string]float64{}}
}

// usageTimeConstant is the time constant of the decay of usage. Usage below
// minUsage is deleted.
const (
	usageTimeConstant = 10 * time.Second
	minUsage          = 1.0
)

// decay reduces usage by the time since the last call.
func (f *fairQueue) decay(now time.Time) {
	factor := math.Exp(-float64(now.Sub(f.decayedAt)) / float64(usageTimeConstant))
	f.decayedAt = now
	for w := range f.usage {
		f.usage[w] *= factor
		if f.usage[w] < minUsage {
			delete(f.usage, w)
		}
	}
}

// overuse returns the recent usage of the item's workspace as a multiple of the
// mean usage of the workspaces with recent usage, at least 1.
func (f *fairQueue) overuse(it *Item) float64 {
	total := 0.0
	for _, u := range f.usage {
		total += u
	}
	if total == 0 {
		return 1
	}
	return max(f.usage[it.Workspace]*float64(len(f.usage))/total, 1)
}

// startTag returns the start tag that the item would get now.
func (f *fairQueue) startTag(it *Item) float64 { return max(f.virtualTime, f.nextStart[it.Workspace]) }

// enqueue sets the start tag of an item that joins the queue.
func (f *fairQueue) enqueue(it *Item) {
	it.startTag = f.startTag(it)
	f.nextStart[it.Workspace] = it.startTag + it.cost/it.weight()
}

// admit advances the virtual time to the start tag of an admitted item and
// charges its workspace.
func (f *fairQueue) admit(it *Item) {
	f.virtualTime = max(f.virtualTime, it.startTag)
	f.usage[it.Workspace] += it.cost / it.weight()
}

// settle replaces the estimated cost of an item by its actual cost in the start
// time of its workspace's next item. The usage keeps the estimate.
func (f *fairQueue) settle(it *Item, actualCost float64) {
	f.nextStart[it.Workspace] += (actualCost - it.cost) / it.weight()
	it.cost = actualCost
	if f.nextStart[it.Workspace] < f.virtualTime {
		delete(f.nextStart, it.Workspace)
	}
}

func (it *Item) weight() float64 { return float64(max(it.Weight, 1)) }
