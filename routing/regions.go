package routing

import (
	"slices"
	"strings"
)

// Regions is the set of regions in which a request may be served and its data may be held.
// The zero value allows every region.
type Regions struct {
	limited bool
	names   []string
}

// LimitedTo returns the set of the named regions. An empty list sets no limit.
func LimitedTo(names []string) Regions {
	return Regions{limited: len(names) > 0, names: names}
}

// Allows reports whether a region is in the set. A limited set does not allow "", the
// region of a data centre that the settings do not name.
func (r Regions) Allows(region string) bool {
	return !r.limited || region != "" && slices.Contains(r.names, region)
}

// IsLimited reports whether the set excludes any region.
func (r Regions) IsLimited() bool { return r.limited }

// Names returns the regions of a limited set.
func (r Regions) Names() []string { return r.names }

// Key returns a string that is equal for sets with the same regions, whatever their order.
func (r Regions) Key() string {
	if !r.limited {
		return ""
	}
	names := slices.Clone(r.names)
	slices.Sort(names)
	// The leading separator distinguishes a set without any region from no limit.
	return "\x00" + strings.Join(slices.Compact(names), "\x00")
}

// Intersect returns the regions that both sets allow.
func (r Regions) Intersect(other Regions) Regions {
	if !r.limited {
		return other
	}
	if !other.limited {
		return r
	}
	both := Regions{limited: true}
	for _, name := range r.names {
		if other.Allows(name) {
			both.names = append(both.names, name)
		}
	}
	return both
}
