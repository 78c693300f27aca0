package entry

import (
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
	members := membership.New(membership.Options{
		List: opts.List, Peers: peers, Logger: opts.Logger, Version: func() int64 { return follower.Version() },
		Self: decision.Place{VM: opts.VM, Datacentre: opts.Datacentre, Region: opts.Region},
	})
	follower = configsync.New(configsync.Options{
		Store: opts.Store, Logger: opts.Logger, Peers: peers, VMs: members.VMs, VM: opts.VM, Region: opts.Region,
	})
	peers.Announce(follower, opts.Listener.Addr().String())
	return members, follower
}
