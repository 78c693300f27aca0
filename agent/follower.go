package agent

import (
	"github.com/quetzalglade/quetzalglade/configsync"
	"github.com/quetzalglade/quetzalglade/internal/httpclient"
	"github.com/quetzalglade/quetzalglade/peer"
)

// newFollower returns what keeps the agent's configuration. An agent never
// watches the store: entries show it every version.
func newFollower(opts *Options) *configsync.Follower {
	peers := peer.NewClient(httpclient.New(httpclient.Options{TLS: opts.ClientTLS}), opts.Keys)
	if opts.TLS {
		peers.UseTLS()
	}
	follower := configsync.New(configsync.Options{
		Store: opts.Store, Logger: opts.Logger, Peers: peers, VM: opts.VM, Region: opts.Region,
	})
	peers.Announce(follower, opts.Listener.Addr().String())
	return follower
}
