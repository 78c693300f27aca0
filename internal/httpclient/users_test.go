package httpclient_test

import (
	"context"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/quetzalglade/quetzalglade/internal/httpclient"
	"github.com/quetzalglade/quetzalglade/internal/platformtest"
	"github.com/quetzalglade/quetzalglade/kvstore"
	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/sidecar"
	"github.com/quetzalglade/quetzalglade/vmlist"
)

const usersTimeout = 5 * time.Second

// use is a kind of request of a process, with fields and the body of its response.
type use struct {
	name, fields, body string
	do                 func(ctx context.Context, addr string) error
}

func uses() []use {
	client := httpclient.New(httpclient.Options{IdlePerHost: 1})
	peers := peer.NewClient(client, peer.Keys{"k"})
	return []use{
		{"a sidecar's reports", "", `{"engine_unreachable":true,"report":{}}` + "\n", func(ctx context.Context, addr string) error {
			lines := 0
			err := sidecar.NewClient(client).Watch(ctx, addr, func(sidecar.Line) { lines++ })
			if lines > 0 {
				return nil
			}
			return err
		}},
		{"the store of a fleet of its own", "", `{"header":{"revision":"1"},"kvs":[]}`, func(ctx context.Context, addr string) error {
			_, err := kvstore.NewEtcdStore("http://"+addr, client, usersTimeout).Get(ctx, "k")
			return err
		}},
		{"the list of VMs", "", "[]", func(ctx context.Context, addr string) error {
			_, err := vmlist.NewClient("http://"+addr, client).List(ctx)
			return err
		}},
		{"an agent's state", "", "{}", func(ctx context.Context, addr string) error {
			_, err := peers.State(ctx, addr)
			return err
		}},
		{"a generation of an agent", "", `{"offset":0,"tokens":["a"]}` + "\n", func(ctx context.Context, addr string) error {
			stream, err := peers.Start(ctx, addr, &peer.Attempt{})
			if err != nil {
				return err
			}
			defer stream.Close()
			_, err = stream.Next()
			return err
		}},
	}
}

// Guards against a process of the fleet that takes a response with an invalid head for an answer.
func TestUsersRejectInvalidHeads(t *testing.T) {
	for _, u := range uses() {
		convey.Convey("Of the responses with "+u.name+" only valid ones are answers", t, func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			accepted, err := platformtest.AcceptedHeads(u.fields, u.body, func(addr string) error { return u.do(ctx, addr) })
			convey.So(err, convey.ShouldBeNil)
			convey.So(accepted, convey.ShouldBeEmpty)
		})
	}
}
