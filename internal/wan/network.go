// Package wan imitates the distance between places inside one program: dialled
// connections deliver their bytes after a one-way delay, share the bandwidth of
// a narrow link, and are counted. It serves measurements and tests.
package wan

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Place is where a process runs.
type Place struct {
	Datacentre string
	Region     string
}

// Distances are one-way delays and the bandwidth between regions.
type Distances struct {
	// Datacentres and Regions are the delays between data centres of a region
	// and between regions.
	Datacentres time.Duration
	Regions     time.Duration
	// RegionBits is the bandwidth between two regions each way, in bits per
	// second; 0 is unlimited.
	RegionBits float64
}

// Network knows where addresses are. It is safe for concurrent use.
type Network struct {
	dist Distances

	mu     sync.Mutex
	places map[string]Place
	links  map[direction]*link
	cut    chan struct{}
}

// direction is one way between two regions.
type direction struct{ from, to string }

// New returns a network without addresses.
func New(dist Distances) *Network {
	return &Network{dist: dist, places: map[string]Place{}, links: map[direction]*link{}}
}

// Register places an address, "ip:port".
func (n *Network) Register(addr string, p Place) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.places[addr] = p
}

// Cut stops all bytes between regions until Heal; connections stay open.
func (n *Network) Cut() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut == nil {
		n.cut = make(chan struct{})
	}
}

// Heal ends a cut.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut != nil {
		close(n.cut)
		n.cut = nil
	}
}

// CrossRegionBytes returns the bytes sent between regions so far, by
// "from>to".
func (n *Network) CrossRegionBytes() map[string]int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := map[string]int64{}
	for d, l := range n.links {
		out[d.from+">"+d.to] = l.sent()
	}
	return out
}

// Dialer returns a dial function for a process at the given place.
func (n *Network) Dialer(from Place) func(ctx context.Context, network, addr string) (net.Conn, error) {
	dialer := &net.Dialer{}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		to, ok := n.place(addr)
		if !ok || from.Datacentre == to.Datacentre {
			return dialer.DialContext(ctx, network, addr)
		}
		out, back := n.path(from, to), n.path(to, from)
		if err := out.handshake(ctx, back); err != nil {
			return nil, errors.Wrap(err, "dial")
		}
		conn, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return newConn(conn, out, back), nil
	}
}

func (n *Network) place(addr string) (Place, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p, ok := n.places[addr]
	return p, ok
}

// path is one way between two places.
type path struct {
	network *Network
	delay   time.Duration
	// link is nil inside a region.
	link *link
}

func (n *Network) path(from, to Place) path {
	if from.Region == to.Region {
		return path{network: n, delay: n.dist.Datacentres}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	d := direction{from: from.Region, to: to.Region}
	l := n.links[d]
	if l == nil {
		l = &link{bits: n.dist.RegionBits}
		n.links[d] = l
	}
	return path{network: n, delay: n.dist.Regions, link: l}
}

// arrival returns when size bytes sent now arrive.
func (p path) arrival(size int) time.Time {
	now := time.Now()
	if p.link != nil {
		now = p.link.transmit(now, size)
	}
	return now.Add(p.delay)
}

// open waits while the path is cut; it reports false if done ends first.
func (p path) open(done <-chan struct{}) bool {
	if p.link == nil {
		return true
	}
	p.network.mu.Lock()
	cut := p.network.cut
	p.network.mu.Unlock()
	if cut == nil {
		return true
	}
	select {
	case <-cut:
		return true
	case <-done:
		return false
	}
}

// handshake takes the time of a connection's first round trip.
func (p path) handshake(ctx context.Context, back path) error {
	if !p.open(ctx.Done()) {
		return ctx.Err()
	}
	timer := time.NewTimer(p.delay + back.delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// link is the shared bandwidth of one direction between regions.
type link struct {
	bits float64

	mu    sync.Mutex
	bytes int64
	free  time.Time
}

func (l *link) transmit(now time.Time, size int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytes += int64(size)
	if l.bits == 0 {
		return now
	}
	if l.free.Before(now) {
		l.free = now
	}
	const bitsPerByte = 8
	l.free = l.free.Add(time.Duration(float64(size) * bitsPerByte / l.bits * float64(time.Second)))
	return l.free
}

func (l *link) sent() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes
}
