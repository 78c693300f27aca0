package agent

import (
	"github.com/quetzalglade/quetzalglade/configsync"
	"github.com/quetzalglade/quetzalglade/internal/httpclient"
	"github.com/quetzalglade/quetzalglade/peer"
)

// newFollower returns the follower that keeps the agent's configuration up to
// date. An agent never watches the store: entries announce every version of the
// configuration to it.
func newFollower(opts *Options) *configsync.Follower {
	peerClient := peer.NewClient(httpclient.New(httpclient.Options{TLS: opts.ClientTLS}), opts.Keys)
	if opts.TLS {
		peerClient.UseTLS()
	}
	follower := configsync.New(configsync.Options{
		Store: opts.Store, Logger: opts.Logger, Peers: peerClient, VM: opts.VM, Region: opts.Region,
	})
	peerClient.EnableVersionExchange(follower, opts.Listener.Addr().String())
	return follower
}
