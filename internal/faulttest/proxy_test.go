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

// proxy is a TCP proxy in front of one address that can inject faults.
type proxy struct {
	t          *testing.T
	toxi       *toxiproxy.Proxy
	toxicCount int
}

// newProxy starts a proxy for the upstream address "ip:port".
func newProxy(t *testing.T, upstream string) *proxy {
	t.Helper()
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(prometheus.NewRegistry()), zerolog.Nop())
	toxi := toxiproxy.NewProxy(server, "proxy", "127.0.0.1:0", upstream)
	if err := toxi.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(toxi.Stop)
	return &proxy{t: t, toxi: toxi}
}

// addr returns the address to use instead of the upstream's.
func (p *proxy) addr() string { return p.toxi.Listen }

// disconnect closes all connections and refuses new ones until restore.
func (p *proxy) disconnect() { p.toxi.Stop() }

// restore accepts connections again on the same address.
func (p *proxy) restore() {
	p.t.Helper()
	if err := p.toxi.Start(); err != nil {
		p.t.Fatal(err)
	}
}

// addToxic adds a toxic (toxiproxy's term for a fault on a link), for example
// ("latency", "downstream", `"latency":50`). Downstream is the direction from the
// upstream address to the client. addToxic returns a function that removes the toxic.
func (p *proxy) addToxic(kind, stream, attributes string) (remove func()) {
	p.t.Helper()
	p.toxicCount++
	name := fmt.Sprintf("%s-%d", kind, p.toxicCount)
	toxicJSON := fmt.Sprintf(`{"name":%q,"type":%q,"stream":%q,"toxicity":1,"attributes":{%s}}`, name, kind, stream, attributes)
	if _, err := p.toxi.Toxics.AddToxicJson(strings.NewReader(toxicJSON)); err != nil {
		p.t.Fatal(err)
	}
	return func() { _ = p.toxi.Toxics.RemoveToxic(context.Background(), name) }
}
