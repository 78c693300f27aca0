package membership

import (
	"context"
	"time"

	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/vmlist"
)

// ListClient requests the VM list from other processes. *peer.Client implements
// it.
type ListClient interface {
	VMs(ctx context.Context, addr, digest string) (peer.VMs, error)
}

// SharedList gets the VM list from one process of the region, the reader, which
// reads it from the platform. So the request rate at the platform does not grow
// with the fleet, and an unchanged list is not transferred again. If the reader
// does not respond, SharedList reads the list from the platform. It must be used
// from one goroutine only.
type SharedList struct {
	// direct lists the VMs at the platform.
	direct Lister
	peers  ListClient
	self   decision.Location
	// lastVMs and digest are the list that was last read and its digest.
	lastVMs []vmlist.VM
	digest  string
	// failedAt maps the addresses of readers to their last failure.
	failedAt map[string]time.Time
}

// readerAvoidPeriod is how long a reader that failed is not selected again.
const readerAvoidPeriod = 10 * time.Second

// NewSharedList returns a SharedList for the process at location self.
func NewSharedList(direct Lister, peers ListClient, self decision.Location) *SharedList {
	return &SharedList{direct: direct, peers: peers, self: self, failedAt: map[string]time.Time{}}
}

var _ Lister = (*SharedList)(nil)

// List implements Lister.
func (s *SharedList) List(ctx context.Context) ([]vmlist.VM, error) {
	addr := s.readerAddr(time.Now())
	if addr != "" {
		response, err := s.peers.VMs(ctx, addr, s.digest)
		switch {
		case err != nil:
			s.failedAt[addr] = time.Now()
		case response.Digest == s.digest:
			return s.lastVMs, nil
		case len(response.VMs) > 0:
			s.lastVMs, s.digest = response.VMs, response.Digest
			return s.lastVMs, nil
		}
	}
	vms, err := s.direct.List(ctx)
	if err == nil {
		s.lastVMs, s.digest = vms, peer.DigestVMs(vms)
	}
	return vms, err
}

// readerAddr returns the address of the process that reads the list for the
// region, or "" if it is this process or none is known.
func (s *SharedList) readerAddr(now time.Time) string {
	var entries []decision.Location
	var addrs []string
	for _, vm := range s.lastVMs {
		isSelf := vm.Name == s.self.VM
		if vm.Role != vmlist.RoleEntry || (!isSelf && (vm.State != vmlist.VMLive || now.Sub(s.failedAt[vm.Addr]) < readerAvoidPeriod)) {
			continue
		}
		entries = append(entries, location(vm))
		addrs = append(addrs, vm.Addr)
	}
	watchers := decision.Watchers(s.self.Region, entries)
	if len(watchers) == 0 || entries[watchers[0]].VM == s.self.VM {
		return ""
	}
	return addrs[watchers[0]]
}
