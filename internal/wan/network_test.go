package wan

import (
	"context"
	"io"
	"net"
	"testing"
	"time"
)

var (
	local  = Location{Datacentre: "a-1", Region: "a"}
	remote = Location{Datacentre: "b-1", Region: "b"}
)

// startEchoServer starts an echo server on an ephemeral port at the remote
// location and returns its address.
func startEchoServer(t *testing.T, n *Network) string {
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

func dialFromLocal(t *testing.T, n *Network, addr string) net.Conn {
	t.Helper()
	c, err := n.Dialer(local)(context.Background(), "tcp", addr)
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

// TestDelayAndBandwidthAreLowerBounds guards against a simulated network that is
// faster than configured or counts the wrong number of cross-region bytes. The round
// trip of a message takes the delay in both directions and at least one transmission
// at the bandwidth of the link.
func TestDelayAndBandwidthAreLowerBounds(t *testing.T) {
	const delay, size, bitsPerSecond = 20 * time.Millisecond, 10_000, 800_000.0
	n := New(Distances{RegionDelay: delay, RegionBitsPerSecond: bitsPerSecond})
	c := dialFromLocal(t, n, startEchoServer(t, n))
	transmission := time.Duration(size * 8 / bitsPerSecond * float64(time.Second))
	if got, want := roundTrip(t, c, size), 2*delay+transmission; got < want {
		t.Fatalf("round trip took %v, want at least %v", got, want)
	}
	sentBytes := n.CrossRegionBytes()
	if sentBytes["a>b"] != size || sentBytes["b>a"] != size {
		t.Fatalf("cross-region bytes %v, want the size of the message in each direction", sentBytes)
	}
}

// TestCutHoldsBytesUntilHeal guards against a partition that lets new connections or
// bytes of open ones pass, and against bytes that are lost when it ends.
func TestCutHoldsBytesUntilHeal(t *testing.T) {
	n := New(Distances{RegionDelay: time.Millisecond})
	c := dialFromLocal(t, n, startEchoServer(t, n))
	n.Partition()
	echoed := make(chan struct{})
	go func() {
		defer close(echoed)
		_, _ = c.Write([]byte("x"))
		_, _ = io.ReadFull(c, make([]byte, 1))
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	if _, err := n.Dialer(local)(ctx, "tcp", anyAddr(n)); err == nil {
		t.Fatal("a dial between partitioned regions succeeded")
	}
	select {
	case <-echoed:
		t.Fatal("bytes passed between partitioned regions")
	default:
	}
	n.Heal()
	<-echoed
}

func anyAddr(n *Network) string {
	for a := range n.locations {
		return a
	}
	return ""
}
