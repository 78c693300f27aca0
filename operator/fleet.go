package operator

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/vmlist"

	"github.com/quetzalglade/quetzalglade/telemetry"
)

// Lister lists the platform's VMs.
type Lister interface {
	List(ctx context.Context) ([]vmlist.VM, error)
}

// PeerClient sends requests to the fleet's processes. addr is a process's ip:port.
type PeerClient interface {
	State(ctx context.Context, addr string) (peer.State, error)
	Decisions(ctx context.Context, addr string, q peer.DecisionQuery) ([]telemetry.Decision, error)
	Drain(ctx context.Context, addr string, on bool) error
}

// Fleet queries and controls the processes on all listed VMs. It is safe for
// concurrent use.
type Fleet struct {
	list       Lister
	peerClient PeerClient
	// timeout limits each request to a process.
	timeout time.Duration
}

// NewFleet returns a Fleet of the VMs in list. The timeout limits each request
// to a process.
func NewFleet(list Lister, peerClient PeerClient, timeout time.Duration) *Fleet {
	return &Fleet{list: list, peerClient: peerClient, timeout: timeout}
}

// Process is the state of the process on one VM.
type Process struct {
	VM    vmlist.VM  `json:"vm"`
	State peer.State `json:"state"`
	// Problem is the reason why State is empty; empty if the process answered.
	Problem string `json:"problem,omitempty"`
}

// Status is the state of all processes at Time, sorted by role and VM name.
type Status struct {
	Time      time.Time `json:"time"`
	Processes []Process `json:"processes"`
}

// Unanswered returns the names of the VMs whose process did not answer.
func (s *Status) Unanswered() []string {
	var names []string
	for i := range s.Processes {
		if s.Processes[i].Problem != "" {
			names = append(names, s.Processes[i].VM.Name)
		}
	}
	return names
}

// Lagging returns the names of the VMs whose process uses a configuration
// version below the given one or did not answer.
func (s *Status) Lagging(version int64) []string {
	var names []string
	for i := range s.Processes {
		if s.Processes[i].State.ConfigVersion < version {
			names = append(names, s.Processes[i].VM.Name)
		}
	}
	return names
}

// maxConcurrentRequests limits the number of processes that are queried at the
// same time.
const maxConcurrentRequests = 32

// forEachVM calls visit concurrently with the index of every VM and waits for
// all calls. The context of each call has the request timeout.
func (f *Fleet) forEachVM(ctx context.Context, vms []vmlist.VM, visit func(ctx context.Context, i int)) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentRequests)
	for i := range vms {
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			requestCtx, cancel := context.WithTimeout(ctx, f.timeout)
			defer cancel()
			visit(requestCtx, i)
		}()
	}
	wg.Wait()
}

// Status requests the state of every process. It returns an error only if the
// VM list cannot be read.
func (f *Fleet) Status(ctx context.Context, now time.Time) (*Status, error) {
	vms, err := f.list.List(ctx)
	if err != nil {
		return nil, err
	}
	status := &Status{Time: now, Processes: make([]Process, len(vms))}
	f.forEachVM(ctx, vms, func(ctx context.Context, i int) {
		p := &status.Processes[i]
		p.VM = vms[i]
		state, err := f.peerClient.State(ctx, vms[i].Addr)
		if err != nil {
			p.Problem = "does not answer"
			return
		}
		p.State = state
	})
	sort.Slice(status.Processes, func(i, j int) bool {
		a, b := &status.Processes[i].VM, &status.Processes[j].VM
		if a.Role != b.Role {
			return a.Role < b.Role
		}
		return a.Name < b.Name
	})
	return status, nil
}

// Find returns the VM with the given name, or an error if it is not listed.
func (f *Fleet) Find(ctx context.Context, name string) (vmlist.VM, error) {
	vms, err := f.list.List(ctx)
	if err != nil {
		return vmlist.VM{}, err
	}
	for _, vm := range vms {
		if vm.Name == name {
			return vm, nil
		}
	}
	return vmlist.VM{}, errors.Newf("the VM list has no VM %q", name)
}

// SetDraining makes the target on the named VM start draining or, if on is false, stop
// draining. A draining target finishes its work and accepts no new work.
func (f *Fleet) SetDraining(ctx context.Context, name string, on bool) error {
	vm, err := f.Find(ctx, name)
	if err != nil {
		return err
	}
	if vm.Role != vmlist.RoleTarget {
		return errors.Newf("cannot change the draining of %s: it is not a target; only the platform stops entries", name)
	}
	requestCtx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	return f.peerClient.Drain(requestCtx, vm.Addr, on)
}

// versionPollInterval is the time between two polls of WaitForVersion.
const versionPollInterval = 250 * time.Millisecond

// WaitForVersion polls the fleet until every process uses the configuration version
// or a higher one. After each poll it calls progress with the number of processes
// that do and the number of all processes. If ctx ends first, it returns the names
// of the VMs whose process uses a lower version or did not answer.
func (f *Fleet) WaitForVersion(ctx context.Context, version int64, progress func(done, total int)) ([]string, error) {
	for {
		status, err := f.Status(ctx, time.Now())
		if err != nil {
			return nil, err
		}
		lagging := status.Lagging(version)
		progress(len(status.Processes)-len(lagging), len(status.Processes))
		if len(lagging) == 0 {
			return nil, nil
		}
		select {
		case <-ctx.Done():
			return lagging, nil
		case <-time.After(versionPollInterval):
		}
	}
}
