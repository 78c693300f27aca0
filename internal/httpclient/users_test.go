package httpclient_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/smartystreets/goconvey/convey"

	"github.com/quetzalglade/quetzalglade/gateway"
	"github.com/quetzalglade/quetzalglade/internal/httpclient"
	"github.com/quetzalglade/quetzalglade/internal/platformtest"
	"github.com/quetzalglade/quetzalglade/kvstore"
	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/platform"
	"github.com/quetzalglade/quetzalglade/sidecar"
	"github.com/quetzalglade/quetzalglade/vmlist"
)

const usersTimeout = 5 * time.Second

// serveText starts a server that reads a request, sends the text and closes the connection.
func serveText(t *testing.T, text *atomic.Value) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = c.Write([]byte(text.Load().(string)))
			}
			_ = c.Close()
		}
	}()
	return l.Addr().String()
}

// use is a kind of request of a process, with fields and the body of its response.
type use struct {
	name, fields, body string
	do                 func(ctx context.Context, addr string) error
}

func uses() []use {
	client := httpclient.New(httpclient.Options{IdlePerHost: 1})
	engines := platform.NewEngineClient(client, usersTimeout)
	peers := peer.NewClient(client, peer.Keys{"k"})
	return []use{
		{"a load report of an engine", "", `{"running":1}`, func(ctx context.Context, addr string) error {
			_, err := engines.Report(ctx, addr)
			return err
		}},
		{"a copy of a KV cache", "", `{"handle":"h"}`, func(ctx context.Context, addr string) error {
			_, err := engines.Migrate(ctx, addr, gateway.MigrationRequest{RequestID: "r"})
			return err
		}},
		{"the deletion of a copy", "", "ok", func(ctx context.Context, addr string) error {
			_, err := engines.Free(ctx, addr, "h")
			return err
		}},
		{"the time for which an engine is cold", "X-Cold-Ms: 100\r\n", "ok", func(ctx context.Context, addr string) error {
			_, err := engines.Cold(ctx, addr)
			return err
		}},
		{"the slowdown of an engine", "X-Server-Load: 1,1,1,100\r\n", "ok", func(ctx context.Context, addr string) error {
			_, err := engines.Slowdown(ctx, addr)
			return err
		}},
		{"the platform's store", "", `{"key":"k","value":"dg==","revision":1}`, func(ctx context.Context, addr string) error {
			kv, err := platform.NewStore(addr, client, log.NewNopLogger(), usersTimeout, 0).Get(ctx, "k")
			if err == nil && kv == nil {
				return errors.New("no value")
			}
			return err
		}},
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

// Guards against a client of the fleet's processes, or of the platform, that takes a response
// with an invalid head for an answer.
func TestUsersRejectInvalidHeads(t *testing.T) {
	for _, u := range uses() {
		convey.Convey("Of the responses with "+u.name+" only valid ones are answers", t, func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			var text atomic.Value
			addr := serveText(t, &text)
			// The server closes the connection after the response. A client that is not told so
			// may send the next request on it.
			fields := u.fields + "Connection: close\r\n"
			text.Store(platformtest.ValidResponses(fields, u.body)[0].Text)
			convey.So(u.do(ctx, addr), convey.ShouldBeNil)
			var accepted []string
			for _, responses := range [][]platformtest.Response{
				platformtest.InvalidStatusLines(fields, u.body), platformtest.InvalidFields(fields, u.body), platformtest.InvalidFraming(fields, u.body),
			} {
				for _, r := range responses {
					text.Store(r.Text)
					if u.do(ctx, addr) == nil {
						accepted = append(accepted, r.Name)
					}
				}
			}
			convey.So(accepted, convey.ShouldBeEmpty)
		})
	}
}
