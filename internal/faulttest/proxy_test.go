package faulttest

import (
	"context"
	"fmt"
	"strings"
	"testing"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// proxy is a fault-injecting TCP proxy in front of one address.
type proxy struct {
	t    *testing.T
	p    *toxiproxy.Proxy
	next int
}

// newProxy starts a proxy; upstream is "ip:port".
func newProxy(t *testing.T, upstream string) *proxy {
	t.Helper()
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(prometheus.NewRegistry()), zerolog.Nop())
	p := toxiproxy.NewProxy(server, "proxy", "127.0.0.1:0", upstream)
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Stop)
	return &proxy{t: t, p: p}
}

// addr is the address to use instead of the upstream's.
func (p *proxy) addr() string { return p.p.Listen }

// cut resets all connections and refuses new ones until restore.
func (p *proxy) cut() { p.p.Stop() }

// restore accepts connections again, on the same address.
func (p *proxy) restore() {
	p.t.Helper()
	if err := p.p.Start(); err != nil {
		p.t.Fatal(err)
	}
}

// toxic adds a fault, for example ("latency", "downstream", `"latency":50`),
// and returns a function that removes it.
func (p *proxy) toxic(kind, stream, attributes string) (remove func()) {
	p.t.Helper()
	p.next++
	name := fmt.Sprintf("%s-%d", kind, p.next)
	text := fmt.Sprintf(`{"name":%q,"type":%q,"stream":%q,"toxicity":1,"attributes":{%s}}`, name, kind, stream, attributes)
	if _, err := p.p.Toxics.AddToxicJson(strings.NewReader(text)); err != nil {
		p.t.Fatal(err)
	}
	return func() { _ = p.p.Toxics.RemoveToxic(context.Background(), name) }
}
