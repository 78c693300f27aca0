package decision

import (
	"testing"

	"pgregory.net/rapid"
)

// testBackupTarget returns a target with a KV cache of 30000 tokens.
func testBackupTarget(d Distance, used, arriving int) CopyTarget {
	return CopyTarget{
		PlacementTarget: PlacementTarget{Distance: d, KVTokens: used, KVCapacityTokens: 30000},
		ArrivingTokens:  arriving,
	}
}

var testCopyCosts = CopyCosts{TokenMillis: 0.055, WindowMillis: 1000}

// After a crash only a complete backup helps, and a nearby backup completes
// sooner: the same data centre is preferred while it has free KV cache.
func TestBackupPrefersNearTargetWithHeadroom(t *testing.T) {
	work := PlacementWork{PromptTokens: 3000, KVTokens: 4000}
	targets := []CopyTarget{testBackupTarget(SameRegion, 0, 0), testBackupTarget(SameDatacentre, 20000, 0), testBackupTarget(SameDatacentre, 29000, 0)}
	for i := range 20 {
		u := float64(i) / 20
		if got := testCopyCosts.BestBackup(work, targets, u, 1-u-0.01); got != 1 {
			t.Fatalf("BestBackup chose target %d, want 1", got)
		}
	}
	targets[1].KVTokens = 29000
	if got := testCopyCosts.BestBackup(work, targets, 0.5, 0.5); got != 0 {
		t.Errorf("BestBackup chose target %d, want 0: only the target in another data centre has free KV cache", got)
	}
}

// All gateways see the same empty new engine at once. Copies in transfer to it
// count, so that its link does not become a bottleneck.
func TestBackupAvoidsBusyLinks(t *testing.T) {
	work := PlacementWork{PromptTokens: 3000, KVTokens: 4000}
	targets := []CopyTarget{testBackupTarget(SameDatacentre, 0, 30000), testBackupTarget(SameDatacentre, 9000, 0)}
	if got := testCopyCosts.BestBackup(work, targets, 0, 0); got != 1 {
		t.Errorf("BestBackup chose target %d, want 1: the other link is busy for seconds", got)
	}
}

// Several engines leave at once, and several gateways with the same load
// reports migrate their requests. The migrations must not all go to one target.
func TestMigrationsSpreadByFreeKVCache(t *testing.T) {
	work := PlacementWork{PromptTokens: 3000, KVTokens: 4000}
	targets := []CopyTarget{
		testBackupTarget(SameDatacentre, 4000, 0), testBackupTarget(SameDatacentre, 10000, 0), testBackupTarget(SameRegion, 0, 0), testBackupTarget(SameDatacentre, 27000, 0),
	}
	counts := make([]int, len(targets))
	const runs = 1000
	for i := range runs {
		counts[PickMigrationTarget(work, targets, (float64(i)+0.5)/runs)]++
	}
	if counts[3] != 0 {
		t.Errorf("%d migrations went to the target without free KV cache", counts[3])
	}
	for i := range 3 {
		if counts[i] < runs/10 || counts[i] > runs*6/10 {
			t.Errorf("target %d got %d of %d migrations", i, counts[i], runs)
		}
	}
}

// TestCopiesNeedFreeKVCache guards against copies that do not fit: the target would
// have to preempt its own requests or drop the copy. A target must still be found
// if one has free KV cache.
func TestCopiesNeedFreeKVCache(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		work := PlacementWork{KVTokens: rapid.IntRange(1, 20000).Draw(t, "size")}
		work.PromptTokens = work.KVTokens
		targets := make([]CopyTarget, rapid.IntRange(0, 6).Draw(t, "targets"))
		anyEligible := false
		for i := range targets {
			targets[i] = testBackupTarget(Distance(rapid.IntRange(0, 1).Draw(t, "distance")), rapid.IntRange(0, 30000).Draw(t, "used"), 0)
			targets[i].Unreachable = rapid.Bool().Draw(t, "unreachable")
			anyEligible = anyEligible || (!targets[i].Unreachable && targets[i].KVTokens+work.KVTokens < targets[i].KVCapacityTokens)
		}
		u, v := rapid.Float64Range(0, 0.999).Draw(t, "u"), rapid.Float64Range(0, 0.999).Draw(t, "v")
		for _, got := range []int{testCopyCosts.BestBackup(work, targets, u, v), PickMigrationTarget(work, targets, u)} {
			if got < 0 {
				if anyEligible {
					t.Fatal("no target was chosen although one has free KV cache")
				}
				continue
			}
			if c := targets[got]; c.Unreachable || c.KVTokens+work.KVTokens > c.KVCapacityTokens {
				t.Fatalf("a copy of %d tokens went to %+v", work.KVTokens, c)
			}
		}
	})
}

// TestPrimaryUtilizationExcludesCopies guards against a utilization that counts
// backups as load: backups would then raise the measure that limits them.
func TestPrimaryUtilizationExcludesCopies(t *testing.T) {
	targets := []CopyTarget{testBackupTarget(SameDatacentre, 15000, 0), testBackupTarget(SameDatacentre, 15000, 0)}
	targets[0].KVCopyTokens = 15000
	if got := PrimaryKVUtilization(targets); got != 0.25 {
		t.Errorf("utilization without copies is %v, want 0.25", got)
	}
	if got := PrimaryKVUtilization(nil); got != 1 {
		t.Errorf("utilization without targets is %v, want 1", got)
	}
}
