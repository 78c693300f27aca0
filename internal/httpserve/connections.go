package httpserve

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Connections holds the states of a server's connections, so that a stop can wait for their
// requests. http.Server.Shutdown alone closes a connection without a response if its request
// is read after the start of the shutdown. Connections is safe for concurrent use.
type Connections struct {
	mu     sync.Mutex
	states map[net.Conn]http.ConnState
}

// NewConnections returns a set without connections.
func NewConnections() *Connections { return &Connections{states: map[net.Conn]http.ConnState{}} }

// SetState records the state of a connection; it is a ConnState function of http.Server.
func (c *Connections) SetState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.states, conn)
		return
	}
	c.states[conn] = state
}

// count returns the number of connections that carry a request, and of those that have not
// sent any data yet.
func (c *Connections) count() (active, opened int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, state := range c.states {
		switch state {
		case http.StateActive:
			active++
		case http.StateNew:
			opened++
		}
	}
	return active, opened
}

// Timing of the wait for requests in a stop.
const (
	connPollPeriod = 5 * time.Millisecond
	// firstRequestTimeout is how long a stop waits for the request of a connection that has
	// been opened.
	firstRequestTimeout = time.Second
	// quietPeriod is how long no connection may carry a request before the wait ends. A
	// connection counts as idle until the header of its next request has been read.
	quietPeriod = 50 * time.Millisecond
)

// Wait waits until no connection carries a request or is to send its first one, or until
// ctx ends. The listener must be closed, and responses must end their connections. Idle
// connections must stay open meanwhile: one whose request is being read would be closed
// although the request is served.
func (c *Connections) Wait(ctx context.Context) {
	startedAt := time.Now()
	busyAt := startedAt
	ticker := time.NewTicker(connPollPeriod)
	defer ticker.Stop()
	for {
		now := time.Now()
		active, opened := c.count()
		if active > 0 || opened > 0 && now.Sub(startedAt) < firstRequestTimeout {
			busyAt = now
		}
		if now.Sub(busyAt) >= quietPeriod {
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
