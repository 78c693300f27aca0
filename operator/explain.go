package operator

import (
	"context"
	"sort"

	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

// Step is one decision with the VM whose process made it.
type Step struct {
	VM string `json:"vm"`
	telemetry.Decision
}

// Story is what the fleet's processes remember of a question, oldest first.
type Story struct {
	Steps []Step `json:"steps"`
	// Missing lists the VMs that did not answer, whose part is not told.
	Missing []string `json:"missing,omitempty"`
}

// Explain collects the decisions that match a query from every process.
func (f *Fleet) Explain(ctx context.Context, q peer.DecisionQuery) (*Story, error) {
	vms, err := f.list.List(ctx)
	if err != nil {
		return nil, err
	}
	answers := make([][]telemetry.Decision, len(vms))
	failed := make([]bool, len(vms))
	f.each(ctx, vms, func(ctx context.Context, i int) {
		got, err := f.peers.Decisions(ctx, vms[i].Addr, q)
		answers[i] = got
		failed[i] = err != nil
	})
	story := &Story{}
	for i, vm := range vms {
		if failed[i] {
			story.Missing = append(story.Missing, vm.Name)
		}
		for _, d := range answers[i] {
			story.Steps = append(story.Steps, Step{VM: vm.Name, Decision: d})
		}
	}
	sort.SliceStable(story.Steps, func(i, j int) bool { return story.Steps[i].Time.Before(story.Steps[j].Time) })
	return story, nil
}
