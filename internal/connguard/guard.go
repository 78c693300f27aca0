// Package connguard keeps one account of what a process holds for its clients: connections,
// bodies and responses. If the account exceeds its limit, connections are closed in the order
// of decision.ShedClients.
package connguard

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-kit/log"

	"github.com/quetzalglade/quetzalglade/decision"
	"github.com/quetzalglade/quetzalglade/telemetry"
)

// Shares of what a process has.
const (
	// memoryFraction is the part of the VM's memory that may be held for clients. With the
	// 20 MiB that a process needs without clients it stays below the soft limit of the Go
	// runtime, which is at least half of the memory.
	memoryFraction = 0.375
	// minBytes is the least limit, which leaves room for two requests of 4 MiB. It applies below
	// 22 MB, where the process itself takes all of the memory.
	minBytes = 8 << 20
	// reserveFraction is the part of the descriptors that clients leave to the store, other
	// processes and targets, minReserve the least number of them.
	reserveFraction = 0.25
	minReserve      = 32
	bytesPerMB      = 1 << 20
)

// Memory that a connection takes by itself.
const (
	// idleBytes is for a connection without a request: two goroutine stacks and the server's
	// buffers. Measured: 9 KiB with 2,048 silent connections.
	idleBytes = 12 << 10
	// activeBytes is for a connection whose request is read or served, with a head of up to
	// 16 KiB. Measured: 27 KiB with short heads and 40 KiB with such long ones.
	activeBytes = 40 << 10
	// pairedBytes is for the request that is passed on: its header, its connection and the
	// goroutine that sends it.
	pairedBytes = 40 << 10
)

// freedPart is the part of the limit that is free after connections were shed, so that the
// choice is not repeated for each new one.
const freedPart = 1.0 / 16

// Options configure a Guard.
type Options struct {
	// MaxBytes limits the account, MaxConns the connections including those that are opened to
	// others on behalf of clients; 0 for no limit.
	MaxBytes int64
	MaxConns int
	// BodyRate is the least rate of bodies in bytes per second, DefaultBodyRate if 0; below 0
	// there is none.
	BodyRate int64
	Logger   log.Logger
}

// OptionsFor returns the options for a process with the given memory, 0 if unknown, whose
// descriptors RLIMIT_NOFILE limits.
func OptionsFor(memoryMB int, bodyRate int64, logger log.Logger) Options {
	o := Options{BodyRate: bodyRate, Logger: logger}
	if memoryMB > 0 {
		o.MaxBytes = max(minBytes, int64(memoryFraction*float64(memoryMB)*bytesPerMB))
	}
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil || limit.Cur == 0 || limit.Cur > 1<<24 {
		return o
	}
	reserve := max(minReserve, int(reserveFraction*float64(limit.Cur)))
	o.MaxConns = max(1, int(limit.Cur)-reserve)
	return o
}

// Guard is the account of a process. It may be used from any goroutine.
type Guard struct {
	o    Options
	held atomic.Int64
	// closing is what the requests of closed connections held, until they have ended.
	closing atomic.Int64
	paired  atomic.Int64
	shed    atomic.Int64
	slow    atomic.Int64

	mu    sync.Mutex
	conns map[*Conn]struct{}
	// loggedAt and unlogged bound the volume of the log.
	loggedAt time.Time
	unlogged int64
}

// New returns an account without connections.
func New(o Options) *Guard {
	if o.BodyRate == 0 {
		o.BodyRate = DefaultBodyRate
	}
	return &Guard{o: o, conns: map[*Conn]struct{}{}}
}

// Held returns the bytes of the account.
func (g *Guard) Held() int64 { return g.held.Load() }

// Shed returns the number of connections that were closed to keep the limits.
func (g *Guard) Shed() int64 { return g.shed.Load() }

// Slow returns the number of bodies that arrived below the minimum rate.
func (g *Guard) Slow() int64 { return g.slow.Load() }

// Conns returns the number of connections.
func (g *Guard) Conns() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return int64(len(g.conns))
}

// Conn is a connection of a client in an account.
type Conn struct {
	net.Conn
	g        *Guard
	client   string
	openedAt time.Time
	moved    atomic.Int64
	// movedAt is when bytes last moved, in nanoseconds since openedAt.
	movedAt atomic.Int64

	// mu guards what follows. held is what the account holds for the connection.
	mu             sync.Mutex
	held           int64
	active, closed bool
	// running is set while the client can make no progress, paired while the request may use
	// a connection to another process.
	// complete is set from the end of a request's body to the end of the request.
	running, complete, paired bool
	// closing is the connection's part of Guard.closing.
	closing int64
	// waited is set once the request has waited for the memory of closed connections.
	waited bool
	// cancel ends the request in progress, nil if there is none.
	cancel context.CancelFunc
	rate   bodyRate
	// readDeadline is the deadline that the server has set.
	readDeadline time.Time
}

// Add adds a connection to the account, and closes others if it exceeds the limits.
func (g *Guard) Add(c net.Conn) *Conn {
	client, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		client = c.RemoteAddr().String()
	}
	conn := &Conn{Conn: c, g: g, client: client, openedAt: time.Now()}
	g.mu.Lock()
	g.conns[conn] = struct{}{}
	g.mu.Unlock()
	conn.Hold(idleBytes)
	return conn
}

// countMoved counts bytes that the client has sent or read.
func (c *Conn) countMoved(n int) {
	if n > 0 {
		c.moved.Add(int64(n))
		c.movedAt.Store(int64(time.Since(c.openedAt)))
	}
}

// CloseWrite closes the write side of the connection, as net/http does after an early
// response.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Of returns the connection of an account that a server's connection uses, nil if none.
func Of(c net.Conn) *Conn {
	for {
		if conn, ok := c.(*Conn); ok {
			return conn
		}
		below, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = below.NetConn()
	}
}

type contextKey struct{}

// Context is a ConnContext function of http.Server.
func Context(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, Of(c))
}

// FromContext returns the connection of a request, nil if it is in no account. All methods
// that handlers need accept nil.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}

// Hold adds bytes, which may be negative, to what is held for the connection, and closes
// connections if the account exceeds its limits.
func (c *Conn) Hold(bytes int64) {
	if c.HoldQuietly(bytes); c != nil && bytes > 0 {
		c.g.enforce()
	}
}

// Wait for the memory of closed connections, which is free only when their requests have
// ended. The wait is short, since it holds up a sound request too.
const (
	// closingPart is the part of the limit that they may hold without a wait.
	closingPart   = 1.0 / 16
	closingWait   = 100 * time.Millisecond
	closingPeriod = 2 * time.Millisecond
)

// awaitClosing waits while the requests of closed connections hold much, once for each request.
func (c *Conn) awaitClosing() {
	c.mu.Lock()
	waited := c.waited
	c.waited = true
	c.mu.Unlock()
	if waited {
		return
	}
	for end := time.Now().Add(closingWait); c.g.closing.Load() > int64(closingPart*float64(c.g.o.MaxBytes)); time.Sleep(closingPeriod) {
		if c.g.o.MaxBytes == 0 || c.isClosed() || time.Now().After(end) {
			return
		}
	}
}

func (c *Conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// HoldQuietly is like Hold without closing any connection, for callers that hold locks.
func (c *Conn) HoldQuietly(bytes int64) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.add(bytes)
}

// add changes what is held. Of a closed connection nothing counts. The caller holds mu.
func (c *Conn) add(bytes int64) {
	if c.closed {
		return
	}
	c.held += bytes
	c.g.held.Add(bytes)
}

// beginRunning records that the process works on the complete request of the connection, with
// a connection to another process if paired is set.
func (c *Conn) beginRunning(paired bool) {
	c.mu.Lock()
	if !c.closed {
		if paired && !c.paired {
			c.add(pairedBytes)
			c.g.paired.Add(1)
		}
		c.running, c.complete, c.paired = true, true, c.paired || paired
	}
	c.mu.Unlock()
	c.g.enforce()
}

// setWriting records whether a write is in progress. Meanwhile the client owes progress: one
// that does not read its response is not counted as running.
func (c *Conn) setWriting(writing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running = c.complete && !writing
}

// beginRequest records a request and returns its context, which the close of the connection
// ends. The server notices a close itself only while it reads the connection.
func (c *Conn) beginRequest(ctx context.Context) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waited = false
	if c.cancel = cancel; c.closed {
		cancel()
	}
	return ctx
}

// endRequest records that the request of the connection has ended.
func (c *Conn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.g.closing.Add(-c.closing)
	c.closing = 0
	c.unpair()
	if c.cancel != nil {
		c.cancel()
		c.cancel = nil
	}
}

// unpair ends the count of the connection to another process. The caller holds mu.
func (c *Conn) unpair() {
	if c.paired {
		c.add(-pairedBytes)
		c.g.paired.Add(-1)
	}
	c.running, c.complete, c.paired = false, false, false
}

// setActive records whether the connection carries a request.
func (c *Conn) setActive(active bool) {
	c.mu.Lock()
	changed := c.active != active
	c.active = active
	switch {
	case changed && active:
		c.add(activeBytes - idleBytes)
	case changed:
		c.add(idleBytes - activeBytes)
	}
	c.mu.Unlock()
	if changed && active {
		c.g.enforce()
	}
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.setWriting(true)
	n, err := c.Conn.Write(p)
	c.countMoved(n)
	c.setWriting(false)
	return n, err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mu.Lock()
	if !c.closed {
		if c.cancel != nil {
			c.closing = c.held
			c.g.closing.Add(c.closing)
			c.cancel()
		}
		c.unpair()
		c.add(-c.held)
		c.closed = true
	}
	c.mu.Unlock()
	c.g.mu.Lock()
	delete(c.g.conns, c)
	c.g.mu.Unlock()
	return c.Conn.Close()
}

// NetConn returns the connection below.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// SetState is a ConnState function of http.Server.
func SetState(c net.Conn, state http.ConnState) {
	if conn := Of(c); conn != nil && state == http.StateIdle {
		conn.endBody()
		conn.setActive(false)
	}
}

// enforce closes connections while the account exceeds its limits.
func (g *Guard) enforce() {
	if g.o.MaxBytes == 0 && g.o.MaxConns == 0 {
		return
	}
	g.mu.Lock()
	bytes, count := g.excess()
	if bytes <= 0 && count <= 0 {
		g.mu.Unlock()
		return
	}
	victims := g.choose(bytes, count)
	g.mu.Unlock()
	for _, c := range victims {
		_ = c.Close()
	}
	g.shed.Add(int64(len(victims)))
	g.log(len(victims), bytes, count)
}

// excess returns what must be freed, with freedPart more than is needed. The caller holds mu.
func (g *Guard) excess() (bytes int64, count int) {
	if held := g.held.Load(); g.o.MaxBytes > 0 && held > g.o.MaxBytes {
		bytes = held - g.o.MaxBytes + int64(freedPart*float64(g.o.MaxBytes))
	}
	if open := len(g.conns) + int(g.paired.Load()); g.o.MaxConns > 0 && open > g.o.MaxConns {
		count = open - g.o.MaxConns + int(freedPart*float64(g.o.MaxConns))
	}
	return bytes, count
}

// choose returns the connections to close. The caller holds mu.
func (g *Guard) choose(bytes int64, count int) []*Conn {
	now := time.Now()
	conns := make([]*Conn, 0, len(g.conns))
	states := make([]decision.ClientConn, 0, len(g.conns))
	for c := range g.conns {
		conns = append(conns, c)
		c.mu.Lock()
		age := now.Sub(c.openedAt)
		states = append(states, decision.ClientConn{
			Client: c.client, Held: c.held, Moved: c.moved.Load(), Age: age, Idle: age - time.Duration(c.movedAt.Load()), Running: c.running,
		})
		c.mu.Unlock()
	}
	var victims []*Conn
	for _, i := range decision.ShedClients(states, g.o.MaxBytes, bytes, count) {
		victims = append(victims, conns[i])
	}
	return victims
}

// logPeriod is the least time between two log lines about closed connections.
const logPeriod = time.Second

func (g *Guard) log(count int, bytes int64, conns int) {
	g.mu.Lock()
	g.unlogged += int64(count)
	now := time.Now()
	if now.Sub(g.loggedAt) < logPeriod {
		g.mu.Unlock()
		return
	}
	total, open := g.unlogged, len(g.conns)
	g.loggedAt, g.unlogged = now, 0
	g.mu.Unlock()
	telemetry.Warn(g.o.Logger, "closed clients' connections", "connections", total, "excess_bytes", bytes, "excess_connections", conns,
		"held", g.held.Load(), "limit", g.o.MaxBytes, "open", open, "max_open", g.o.MaxConns)
}

// RegisterGauges registers the figures of the account.
func (g *Guard) RegisterGauges(register func(name, help string, value func() int64)) {
	register("client_bytes", "Bytes that are held for clients: connections, bodies and responses.", g.Held)
	register("client_connections", "Open connections of clients.", g.Conns)
	register("client_connections_shed", "Connections that were closed for the memory or the descriptors.", g.Shed)
	register("client_bodies_slow", "Bodies that arrived below the minimum rate.", g.Slow)
}
