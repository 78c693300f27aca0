package httpserve

import (
	"crypto/tls"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/internal/connguard"
)

// Listener is a net.Listener for a server whose stop loses no connection: it accepts those
// that clients have opened before it closes, and its connections can be passed to
// Connections.
type Listener struct {
	net.Listener
	tlsConfig *tls.Config
	guard     *connguard.Guard
	stopOnce  sync.Once
	// stopping is closed at the start of the stop.
	stopping chan struct{}
	// searched is how long acceptOpened has searched for opened connections, not counting
	// time in which the process did not run; searchedAt is when it was last updated.
	searched   time.Duration
	searchedAt time.Time
}

// NewListener returns a listener that accepts the connections of l and closes it. The
// connections use TLS if tlsConfig is not nil.
func NewListener(l net.Listener, tlsConfig *tls.Config) *Listener {
	return &Listener{Listener: l, tlsConfig: tlsConfig, stopping: make(chan struct{})}
}

// SetGuard makes the listener add its connections to an account. It must be called before
// Accept.
func (l *Listener) SetGuard(g *connguard.Guard) { l.guard = g }

// Stop makes Accept return the connections that have been opened, close the listener and
// then return net.ErrClosed. It does not wait for that.
func (l *Listener) Stop() {
	l.stopOnce.Do(func() {
		close(l.stopping)
		if tcp, ok := l.Listener.(*net.TCPListener); !ok || tcp.SetDeadline(time.Now()) != nil {
			_ = l.Close()
		}
	})
}

// Accept implements net.Listener. After Stop it must be called from one goroutine only.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		select {
		case <-l.stopping:
			c, err = l.acceptOpened()
		default:
		}
	}
	if err != nil {
		return nil, err
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		c = &conn{TCPConn: tcp}
	}
	if l.guard != nil {
		c = l.guard.Add(c)
	}
	if l.tlsConfig != nil {
		c = tls.Server(c, l.tlsConfig)
	}
	return c, nil
}

// Limits of the search for connections that have been opened.
const (
	// An Accept that fails after lastAcceptPeriod shows that no connection waits, unless
	// the process did not run meanwhile. So many in a row end the search.
	lastAcceptPeriod = 10 * time.Millisecond
	lastAccepts      = 3
	// maxSearchTime limits the search while clients go on opening connections. It then ends once
	// no connection waits, or after maxLastSearchTime if they can't be accepted, for example when
	// the process is out of file descriptors.
	maxSearchTime     = 300 * time.Millisecond
	maxLastSearchTime = 100 * time.Millisecond
)

// acceptOpened accepts a connection that has been opened: the close of the listener would
// reset it. If there is none, it closes the listener.
func (l *Listener) acceptOpened() (net.Conn, error) {
	tcp, ok := l.Listener.(*net.TCPListener)
	if !ok {
		return nil, net.ErrClosed
	}
	for failed := 0; ; failed++ {
		l.countSearchTime()
		if l.searched >= maxSearchTime+maxLastSearchTime || (l.searched >= maxSearchTime || failed >= lastAccepts) && !readable(tcp) {
			break
		}
		if tcp.SetDeadline(time.Now().Add(lastAcceptPeriod)) != nil {
			break
		}
		c, err := tcp.Accept()
		if err == nil {
			return c, nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			time.Sleep(lastAcceptPeriod)
		}
	}
	_ = l.Close()
	return nil, net.ErrClosed
}

// countSearchTime adds the time since its last call to searched.
func (l *Listener) countSearchTime() {
	now := time.Now()
	if !l.searchedAt.IsZero() {
		l.searched += min(now.Sub(l.searchedAt), lastAcceptPeriod)
	}
	l.searchedAt = now
}
