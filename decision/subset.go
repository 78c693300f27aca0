package decision

// Sizes of subsets.
const (
	// subsetSize is the number of usable targets that a process wants of each
	// group.
	subsetSize = 8
	// maxSubset bounds the targets that a process takes of a group itself when
	// many are not usable.
	maxSubset = 32
	// The number of processes that cover each target: those of its own data
	// centre, of its region's other data centres, and of other regions.
	coverDatacentre = 3
	coverRegion     = 1
	coverElsewhere  = 1
)

// tier orders places by their distance: own data centre, own region, elsewhere.
type tier int

const (
	tierDatacentre tier = iota
	tierRegion
	tierElsewhere
	tierCount
)

func tierOf(a, b *Place) tier {
	switch {
	case a.Region != b.Region:
		return tierElsewhere
	case a.Datacentre != b.Datacentre:
		return tierRegion
	}
	return tierDatacentre
}

// Candidate is a target that may be part of a subset.
type Candidate struct {
	Place
	// Unusable is set while the target is known not to take work.
	Unusable bool
	// Covered is set if the process is one of those that cover the target.
	Covered bool
}

// Subset returns the indexes of those targets of one group that a process
// works with. It is the union of two choices that every process can make from
// the same list without talking to others: each target is covered by a few
// processes near it, and each process takes the nearest targets by rendezvous
// until enough of them are usable. The size does not grow with the fleet as
// long as processes and targets grow together.
func Subset(self Place, targets []Candidate) []int {
	chosen := make([]bool, len(targets))
	for i := range targets {
		chosen[i] = targets[i].Covered
	}
	takeNearest(&self, targets, chosen)
	var out []int
	for i, ok := range chosen {
		if ok {
			out = append(out, i)
		}
	}
	return out
}

// Covers reports whether self is one of the processes that cover the target.
func Covers(self *Place, processes []Place, target *Place) bool {
	own := weight(target.VM, self.VM)
	mine := tierOf(target, self)
	var count, before [tierCount]int
	for i := range processes {
		p := &processes[i]
		if p.VM == self.VM {
			continue
		}
		t := tierOf(target, p)
		count[t]++
		w := weight(target.VM, p.VM)
		if w > own || (w == own && p.VM < self.VM) {
			before[t]++
		}
	}
	want := [tierCount]int{coverDatacentre, coverRegion, coverElsewhere}
	// What a nearer tier lacks is taken from the next.
	for t := tierDatacentre; t < mine; t++ {
		want[t+1] += max(want[t]-count[t], 0)
	}
	return before[mine] < want[mine]
}

// takeNearest chooses targets by distance, then rendezvous, until enough of
// them are usable.
func takeNearest(self *Place, targets []Candidate, chosen []bool) {
	places := make([]Place, len(targets))
	for i := range targets {
		places[i] = targets[i].Place
	}
	order := Rank(self.VM, places)
	usable, taken := 0, 0
	for t := tierDatacentre; t < tierCount; t++ {
		for _, i := range order {
			if tierOf(self, &places[i]) != t {
				continue
			}
			if usable >= subsetSize || taken >= maxSubset {
				return
			}
			chosen[i] = true
			taken++
			if !targets[i].Unusable {
				usable++
			}
		}
	}
}
