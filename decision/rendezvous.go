package decision

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Place is one process of the fleet with its location.
type Place struct {
	VM         string
	Datacentre string
	Region     string
}

// Rank returns the indexes of places in their rendezvous order for the key.
// Every process that ranks the same places gets the same order, and a place
// that comes or goes moves no other.
func Rank(key string, places []Place) []int {
	weights := make([]uint64, len(places))
	order := make([]int, len(places))
	for i := range places {
		weights[i] = weight(key, places[i].VM)
		order[i] = i
	}
	sort.Slice(order, func(a, b int) bool {
		i, j := order[a], order[b]
		if weights[i] != weights[j] {
			return weights[i] > weights[j]
		}
		return places[i].VM < places[j].VM
	})
	return order
}

// weight is the rendezvous weight of a name for a key.
func weight(key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// minWatchers is the number of watchers in a region that has as many places.
const minWatchers = 2

// Watchers returns the indexes of the places in the region that hold the
// store's watch: the first of each data centre, and at least two in all. The
// first of them fetches for the region.
func Watchers(region string, places []Place) []int {
	var watchers, rest []int
	seen := map[string]bool{}
	for _, i := range Rank("watch", places) {
		p := &places[i]
		switch {
		case p.Region != region:
		case seen[p.Datacentre]:
			rest = append(rest, i)
		default:
			seen[p.Datacentre] = true
			watchers = append(watchers, i)
		}
	}
	for len(watchers) < minWatchers && len(rest) > 0 {
		watchers = append(watchers, rest[0])
		rest = rest[1:]
	}
	return watchers
}
