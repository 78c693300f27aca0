package entry_test

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/quetzalglade/quetzalglade/entry"
	"github.com/quetzalglade/quetzalglade/internal/httpclient"
	"github.com/quetzalglade/quetzalglade/kvstore"
	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/vmlist"
)

// An entry can run inside any program. It needs a listener and the addresses of
// the platform's store and VM list.
func Example() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		return
	}
	client := httpclient.New(httpclient.Options{})
	e, err := entry.New(entry.Options{
		VM: "entry-1", Datacentre: "central-1", Region: "central", Listener: listener, Keys: peer.Keys{"shared key"},
		Store:         kvstore.NewEtcdStore("http://127.0.0.1:2379", client, time.Second),
		VMLister:      vmlist.NewClient("http://127.0.0.1:9090/vms", client),
		BalancerGrace: time.Millisecond,
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.Serve(ctx) }()
	fmt.Println("ready:", e.Ready())
	stop()
	fmt.Println("stopped:", <-done)
	// Output:
	// ready: false
	// stopped: <nil>
}
