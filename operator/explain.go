package operator

import (
	"context"
	"sort"

	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

// VMDecision is a decision record together with the VM whose process made it.
type VMDecision struct {
	VM string `json:"vm"`
	telemetry.Decision
}

// Explanation holds the decision records of the fleet that match a query, oldest
// first.
type Explanation struct {
	Decisions []VMDecision `json:"steps"`
	// Unanswered lists the VMs whose process did not answer; their records are not
	// included.
	Unanswered []string `json:"missing,omitempty"`
}

// Explain collects the decision records that match q from every process. It
// returns an error only if the VM list cannot be read; VMs whose process does not
// answer are listed in Unanswered.
func (f *Fleet) Explain(ctx context.Context, q peer.DecisionQuery) (*Explanation, error) {
	vms, err := f.list.List(ctx)
	if err != nil {
		return nil, err
	}
	decisions := make([][]telemetry.Decision, len(vms))
	failed := make([]bool, len(vms))
	f.forEachVM(ctx, vms, func(ctx context.Context, i int) {
		matches, err := f.peerClient.Decisions(ctx, vms[i].Addr, q)
		decisions[i] = matches
		failed[i] = err != nil
	})
	result := &Explanation{}
	for i, vm := range vms {
		if failed[i] {
			result.Unanswered = append(result.Unanswered, vm.Name)
		}
		for _, d := range decisions[i] {
			result.Decisions = append(result.Decisions, VMDecision{VM: vm.Name, Decision: d})
		}
	}
	sort.SliceStable(result.Decisions, func(i, j int) bool { return result.Decisions[i].Time.Before(result.Decisions[j].Time) })
	return result, nil
}
