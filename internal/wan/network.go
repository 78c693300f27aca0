// Package wan simulates the network between locations inside one process:
// dialled connections deliver their bytes after a one-way delay, share the
// bandwidth of the links between regions, and count the bytes that they send
// over these links. It is used by measurements and tests.
package wan

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Location identifies the data centre and the region of a process.
type Location struct {
	Datacentre string
	Region     string
}

// Distances are the one-way delays between locations and the bandwidth between
// regions.
type Distances struct {
	// DatacentreDelay is the one-way delay between two data centres of a region.
	DatacentreDelay time.Duration
	// RegionDelay is the one-way delay between two regions.
	RegionDelay time.Duration
	// RegionBitsPerSecond is the bandwidth between two regions in each direction;
	// 0 is unlimited.
	RegionBitsPerSecond float64
}

// Network simulates the paths between the locations of registered addresses. It
// is safe for concurrent use.
type Network struct {
	distances Distances

	mu        sync.Mutex
	locations map[string]Location
	links     map[direction]*link
	// healed is closed when the partition ends; nil means no partition.
	healed chan struct{}
}

// direction is an ordered pair of regions.
type direction struct{ from, to string }

// New returns a network without registered addresses.
func New(distances Distances) *Network {
	return &Network{distances: distances, locations: map[string]Location{}, links: map[direction]*link{}}
}

// Register sets the location of an address of the form "ip:port".
func (n *Network) Register(addr string, location Location) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.locations[addr] = location
}

// Partition starts a partition between all regions: bytes from one region to another are
// not delivered until Heal. Connections stay open.
func (n *Network) Partition() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.healed == nil {
		n.healed = make(chan struct{})
	}
}

// Heal ends the partition and delivers the delayed bytes.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.healed != nil {
		close(n.healed)
		n.healed = nil
	}
}

// CrossRegionBytes returns the number of bytes sent between regions so far by
// direction, in the form "from>to".
func (n *Network) CrossRegionBytes() map[string]int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	byDirection := map[string]int64{}
	for dir, l := range n.links {
		byDirection[dir.from+">"+dir.to] = l.totalSentBytes()
	}
	return byDirection
}

// Dialer returns a dial function for a process at the given location.
// Connections within a data centre and to unregistered addresses are not
// delayed.
func (n *Network) Dialer(from Location) func(ctx context.Context, network, addr string) (net.Conn, error) {
	dialer := &net.Dialer{}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		to, ok := n.locationOf(addr)
		if !ok || from.Datacentre == to.Datacentre {
			return dialer.DialContext(ctx, network, addr)
		}
		outbound, inbound := n.path(from, to), n.path(to, from)
		if err := outbound.handshake(ctx, inbound); err != nil {
			return nil, errors.Wrap(err, "dial")
		}
		conn, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return newConn(conn, outbound, inbound), nil
	}
}

func (n *Network) locationOf(addr string) (Location, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	location, ok := n.locations[addr]
	return location, ok
}

// path is the way from one location to another.
type path struct {
	network *Network
	delay   time.Duration
	// link is nil inside a region.
	link *link
}

// path returns the path between two locations in different data centres.
func (n *Network) path(from, to Location) path {
	if from.Region == to.Region {
		return path{network: n, delay: n.distances.DatacentreDelay}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	d := direction{from: from.Region, to: to.Region}
	l := n.links[d]
	if l == nil {
		l = &link{bitsPerSecond: n.distances.RegionBitsPerSecond}
		n.links[d] = l
	}
	return path{network: n, delay: n.distances.RegionDelay, link: l}
}

// arrivalTime returns the time at which size bytes that are sent now arrive.
func (p path) arrivalTime(size int) time.Time {
	now := time.Now()
	if p.link != nil {
		now = p.link.transmit(now, size)
	}
	return now.Add(p.delay)
}

// waitOpen blocks while the regions of the path are partitioned. It returns false
// if done is closed first.
func (p path) waitOpen(done <-chan struct{}) bool {
	if p.link == nil {
		return true
	}
	p.network.mu.Lock()
	healed := p.network.healed
	p.network.mu.Unlock()
	if healed == nil {
		return true
	}
	select {
	case <-healed:
		return true
	case <-done:
		return false
	}
}

// handshake waits as long as the TCP handshake of a new connection takes: until a
// partition ends, then one round trip.
func (p path) handshake(ctx context.Context, inbound path) error {
	if !p.waitOpen(ctx.Done()) {
		return ctx.Err()
	}
	timer := time.NewTimer(p.delay + inbound.delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// link is the shared bandwidth of one direction between two regions.
type link struct {
	bitsPerSecond float64

	mu        sync.Mutex
	sentBytes int64
	// freeAt is the time at which the link has sent all bytes queued so far.
	freeAt time.Time
}

// transmit queues size bytes on the link and returns the time at which the link
// has sent them.
func (l *link) transmit(now time.Time, size int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sentBytes += int64(size)
	if l.bitsPerSecond == 0 {
		return now
	}
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	const bitsPerByte = 8
	l.freeAt = l.freeAt.Add(time.Duration(float64(size) * bitsPerByte / l.bitsPerSecond * float64(time.Second)))
	return l.freeAt
}

func (l *link) totalSentBytes() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sentBytes
}
