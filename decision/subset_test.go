package decision

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// layout returns n places spread evenly over 7 data centres in 2 regions.
func layout(prefix string, n int) []Place {
	out := make([]Place, n)
	for i := range out {
		dc := i % 7
		out[i] = Place{VM: fmt.Sprintf("%s-%d", prefix, i), Datacentre: fmt.Sprintf("dc%d", dc), Region: fmt.Sprintf("r%d", dc/4)}
	}
	return out
}

func candidates(places []Place) []Candidate {
	out := make([]Candidate, len(places))
	for i, p := range places {
		out[i] = Candidate{Place: p}
	}
	return out
}

// subsetOf returns the subset of a process among targets.
func subsetOf(self Place, processes []Place, targets []Candidate) []int {
	seen := make([]Candidate, len(targets))
	for i, c := range targets {
		c.Covered = Covers(&self, processes, &c.Place)
		seen[i] = c
	}
	return Subset(self, seen)
}

func TestSubsetCoversEveryTargetAndStaysBounded(t *testing.T) {
	for _, size := range []int{15, 90, 350} {
		processes := layout("entry", max(size/9, 3))
		targets := candidates(layout("target", size))
		covered := make([]int, len(targets))
		largest := 0
		for _, p := range processes {
			subset := subsetOf(p, processes, targets)
			largest = max(largest, len(subset))
			for _, i := range subset {
				covered[i]++
			}
		}
		want := min(coverDatacentre+coverRegion+coverElsewhere, len(processes))
		if least := slices.Min(covered); least < want {
			t.Errorf("%d targets: one is covered by %d processes, want %d", size, least, want)
		}
		if bound := 90; largest > bound {
			t.Errorf("%d targets: a process works with %d, bound %d", size, largest, bound)
		}
		t.Logf("%d targets, %d processes: largest subset %d", size, len(processes), largest)
	}
}

func TestSubsetPrefersOwnDatacentreAndGrows(t *testing.T) {
	processes := layout("entry", 40)
	targets := candidates(layout("target", 350))
	self := processes[0]
	before := subsetOf(self, processes, targets)
	local := 0
	for _, i := range before {
		if targets[i].Datacentre == self.Datacentre {
			local++
		}
	}
	if local*2 < len(before) {
		t.Errorf("%d of %d targets are in the own data centre", local, len(before))
	}
	for _, i := range before {
		targets[i].Unusable = true
	}
	fresh := 0
	for _, i := range subsetOf(self, processes, targets) {
		if !targets[i].Unusable {
			fresh++
		}
	}
	if fresh < subsetSize {
		t.Errorf("%d usable targets after the first subset became unusable, want %d", fresh, subsetSize)
	}
}

func TestRankMovesLittle(t *testing.T) {
	places := layout("entry", 40)
	first := places[Rank("key", places)[0]].VM
	without := slices.DeleteFunc(slices.Clone(places), func(p Place) bool { return p.VM == "entry-7" && p.VM != first })
	if got := without[Rank("key", without)[0]].VM; got != first {
		t.Errorf("first place moved from %s to %s", first, got)
	}
}

func TestWatchers(t *testing.T) {
	places := layout("entry", 40)
	if got := len(Watchers("r0", places)); got != 4 {
		t.Errorf("%d watchers in a region of 4 data centres", got)
	}
	if got := len(Watchers("r1", places)); got != 3 {
		t.Errorf("%d watchers in a region of 3 data centres", got)
	}
	if got := len(Watchers("r0", places[:1])); got != 1 {
		t.Errorf("%d watchers among one place", got)
	}
}

func TestSilenceGrowsWithUnevenGaps(t *testing.T) {
	var even, uneven Silence
	for i := range 200 {
		even.Observe(time.Second)
		uneven.Observe(time.Duration(200+1800*(i%2)) * time.Millisecond)
	}
	if even.Limit() != MinSilence {
		t.Errorf("limit %v over an even link", even.Limit())
	}
	if uneven.Limit() <= MinSilence || uneven.Limit() > MaxSilence {
		t.Errorf("limit %v over an uneven link", uneven.Limit())
	}
}

// TestSubsetSizeDoesNotGrow looks at a few processes of a fleet ten times the
// size.
func TestSubsetSizeDoesNotGrow(t *testing.T) {
	processes := layout("entry", 390)
	targets := candidates(layout("target", 3500))
	for _, p := range processes[:3] {
		if n := len(subsetOf(p, processes, targets)); n > 90 {
			t.Errorf("%s works with %d targets", p.VM, n)
		}
	}
}
