package decision

// CopyCosts holds the network costs of copying the KV cache of a request to a
// backup.
type CopyCosts struct {
	// TokenMillis is the time in milliseconds to transfer the KV cache of one
	// token within a data centre. A transfer between data centres takes twice as
	// long. 0 means unknown.
	TokenMillis float64
	// WindowMillis is the time in milliseconds within which a copy should be
	// complete; 0 ignores the transfer time.
	WindowMillis float64
}

// crossDatacentreFactor is the factor by which a copy between data centres takes
// longer. PickMigrationTarget applies it twice to a target in another region.
const crossDatacentreFactor = 2

// CopyTarget is a target that may receive a copy of a request's KV cache, as a
// backup or in a migration.
type CopyTarget struct {
	PlacementTarget
	// ArrivingTokens is the size in tokens of the copies that are being
	// transferred to the target.
	ArrivingTokens int
}

// BestBackup returns the index of the target that should hold the backup of a
// request's KV cache, or -1 if no target has enough free KV cache. It considers
// only the nearest distance class that has a target with enough free KV cache,
// and takes the better of two random targets there, because other processes
// choose at the same time. Distances are measured from the target that runs the
// request. u and v are uniform in [0, 1).
func (c *CopyCosts) BestBackup(w PlacementWork, targets []CopyTarget, u, v float64) int {
	for _, d := range []Distance{SameDatacentre, SameRegion, OtherRegion} {
		var eligible []int
		for i := range targets {
			t := &targets[i]
			if t.Distance == d && !t.Unreachable && t.KVCapacityTokens > 0 && t.KVTokens+w.KVTokens <= t.KVCapacityTokens {
				eligible = append(eligible, i)
			}
		}
		if len(eligible) == 0 {
			continue
		}
		a := int(u * float64(len(eligible)))
		b := (a + 1 + int(v*float64(len(eligible)-1))) % len(eligible)
		if c.score(w, &targets[eligible[b]]) < c.score(w, &targets[eligible[a]]) {
			a = b
		}
		return eligible[a]
	}
	return -1
}

// PrimaryKVUtilization returns the fraction of the targets' KV cache that the
// requests running there use, without backups of requests at other targets. It
// returns 1 if there are no targets.
func PrimaryKVUtilization(targets []CopyTarget) float64 {
	var used, total int
	for i := range targets {
		used += targets[i].KVTokens - targets[i].KVCopyTokens
		total += targets[i].KVCapacityTokens
	}
	if total == 0 {
		return 1
	}
	return float64(used) / float64(total)
}

// PickMigrationTarget returns the index of the target to which a request migrates
// because its own target leaves, or -1 if no target has enough free KV cache. Many
// requests migrate at the same moment, so the choice is random, weighted by the
// KV cache that remains free. Targets in other data centres and slow targets
// weigh less. u is uniform in [0, 1).
func PickMigrationTarget(w PlacementWork, targets []CopyTarget, u float64) int {
	weights := make([]float64, len(targets))
	var total float64
	for i := range targets {
		weights[i] = migrationWeight(w, &targets[i])
		total += weights[i]
	}
	if total == 0 {
		return -1
	}
	u *= total
	last := -1
	for i, weight := range weights {
		if weight == 0 {
			continue
		}
		last = i
		if u -= weight; u < 0 {
			return i
		}
	}
	return last
}

// migrationWeight returns the weight of a target in PickMigrationTarget, 0 if it
// cannot receive the request.
func migrationWeight(w PlacementWork, t *CopyTarget) float64 {
	free := t.KVCapacityTokens - t.KVTokens - w.KVTokens
	if t.Unreachable || free <= 0 {
		return 0
	}
	weight := float64(free)
	switch t.Distance {
	case SameDatacentre:
	case SameRegion:
		weight /= crossDatacentreFactor
	case OtherRegion:
		weight /= crossDatacentreFactor * crossDatacentreFactor
	}
	if t.BaselineSlowdown > 1 {
		weight /= t.BaselineSlowdown
	}
	return weight
}

// score returns the score of a backup target; lower is better. It adds the
// transfer time of all copies to the target, as a fraction of WindowMillis, and
// the fraction of the target's KV cache that is in use afterwards.
func (c *CopyCosts) score(w PlacementWork, t *CopyTarget) float64 {
	millis := c.TokenMillis * float64(t.ArrivingTokens+w.PromptTokens)
	if t.Distance != SameDatacentre {
		millis *= crossDatacentreFactor
	}
	score := float64(t.KVTokens+w.KVTokens) / float64(t.KVCapacityTokens)
	if c.WindowMillis > 0 {
		score += millis / c.WindowMillis
	}
	return score
}
