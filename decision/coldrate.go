package decision

import (
	"math"
	"time"
)

// RateSpan is the time over which the grants for a cold target are counted, and
// MaxGrantDelay the time after a gateway has asked for a grant within which it must send the
// request. RateSpan exceeds one second by MaxGrantDelay and 100 ms for the way to the
// target, so that no second at the target holds more requests than one span holds grants.
const (
	RateSpan      = 1250 * time.Millisecond
	MaxGrantDelay = 150 * time.Millisecond
)

// maxCountedGrants limits the grants that are remembered. It is at least the largest limit
// that is asked for.
const maxCountedGrants = 10_000

// RateWindow counts grants over a sliding time. It is not safe for concurrent use.
type RateWindow struct {
	// blockedUntil is the end of the time that counts as used up.
	blockedUntil time.Time
	grants       []time.Time
}

// NewRateWindow returns a window for a process that has started at the given time. Its
// first span counts as used up, since the process may have granted before a restart.
func NewRateWindow(startedAt time.Time) RateWindow {
	return RateWindow{blockedUntil: startedAt.Add(RateSpan)}
}

// Allows reports whether one more grant stays within the limit.
func (w *RateWindow) Allows(now time.Time, limit int) bool {
	if now.Before(w.blockedUntil) {
		return false
	}
	w.prune(now)
	return len(w.grants) < min(limit, maxCountedGrants)
}

// Record counts a grant.
func (w *RateWindow) Record(now time.Time) {
	w.prune(now)
	if len(w.grants) >= maxCountedGrants {
		w.grants = w.grants[1:]
	}
	w.grants = append(w.grants, now)
}

// AllowsOnStatement reports whether a target that has stated that it is warm may get one
// more request beyond the limit. One statement serves for as many grants as the limit, and
// at least one: the target may have turned cold since it was asked.
func (w *RateWindow) AllowsOnStatement(askedAt time.Time, limit int) bool {
	n := 0
	for i := len(w.grants) - 1; i >= 0 && !w.grants[i].Before(askedAt); i-- {
		n++
	}
	return n < max(limit, 1)
}

func (w *RateWindow) prune(now time.Time) {
	n := 0
	for n < len(w.grants) && now.Sub(w.grants[n]) > RateSpan {
		n++
	}
	w.grants = w.grants[n:]
}

// ColdLimit bounds the requests that a cold target gets in any one second.
type ColdLimit struct {
	// PerSecond is the rate that the target can handle, 0 for no limit.
	PerSecond float64
	// Over and Slack define the bound on all requests: PerSecond times Over plus Slack.
	Over, Slack float64
}

// Total returns the bound on all requests in a second.
func (l ColdLimit) Total() int {
	return int(math.Floor(min(max(l.PerSecond*l.Over+l.Slack, 0), maxCountedGrants)))
}

// BySidecar returns the bound on the requests that the target's sidecar grants.
func (l ColdLimit) BySidecar() int {
	return min(int(math.Floor(min(max(l.PerSecond, 0), maxCountedGrants))), l.Total())
}

// ByShares returns the bound on the requests that the gateways send without a grant: what
// the sidecars leave, or the whole bound for a service without sidecars.
func (l ColdLimit) ByShares(sidecars bool) int {
	if !sidecars {
		return l.Total()
	}
	return l.Total() - l.BySidecar()
}

// maxMissingMembers is the number of running gateways that a view of the membership may
// lack without the shares exceeding the capacity: one that restarts, and one that starts or
// stops at the same time.
const maxMissingMembers = 2

// ColdShare returns the share of one gateway of a capacity in requests per second for a
// target. The members are the names of the known gateways. All shares are whole, and the
// gateways that rank first for the target get the larger ones. The sum of the shares of
// all gateways stays within the capacity as long as each view lacks at most
// maxMissingMembers of the gateways that any view holds.
func ColdShare(target, self string, members []string, capacity int) int {
	own := rendezvousWeight(target, self)
	count, rank := 1, 0
	for _, name := range members {
		if name == self {
			continue
		}
		count++
		if w := rendezvousWeight(target, name); w > own || w == own && name < self {
			rank++
		}
	}
	divisor := count + maxMissingMembers
	capacity = max(capacity, 0)
	share := capacity / divisor
	if rank < capacity%divisor-maxMissingMembers {
		share++
	}
	return share
}

// ColdState is what a process knows about how long a target stays cold. the statement of the
// target's sidecar takes precedence over the target's entry while it is recent; the entry
// may be old.
type ColdState struct {
	statedAt    time.Time
	statedUntil time.Time
}

// MaxColdStatementAge is the time for which the statement of a sidecar counts as recent. It covers a
// keepalive period of the sidecar's stream and a transfer between regions.
const MaxColdStatementAge = 1500 * time.Millisecond

// SetStatement records the sidecar's statement that the target stays cold for the given time.
func (s *ColdState) SetStatement(now time.Time, remaining time.Duration) {
	s.statedAt, s.statedUntil = now, now.Add(remaining)
}

// HasRecentStatement reports whether the sidecar has recently stated how long the target stays
// cold.
func (s *ColdState) HasRecentStatement(now time.Time) bool {
	return !s.statedAt.IsZero() && now.Sub(s.statedAt) <= MaxColdStatementAge
}

// HadStatement reports whether the sidecar has ever stated how long the target stays cold.
func (s *ColdState) HadStatement() bool { return !s.statedAt.IsZero() }

// Until returns the time until which the target may be cold. entryUntil is the time that
// follows from the target's entry.
func (s *ColdState) Until(now, entryUntil time.Time) time.Time {
	if s.HasRecentStatement(now) || s.statedUntil.After(entryUntil) {
		return s.statedUntil
	}
	return entryUntil
}
