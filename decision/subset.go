package decision

// Sizes of subsets. A process that covers a target has it in its subset at any
// distance.
const (
	// subsetSize is the number of usable targets that a process selects by distance
	// from each group.
	subsetSize = 8
	// maxSubsetSize limits the targets that a process selects by distance from a
	// group if many of them are unusable.
	maxSubsetSize = 32
	// The numbers of processes that cover each target: in the target's data centre,
	// in other data centres of its region, and in other regions.
	datacentreCoverage  = 3
	regionCoverage      = 1
	otherRegionCoverage = 1
)

// tier classifies the distance between two locations: same data centre, same
// region, or other region.
type tier int

const (
	tierDatacentre tier = iota
	tierRegion
	tierOtherRegion
	tierCount
)

func tierOf(a, b *Location) tier {
	switch {
	case a.Region != b.Region:
		return tierOtherRegion
	case a.Datacentre != b.Datacentre:
		return tierRegion
	}
	return tierDatacentre
}

// Candidate is a target that may be part of a subset.
type Candidate struct {
	Location
	// Unusable is set while the target is known not to accept work.
	Unusable bool
	// Covered is set if this process is one of those that cover the target.
	Covered bool
}

// Subset returns the indexes of those of a group of interchangeable targets that
// the process self uses. The subset is the union of two selections that each
// process can compute
// from the same list without coordination: a few processes near each target
// cover it, and each process selects the nearest targets, in rendezvous order,
// until enough of them are usable. The subset size does not grow with the fleet
// if the numbers of processes and targets grow in proportion.
func Subset(self Location, targets []Candidate) []int {
	chosen := make([]bool, len(targets))
	for i := range targets {
		chosen[i] = targets[i].Covered
	}
	selectNearest(&self, targets, chosen)
	var indexes []int
	for i, ok := range chosen {
		if ok {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

// Covers reports whether self is one of the processes that cover the target:
// those that come first in rendezvous order in each tier around the target.
func Covers(self *Location, processes []Location, target *Location) bool {
	ownWeight := rendezvousWeight(target.VM, self.VM)
	ownTier := tierOf(target, self)
	var count, higherRanked [tierCount]int
	for i := range processes {
		process := &processes[i]
		if process.VM == self.VM {
			continue
		}
		processTier := tierOf(target, process)
		count[processTier]++
		processWeight := rendezvousWeight(target.VM, process.VM)
		if processWeight > ownWeight || (processWeight == ownWeight && process.VM < self.VM) {
			higherRanked[processTier]++
		}
	}
	wanted := [tierCount]int{datacentreCoverage, regionCoverage, otherRegionCoverage}
	// Processes that are missing in a nearer tier are replaced by processes in
	// the next tier.
	for t := tierDatacentre; t < ownTier; t++ {
		wanted[t+1] += max(wanted[t]-count[t], 0)
	}
	return higherRanked[ownTier] < wanted[ownTier]
}

// selectNearest selects targets by distance, then in rendezvous order, until
// enough of them are usable.
func selectNearest(self *Location, targets []Candidate, chosen []bool) {
	locations := make([]Location, len(targets))
	for i := range targets {
		locations[i] = targets[i].Location
	}
	order := Rank(self.VM, locations)
	usable, selected := 0, 0
	for t := tierDatacentre; t < tierCount; t++ {
		for _, i := range order {
			if tierOf(self, &locations[i]) != t {
				continue
			}
			if usable >= subsetSize || selected >= maxSubsetSize {
				return
			}
			chosen[i] = true
			selected++
			if !targets[i].Unusable {
				usable++
			}
		}
	}
}
