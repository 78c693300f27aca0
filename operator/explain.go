package operator

import (
	"context"
	"sort"

	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

// Step is a decision record together with the VM whose process made it.
type Step struct {
	VM string `json:"vm"`
	telemetry.Decision
}

// Story holds the decision records of the fleet that match a query, sorted by
// time, oldest first.
type Story struct {
	Steps []Step `json:"steps"`
	// Missing lists the VMs whose process did not answer; their records are not
	// included.
	Missing []string `json:"missing,omitempty"`
}

// Explain collects the decision records that match q from every process. It
// returns an error only if the VM list cannot be read; processes that do not
// answer are named in Missing.
func (f *Fleet) Explain(ctx context.Context, q peer.DecisionQuery) (*Story, error) {
	vms, err := f.list.List(ctx)
	if err != nil {
		return nil, err
	}
	decisions := make([][]telemetry.Decision, len(vms))
	failed := make([]bool, len(vms))
	f.forEachVM(ctx, vms, func(ctx context.Context, i int) {
		matches, err := f.peers.Decisions(ctx, vms[i].Addr, q)
		decisions[i] = matches
		failed[i] = err != nil
	})
	result := &Story{}
	for i, vm := range vms {
		if failed[i] {
			result.Missing = append(result.Missing, vm.Name)
		}
		for _, d := range decisions[i] {
			result.Steps = append(result.Steps, Step{VM: vm.Name, Decision: d})
		}
	}
	sort.SliceStable(result.Steps, func(i, j int) bool { return result.Steps[i].Time.Before(result.Steps[j].Time) })
	return result, nil
}
