package membership

import (
	"context"
	"testing"

	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/vmlist"
)

// listReader stands for the process that reads the list for the region.
type listReader struct {
	fleet         *fakeFleet
	unavailable   bool
	requests      int
	fullResponses int
}

func (r *listReader) VMs(ctx context.Context, _, digest string) (peer.VMs, error) {
	r.requests++
	if r.unavailable {
		return peer.VMs{}, errRefused
	}
	vms, err := r.fleet.List(ctx)
	out := peer.VMs{Digest: peer.DigestVMs(vms)}
	if out.Digest != digest {
		out.VMs = vms
		r.fullResponses++
	}
	return out, err
}

// countedList counts the reads from the platform.
type countedList struct {
	*fakeFleet
	reads int
}

func (l *countedList) List(ctx context.Context) ([]vmlist.VM, error) {
	l.reads++
	return l.fakeFleet.List(ctx)
}

// TestSharedListReadsThroughOneProcess guards against processes that read the list
// from the platform although the region's reader responds, and against repeated
// transfers of an unchanged list.
func TestSharedListReadsThroughOneProcess(t *testing.T) {
	fleet := newFakeFleet(10, 14, "m")
	direct := &countedList{fakeFleet: fleet}
	reader := &listReader{fleet: fleet}
	var entries []decision.Location
	for _, vm := range fleet.vms {
		if vm.Role == vmlist.RoleEntry {
			entries = append(entries, location(vm))
		}
	}
	readerEntry := entries[decision.Watchers("r0", entries)[0]]
	var self decision.Location
	for _, p := range entries {
		if p.Region == "r0" && p.VM != readerEntry.VM {
			self = p
		}
	}
	list := NewSharedList(direct, reader, self)
	expect := func(name string, reads, requests, fullResponses int) {
		t.Helper()
		vms, err := list.List(context.Background())
		if err != nil || len(vms) != len(fleet.vms) {
			t.Fatalf("%s: %d VMs, %v", name, len(vms), err)
		}
		if direct.reads != reads || reader.requests != requests || reader.fullResponses != fullResponses {
			t.Errorf("%s: %d direct reads, %d requests, %d full responses; want %d, %d, %d",
				name, direct.reads, reader.requests, reader.fullResponses, reads, requests, fullResponses)
		}
	}
	expect("start", 1, 0, 0)
	expect("unchanged", 1, 1, 0)
	fleet.vms[0].State = vmlist.VMLeaving
	expect("changed", 1, 2, 1)
	reader.unavailable = true
	expect("reader down", 2, 3, 1)

	readerList := NewSharedList(direct, reader, readerEntry)
	for range 3 {
		if _, err := readerList.List(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	if direct.reads != 5 {
		t.Errorf("the reader itself read %d times, want 3", direct.reads-2)
	}
}
