package kvstore

import (
	"cmp"

	"github.com/cockroachdb/errors"
)

// Position names a state of the store. The revision alone does not: a store that is
// restored from an older copy gives the revisions of the changes that it lost out again, and
// begins a new era. A store that does not state its era has era 0 for ever.
type Position struct {
	// Era is the number of restores that the store has stated.
	Era int64
	// Revision counts the changes. It is comparable within an era only.
	Revision int64
}

// Compare returns -1, 0 or +1 if p is before, at or after o. Any state of a later era is
// after those of the earlier ones.
func (p Position) Compare(o Position) int {
	return cmp.Or(cmp.Compare(p.Era, o.Era), cmp.Compare(p.Revision, o.Revision))
}

// Before reports whether p is before o.
func (p Position) Before(o Position) bool { return p.Compare(o) < 0 }

// Later returns the later one of two positions.
func (p Position) Later(o Position) Position {
	if p.Before(o) {
		return o
	}
	return p
}

// RestoreDetector finds restores of the store in the positions of the lists that a follower
// receives. The zero value has received none.
type RestoreDetector struct{ last *Position }

// Reset records the position of a list. It reports whether the store has been restored since
// the last one; the list may then be older than what the follower knows.
func (d *RestoreDetector) Reset(position Position) bool {
	isRestored := d.last != nil && position.Era != d.last.Era
	d.last = &position
	return isRestored
}

// ErrRestored is returned for a watch or a transaction that rests on a state of another era
// than the store's. A watch must list the keys again. A transaction may have been applied:
// its conditions may hold by chance, since revisions are given out again.
var ErrRestored = errors.New("store: restored from an older copy")

// errEarlierEra is returned for a response that was sent before a restore that is known.
var errEarlierEra = errors.New("store: response from before a restore")

// CheckEra compares the era of a response with the era on which its request rests. It
// returns ErrRestored if that of the response is later, another error if it is earlier.
func CheckEra(response, request int64) error {
	switch {
	case response > request:
		return errors.Wrapf(ErrRestored, "era %d, was %d", response, request)
	case response < request:
		return errors.Wrapf(errEarlierEra, "era %d, known %d", response, request)
	}
	return nil
}
