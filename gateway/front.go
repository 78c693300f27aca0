package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/quetzalglade/quetzalglade/routing"
)

// Limits of clients before a configuration is known.
const (
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 4 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	// readyTimeout bounds a question of the balancer.
	readyTimeout = time.Second
)

// front accepts client connections. Each connection is served under the limits
// in force when it was opened.
type front struct {
	g       *Gateway
	mu      sync.Mutex
	limits  routing.Limits
	current *handoff
	servers []*http.Server
	closed  chan struct{}
}

// handoff is a listener that is given connections by the front.
type handoff struct {
	addr  net.Addr
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

// Accept implements net.Listener.
func (h *handoff) Accept() (net.Conn, error) {
	select {
	case c := <-h.conns:
		return c, nil
	case <-h.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (h *handoff) Close() error {
	h.once.Do(func() { close(h.done) })
	return nil
}

// Addr implements net.Listener.
func (h *handoff) Addr() net.Addr { return h.addr }

func newFront(g *Gateway) *front { return &front{g: g, closed: make(chan struct{})} }

// serve accepts connections until the listener is closed.
func (f *front) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			select {
			case <-f.closed:
				return
			case <-time.After(acceptPause):
				continue
			}
		}
		h := f.handoff(l.Addr())
		select {
		case h.conns <- c:
		case <-h.done:
			_ = c.Close()
		}
	}
}

// acceptPause follows a failed accept, such as for want of descriptors.
const acceptPause = 20 * time.Millisecond

// handoff returns the listener of the server for the limits in force.
func (f *front) handoff(addr net.Addr) *handoff {
	limits := f.g.limits()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current != nil && f.limits == limits {
		return f.current
	}
	h := &handoff{addr: addr, conns: make(chan net.Conn), done: make(chan struct{})}
	s := &http.Server{
		Handler: f.g, ReadHeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout, MaxHeaderBytes: limits.HeaderBytes,
	}
	f.limits, f.current = limits, h
	f.servers = append(f.servers, s)
	go f.g.listen("front", s, h)
	return h
}

// shutdown closes the listener and idle connections and waits for the requests
// in progress until ctx ends.
func (f *front) shutdown(ctx context.Context) {
	close(f.closed)
	_ = f.g.o.Front.Close()
	f.mu.Lock()
	servers := f.servers
	f.mu.Unlock()
	var wg sync.WaitGroup
	for _, s := range servers {
		wg.Go(func() {
			if err := s.Shutdown(ctx); err != nil {
				_ = s.Close()
			}
		})
	}
	wg.Wait()
}

// limits returns the limits of clients in force.
func (g *Gateway) limits() routing.Limits {
	l := routing.Limits{
		HeaderBytes: defaultHeaderBytes, BodyBytes: defaultBodyBytes, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
	}
	t := g.table.Load()
	if t == nil {
		return l
	}
	if t.Limits.HeaderBytes > 0 {
		l.HeaderBytes = t.Limits.HeaderBytes
	}
	if t.Limits.BodyBytes > 0 {
		l.BodyBytes = t.Limits.BodyBytes
	}
	if t.Limits.HeaderTimeout > 0 {
		l.HeaderTimeout = t.Limits.HeaderTimeout
	}
	if t.Limits.IdleTimeout > 0 {
		l.IdleTimeout = t.Limits.IdleTimeout
	}
	return l
}

// readyHandler answers the balancer: ready means that requests can be routed.
func (g *Gateway) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(g.o.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !g.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

func (g *Gateway) ready() bool {
	return !g.stopping.Load() && g.table.Load() != nil && len(g.targets.View().All()) > 0
}
