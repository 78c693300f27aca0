package decision

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Location is the location of one process: its VM, data centre and region.
type Location struct {
	VM         string
	Datacentre string
	Region     string
}

// Rank returns the indexes of locations in rendezvous order for the key, which
// depends on the VM names only. All processes that rank the same locations get the
// same order, and adding or removing a location does not change the order of the
// others.
func Rank(key string, locations []Location) []int {
	weights := make([]uint64, len(locations))
	order := make([]int, len(locations))
	for i := range locations {
		weights[i] = rendezvousWeight(key, locations[i].VM)
		order[i] = i
	}
	sort.Slice(order, func(a, b int) bool {
		i, j := order[a], order[b]
		if weights[i] != weights[j] {
			return weights[i] > weights[j]
		}
		return locations[i].VM < locations[j].VM
	})
	return order
}

// rendezvousWeight returns the rendezvous weight of a name for a key.
func rendezvousWeight(key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// minWatchersPerRegion is the minimum number of watchers in a region that has
// at least as many locations.
const minWatchersPerRegion = 2

// Watchers returns the indexes of the locations in the region whose processes
// watch the configuration in the store: the first of each data centre in
// rendezvous order, and at least minWatchersPerRegion in total. The first watcher
// also fetches the VM list for the region.
func Watchers(region string, locations []Location) []int {
	var watchers, rest []int
	seen := map[string]bool{}
	for _, i := range Rank("watch", locations) {
		location := &locations[i]
		switch {
		case location.Region != region:
		case seen[location.Datacentre]:
			rest = append(rest, i)
		default:
			seen[location.Datacentre] = true
			watchers = append(watchers, i)
		}
	}
	for len(watchers) < minWatchersPerRegion && len(rest) > 0 {
		watchers = append(watchers, rest[0])
		rest = rest[1:]
	}
	return watchers
}
