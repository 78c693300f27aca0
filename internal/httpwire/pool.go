package httpwire

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Pool keeps idle connections by address. It may be used from any goroutine.
type Pool struct {
	dialer  net.Dialer
	maxIdle int
	mu      sync.Mutex
	idle    map[string][]*Conn
}

// PoolOptions configure the connections of a pool.
type PoolOptions struct {
	// DialTimeout limits the time to open a connection.
	DialTimeout time.Duration
	// UserTimeout is how long sent data may remain unacknowledged before the
	// connection fails (TCP_USER_TIMEOUT); 0 keeps the system's default.
	UserTimeout time.Duration
	// MaxIdle is the maximum number of idle connections per address.
	MaxIdle int
}

// keepAliveProbes is the number of unanswered keep-alive probes, sent one second
// apart, after which a connection fails.
const keepAliveProbes = 3

// readBufferBytes is the size of a connection's read buffer, enough for a few
// server-sent events.
const readBufferBytes = 4 << 10

// NewPool returns an empty pool.
func NewPool(o PoolOptions) *Pool {
	keepAlive := net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: keepAliveProbes}
	return &Pool{
		dialer:  net.Dialer{Timeout: o.DialTimeout, KeepAliveConfig: keepAlive, Control: userTimeoutControl(o.UserTimeout)},
		maxIdle: o.MaxIdle,
		idle:    map[string][]*Conn{},
	}
}

// userTimeoutControl returns a dialer control function that sets TCP_USER_TIMEOUT
// to d, or nil if d is 0.
func userTimeoutControl(d time.Duration) func(string, string, syscall.RawConn) error {
	if d == 0 {
		return nil
	}
	return func(_, _ string, raw syscall.RawConn) error {
		var sockoptErr error
		err := raw.Control(func(fd uintptr) {
			sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return sockoptErr
	}
}

// Get returns an idle connection to addr or opens a new one. If it fails,
// nothing was sent.
func (p *Pool) Get(ctx context.Context, addr string) (*Conn, error) {
	now := time.Now()
	for {
		c := p.popIdle(addr)
		if c == nil {
			return p.dial(ctx, addr)
		}
		if now.Before(c.expires) && c.isIdle() {
			return c, nil
		}
		c.Close()
	}
}

// DialNew opens a new connection to addr without using an idle one.
func (p *Pool) DialNew(ctx context.Context, addr string) (*Conn, error) { return p.dial(ctx, addr) }

func (p *Pool) dial(ctx context.Context, addr string) (*Conn, error) {
	netConn, err := p.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	input := &headReader{r: netConn}
	return &Conn{net: netConn, input: input, reader: bufio.NewReaderSize(input, readBufferBytes), addr: addr}, nil
}

func (p *Pool) popIdle(addr string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[addr]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	p.idle[addr] = conns[:len(conns)-1]
	return c
}

// Put adds a connection to the pool for reuse within ttl. It closes the
// connection if the pool already holds MaxIdle connections to its address.
func (p *Pool) Put(c *Conn, ttl time.Duration) {
	c.reused = true
	c.expires = time.Now().Add(ttl)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.addr]) >= p.maxIdle {
		c.Close()
		return
	}
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// Prune closes the idle connections that have expired.
func (p *Pool) Prune() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now.Before(c.expires) {
				kept = append(kept, c)
				continue
			}
			c.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, addr)
			continue
		}
		p.idle[addr] = kept
	}
}
