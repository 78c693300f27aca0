package entry

import (
	"net/http"

	"github.com/quetzalglade/quetzalglade/configsync"
	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/membership"
	"github.com/quetzalglade/quetzalglade/peer"
)

// newMembershipAndConfig returns the membership tracker and the configuration follower
// of an entry. They depend on each other: the follower uses the tracker's VM list to
// choose which processes watch the store, and the tracker sends the follower's
// configuration version to members.
func newMembershipAndConfig(opts *Options, peerClient *peer.Client) (*membership.Tracker, *configsync.Follower) {
	var follower *configsync.Follower
	self := decision.Location{VM: opts.VM, Datacentre: opts.Datacentre, Region: opts.Region}
	members := membership.New(membership.Options{
		List: membership.NewSharedList(opts.VMLister, peerClient, self), Peers: peerClient, Logger: opts.Logger, Self: self,
		Version: func() int64 { return follower.Version() },
	})
	follower = configsync.New(configsync.Options{
		Store: opts.Store, Logger: opts.Logger, Peers: peerClient, VMs: members.VMs, VM: opts.VM, Region: opts.Region,
	})
	peerClient.EnableVersionExchange(follower, opts.Listener.Addr().String())
	return members, follower
}

// updateMemberLoad passes the target's load report from a frame of a generation to
// the membership tracker; load may be nil.
func (e *Entry) updateMemberLoad(generation string, load *peer.Load) {
	if load == nil {
		return
	}
	if vm, incarnation, ok := peer.ParseGenerationID(generation); ok {
		e.members.Report(vm, incarnation, *load)
	}
}

// handleVMs serves the VM list to entries that read it from this entry instead of
// the platform. The list is omitted if the digest in the query equals that of the
// current list.
func (e *Entry) handleVMs(w http.ResponseWriter, r *http.Request) {
	vms, digest, fresh := e.members.VMList()
	if !fresh {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	response := peer.VMs{Digest: digest}
	if r.URL.Query().Get("digest") != digest {
		response.VMs = vms
	}
	writeJSON(w, response)
}
