package httpserve

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/quetzalglade/quetzalglade/internal/connguard"
)

// Connections holds the states of a server's connections, so that a stop can wait for their
// requests. http.Server.Shutdown alone closes a connection without a response if its request
// is read after the start of the shutdown. The connections must come from a Listener.
// Connections is safe for concurrent use.
type Connections struct {
	mu     sync.Mutex
	states map[net.Conn]connState
}

// connState is the state of a connection.
type connState struct {
	state http.ConnState
	// expired is set once the stop has ended the connection's reads in this state.
	expired bool
}

// NewConnections returns a set without connections.
func NewConnections() *Connections { return &Connections{states: map[net.Conn]connState{}} }

// SetState records the state of a connection; it is a ConnState function of http.Server.
func (c *Connections) SetState(conn net.Conn, state http.ConnState) {
	connguard.SetState(conn, state)
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.states, conn)
		return
	}
	// The request has been read in spite of expireIdle, which may have ended the reads after
	// its header.
	if state == http.StateActive && c.states[conn].expired {
		_ = conn.SetReadDeadline(time.Time{})
	}
	if w := wrapped(conn); w != nil {
		if state == http.StateIdle {
			w.received.Store(false)
		}
		w.idle.Store(state != http.StateActive)
	}
	c.states[conn] = connState{state: state}
}

// wrapped returns the connection of a Listener, nil if netConn is another one.
func wrapped(netConn net.Conn) *conn {
	w, _ := unwrap(netConn).(*conn)
	return w
}

// count returns the number of connections that carry a request, and of those that have not
// sent any data yet or have sent a part of a request's header.
func (c *Connections) count() (active, opened int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, s := range c.states {
		w := wrapped(conn)
		switch {
		case s.state == http.StateActive:
			active++
		case s.state == http.StateNew || w != nil && w.received.Load():
			opened++
		}
	}
	return active, opened
}

// pastDeadline ends reads at once.
var pastDeadline = time.Unix(1, 0)

// expireIdle ends the reads of the connections that carry no request. The server then closes
// those that have no unread data, see conn.Read. A connection that has sent a part of a
// request's header is left out unless parts is set. It returns the number of open connections.
func (c *Connections) expireIdle(parts bool) (open int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, s := range c.states {
		w := wrapped(conn)
		// The server may have replaced the deadline with that of idle connections.
		hasPart := w != nil && w.received.Load()
		replaced := w != nil && !w.readsEnded() && !hasPart
		if s.state == http.StateActive || s.expired && !replaced || hasPart && !parts {
			continue
		}
		_ = conn.SetReadDeadline(pastDeadline)
		c.states[conn] = connState{state: s.state, expired: true}
	}
	return len(c.states)
}

// busy returns the number of connections that carry a request or have unread data.
func (c *Connections) busy() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for conn, s := range c.states {
		if s.state == http.StateActive || readable(conn) {
			n++
		}
	}
	return n
}

// Timing of the wait for requests in a stop.
const (
	connPollPeriod = 5 * time.Millisecond
	// firstRequestTimeout is how long a stop waits for the request of a connection that has
	// been opened, and for the rest of a request's header.
	firstRequestTimeout = time.Second
	// quietPeriod is how long no connection may carry a request before idle ones are closed.
	// A connection counts as idle until the header of its next request has been read.
	quietPeriod = 50 * time.Millisecond
	// lastPhaseTime limits the time before the end of a stop from which on idle connections are
	// closed also while others carry requests: the end of the stop would close a connection
	// whose request has arrived. It is lastPhaseFraction of the time that Close may take.
	lastPhaseTime     = time.Second
	lastPhaseFraction = 1.0 / 8
)

// growSendBuffers enlarges the send buffers of the connections that carry a request. A response
// that is complete then no longer waits for a client that reads slowly: the system delivers it,
// also after the end of the process.
func (c *Connections) growSendBuffers() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, s := range c.states {
		if w := wrapped(conn); w != nil && s.state == http.StateActive {
			w.growSendBuffer()
		}
	}
}

// Close waits until no connection carries a request or is to send its first one, lets the
// server close the connections, and returns once all are closed or ctx ends. It returns the
// number of connections that then still carry a request or have unread data. The listener
// must be closed, and responses must end their connections. Idle connections stay open
// until the last phase of the stop, so that their requests are answered.
func (c *Connections) Close(ctx context.Context) (busy int) {
	startedAt := time.Now()
	busyAt := startedAt
	endsAt, limited := ctx.Deadline()
	lastPhase := min(lastPhaseTime, time.Duration(lastPhaseFraction*float64(endsAt.Sub(startedAt))))
	ticker := time.NewTicker(connPollPeriod)
	defer ticker.Stop()
	for {
		now := time.Now()
		active, opened := c.count()
		if active > 0 || opened > 0 && now.Sub(startedAt) < firstRequestTimeout {
			busyAt = now
		}
		isQuiet := now.Sub(busyAt) >= quietPeriod
		isLast := limited && endsAt.Sub(now) <= lastPhase
		if limited && endsAt.Sub(now) <= endsAt.Sub(startedAt)/2 {
			c.growSendBuffers()
		}
		if (isQuiet || isLast) && c.expireIdle(isQuiet || endsAt.Sub(now) <= lastPhase/2) == 0 {
			return 0
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return c.busy()
		}
	}
}
