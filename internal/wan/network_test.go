package wan

import (
	"context"
	"io"
	"net"
	"testing"
	"time"
)

var (
	home   = Place{Datacentre: "a-1", Region: "a"}
	remote = Place{Datacentre: "b-1", Region: "b"}
)

// echo serves an echo at an ephemeral port of the remote place.
func echo(t *testing.T, n *Network) string {
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
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	n.Register(l.Addr().String(), remote)
	return l.Addr().String()
}

func dial(t *testing.T, n *Network, addr string) net.Conn {
	t.Helper()
	c, err := n.Dialer(home)(context.Background(), "tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func roundTrip(t *testing.T, c net.Conn, size int) time.Duration {
	t.Helper()
	started := time.Now()
	if _, err := c.Write(make([]byte, size)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(c, make([]byte, size)); err != nil {
		t.Fatal(err)
	}
	return time.Since(started)
}

func TestDelayAndBandwidthAreLowerBounds(t *testing.T) {
	const delay, size, bits = 20 * time.Millisecond, 10_000, 800_000.0
	n := New(Distances{Regions: delay, RegionBits: bits})
	c := dial(t, n, echo(t, n))
	transmission := time.Duration(size * 8 / bits * float64(time.Second))
	if got, least := roundTrip(t, c, size), 2*delay+transmission; got < least {
		t.Fatalf("round trip of %v, at least %v expected", got, least)
	}
	bytes := n.CrossRegionBytes()
	if bytes["a>b"] != size || bytes["b>a"] != size {
		t.Fatalf("counted %v", bytes)
	}
}

func TestCutHoldsBytesUntilHeal(t *testing.T) {
	n := New(Distances{Regions: time.Millisecond})
	c := dial(t, n, echo(t, n))
	n.Cut()
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		_, _ = c.Write([]byte("x"))
		_, _ = io.ReadFull(c, make([]byte, 1))
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	if _, err := n.Dialer(home)(ctx, "tcp", addrOf(n)); err == nil {
		t.Fatal("a dial over the cut succeeded")
	}
	select {
	case <-answered:
		t.Fatal("bytes crossed the cut")
	default:
	}
	n.Heal()
	<-answered
}

func addrOf(n *Network) string {
	for a := range n.places {
		return a
	}
	return ""
}
