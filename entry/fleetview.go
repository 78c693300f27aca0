package entry

import (
	"net/http"

	"github.com/quetzalglade/quetzalglade/configsync"
	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/membership"
	"github.com/quetzalglade/quetzalglade/peer"
)

// newFleetView returns the members and the configuration as this entry keeps
// them. Each uses the other: watchers of the store are chosen from the members,
// and messages to members show the configuration's version.
func newFleetView(opts *Options, peers *peer.Client) (*membership.Tracker, *configsync.Follower) {
	var follower *configsync.Follower
	self := decision.Place{VM: opts.VM, Datacentre: opts.Datacentre, Region: opts.Region}
	members := membership.New(membership.Options{
		List: membership.NewSharedList(opts.List, peers, self), Peers: peers, Logger: opts.Logger, Self: self,
		Version: func() int64 { return follower.Version() },
	})
	follower = configsync.New(configsync.Options{
		Store: opts.Store, Logger: opts.Logger, Peers: peers, VMs: members.VMs, VM: opts.VM, Region: opts.Region,
	})
	peers.Announce(follower, opts.Listener.Addr().String())
	return members, follower
}

// reportLoad takes in the load that came with a frame of a generation.
func (e *Entry) reportLoad(generation string, load *peer.Load) {
	if load == nil {
		return
	}
	if vm, incarnation, ok := peer.ParseGenerationID(generation); ok {
		e.members.Report(vm, incarnation, *load)
	}
}

// handleVMs serves the VM list to the entries that read it through this one.
func (e *Entry) handleVMs(w http.ResponseWriter, r *http.Request) {
	vms, digest, fresh := e.members.Listed()
	if !fresh {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	out := peer.VMs{Digest: digest}
	if r.URL.Query().Get("digest") != digest {
		out.VMs = vms
	}
	writeJSON(w, out)
}
