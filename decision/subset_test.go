package decision

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// testLocations returns n locations spread evenly over 7 data centres in 2
// regions.
func testLocations(prefix string, n int) []Location {
	locations := make([]Location, n)
	for i := range locations {
		dc := i % 7
		locations[i] = Location{VM: fmt.Sprintf("%s-%d", prefix, i), Datacentre: fmt.Sprintf("dc%d", dc), Region: fmt.Sprintf("r%d", dc/4)}
	}
	return locations
}

func testCandidates(locations []Location) []Candidate {
	candidates := make([]Candidate, len(locations))
	for i, location := range locations {
		candidates[i] = Candidate{Location: location}
	}
	return candidates
}

// coveredSubset returns the subset of a process after marking the targets that
// it covers.
func coveredSubset(self Location, processes []Location, targets []Candidate) []int {
	marked := make([]Candidate, len(targets))
	for i, c := range targets {
		c.Covered = Covers(&self, processes, &c.Location)
		marked[i] = c
	}
	return Subset(self, marked)
}

// TestSubsetCoversEveryTargetAndStaysBounded guards against targets that too few
// processes use, which would stay idle, and against subsets that grow with the
// fleet, whose heartbeats would take too much of each process.
func TestSubsetCoversEveryTargetAndStaysBounded(t *testing.T) {
	for _, size := range []int{15, 90, 350} {
		processes := testLocations("entry", max(size/9, 3))
		targets := testCandidates(testLocations("target", size))
		covered := make([]int, len(targets))
		largest := 0
		for _, p := range processes {
			subset := coveredSubset(p, processes, targets)
			largest = max(largest, len(subset))
			for _, i := range subset {
				covered[i]++
			}
		}
		wanted := min(datacentreCoverage+regionCoverage+otherRegionCoverage, len(processes))
		if fewest := slices.Min(covered); fewest < wanted {
			t.Errorf("%d targets: one is covered by only %d processes, want %d", size, fewest, wanted)
		}
		if bound := 90; largest > bound {
			t.Errorf("%d targets: a process has a subset of %d, limit %d", size, largest, bound)
		}
		t.Logf("%d targets, %d processes: largest subset %d", size, len(processes), largest)
	}
}

// TestSubsetPrefersOwnDatacentreAndReplacesUnusable guards against subsets that
// ignore distance, and against a process without usable targets when its whole
// subset drains or becomes unreachable.
func TestSubsetPrefersOwnDatacentreAndReplacesUnusable(t *testing.T) {
	processes := testLocations("entry", 40)
	targets := testCandidates(testLocations("target", 350))
	self := processes[0]
	initial := coveredSubset(self, processes, targets)
	local := 0
	for _, i := range initial {
		if targets[i].Datacentre == self.Datacentre {
			local++
		}
	}
	if local*2 < len(initial) {
		t.Errorf("only %d of %d targets are in the process's own data centre", local, len(initial))
	}
	for _, i := range initial {
		targets[i].Unusable = true
	}
	usable := 0
	for _, i := range coveredSubset(self, processes, targets) {
		if !targets[i].Unusable {
			usable++
		}
	}
	if usable < subsetSize {
		t.Errorf("only %d usable targets after the initial subset became unusable, want %d", usable, subsetSize)
	}
}

// TestRankIsStableWhenProcessLeaves guards against a new order of all locations when
// one of them leaves, after which all processes would change their choices at once.
func TestRankIsStableWhenProcessLeaves(t *testing.T) {
	locations := testLocations("entry", 40)
	firstVM := locations[Rank("key", locations)[0]].VM
	remaining := slices.DeleteFunc(slices.Clone(locations), func(p Location) bool { return p.VM == "entry-7" && p.VM != firstVM })
	if got := remaining[Rank("key", remaining)[0]].VM; got != firstVM {
		t.Errorf("the first location changed from %s to %s", firstVM, got)
	}
}

// TestWatchers guards against too few watchers, so that the crash of one delays the
// configuration of its region, and against more than one per data centre, which
// would load the store.
func TestWatchers(t *testing.T) {
	locations := testLocations("entry", 40)
	if got := len(Watchers("r0", locations)); got != 4 {
		t.Errorf("%d watchers in a region of 4 data centres, want 4", got)
	}
	if got := len(Watchers("r1", locations)); got != 3 {
		t.Errorf("%d watchers in a region of 3 data centres, want 3", got)
	}
	if got := len(Watchers("r0", locations[:1])); got != 1 {
		t.Errorf("%d watchers for a single location, want 1", got)
	}
}

// TestHeartbeatTimeoutGrowsWithJitter guards against a target on a link with jitter
// that counts as unreachable although it is healthy.
func TestHeartbeatTimeoutGrowsWithJitter(t *testing.T) {
	var regular, jittered HeartbeatEstimator
	for i := range 200 {
		regular.Observe(time.Second)
		jittered.Observe(time.Duration(200+1800*(i%2)) * time.Millisecond)
	}
	if regular.Timeout() != MinHeartbeatTimeout {
		t.Errorf("timeout is %v without jitter", regular.Timeout())
	}
	if jittered.Timeout() <= MinHeartbeatTimeout || jittered.Timeout() > MaxHeartbeatTimeout {
		t.Errorf("timeout is %v with jitter", jittered.Timeout())
	}
}

// TestSubsetSizeDoesNotGrow guards against subsets that grow with the fleet. It
// checks a few processes in a fleet ten times as large as the largest of
// TestSubsetCoversEveryTargetAndStaysBounded.
func TestSubsetSizeDoesNotGrow(t *testing.T) {
	processes := testLocations("entry", 390)
	targets := testCandidates(testLocations("target", 3500))
	for _, p := range processes[:3] {
		if n := len(coveredSubset(p, processes, targets)); n > 90 {
			t.Errorf("%s has a subset of %d targets, limit 90", p.VM, n)
		}
	}
}
