package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/internal/connguard"
	"github.com/quetzalglade/quetzalglade/internal/httpserve"
	"github.com/quetzalglade/quetzalglade/routing"
)

// Default limits for clients, used where the configuration sets none or is not
// available yet, and the limit for the load balancer and other gateways.
const (
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 4 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	// internalHeaderTimeout limits the time to read the header of a request from
	// the load balancer or another gateway.
	internalHeaderTimeout = time.Second
	// internalIdleTimeout and internalHeaderBytes limit idle connections and heads of the load
	// balancer and other gateways, whose heads take less than 1 KiB.
	internalIdleTimeout = 2 * time.Minute
	internalHeaderBytes = 8 << 10
)

// internalServer returns a server for the load balancer or other gateways.
func (g *Gateway) internalServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: connguard.Handler(handler, 1, false), ReadHeaderTimeout: internalHeaderTimeout, IdleTimeout: internalIdleTimeout, MaxHeaderBytes: internalHeaderBytes,
		ConnState: connguard.SetState, ConnContext: connguard.Context,
	}
}

// frontend accepts client connections. Each connection is served under the
// limits that were in force when it was accepted, by the HTTP server of these
// limits.
type frontend struct {
	g  *Gateway
	mu sync.Mutex
	// limits and listener belong to the newest server.
	limits   routing.Limits
	listener *handoffListener
	// servers holds the newest server and all earlier ones, which still serve the
	// connections accepted under earlier limits.
	servers []*http.Server
	// clients is the listener for clients; accepting is closed when serve has returned.
	clients   *httpserve.Listener
	accepting chan struct{}
	conns     *httpserve.Connections
}

// handoffListener is a net.Listener that returns the connections that the
// frontend hands over to it.
type handoffListener struct {
	addr      net.Addr
	conns     chan net.Conn
	done      chan struct{}
	closeOnce sync.Once
}

// Accept implements net.Listener.
func (h *handoffListener) Accept() (net.Conn, error) {
	select {
	case c := <-h.conns:
		return c, nil
	case <-h.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (h *handoffListener) Close() error {
	h.closeOnce.Do(func() { close(h.done) })
	return nil
}

// Addr implements net.Listener.
func (h *handoffListener) Addr() net.Addr { return h.addr }

func newFrontend(g *Gateway) *frontend {
	clients := httpserve.NewListener(g.opts.ClientListener, nil)
	clients.SetGuard(g.guard)
	return &frontend{g: g, clients: clients, accepting: make(chan struct{}), conns: httpserve.NewConnections()}
}

// serve accepts connections until shutdown is called and passes each to the HTTP
// server that enforces the limits currently in force.
func (f *frontend) serve() {
	defer close(f.accepting)
	for {
		c, err := f.clients.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		f.handOver(c)
	}
}

// handOver passes a connection to the HTTP server that enforces the limits currently in
// force.
func (f *frontend) handOver(c net.Conn) {
	h := f.currentListener(f.clients.Addr())
	f.conns.SetState(c, http.StateNew)
	select {
	case h.conns <- c:
	case <-h.done:
		f.conns.SetState(c, http.StateClosed)
		_ = c.Close()
	}
}

// acceptRetryDelay is the delay after a failed accept, for example when the
// process is out of file descriptors.
const acceptRetryDelay = 20 * time.Millisecond

// currentListener returns the listener of the server that applies the limits in
// force. It starts a new server for the first connection and after a change of
// the limits.
func (f *frontend) currentListener(addr net.Addr) *handoffListener {
	limits := f.g.clientLimits()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listener != nil && f.limits == limits {
		return f.listener
	}
	h := &handoffListener{addr: addr, conns: make(chan net.Conn), done: make(chan struct{})}
	s := &http.Server{
		Handler: httpserve.ResetCut(connguard.Handler(f.g, 0, true)), ReadHeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout, MaxHeaderBytes: limits.MaxHeaderBytes,
		ConnState: f.conns.SetState, ConnContext: connguard.Context,
	}
	f.limits, f.listener = limits, h
	f.servers = append(f.servers, s)
	go f.g.serveListener("front", s, h)
	return h
}

// shutdown closes the listener and idle connections and waits for active
// requests until ctx ends. It then closes the remaining connections and returns the number
// of those that carried a request or had unread data.
func (f *frontend) shutdown(ctx context.Context) (busy int) {
	f.clients.Stop()
	select {
	case <-f.accepting:
	case <-ctx.Done():
		_ = f.clients.Close()
	}
	f.mu.Lock()
	servers := f.servers
	f.mu.Unlock()
	busy = f.conns.Close(ctx)
	var wg sync.WaitGroup
	for _, s := range servers {
		wg.Go(func() {
			if err := s.Shutdown(ctx); err != nil {
				_ = s.Close()
			}
		})
	}
	wg.Wait()
	return busy
}

// clientLimits returns the limits for clients that are in force.
func (g *Gateway) clientLimits() routing.Limits {
	l := routing.Limits{
		MaxHeaderBytes: defaultHeaderBytes, MaxBodyBytes: defaultBodyBytes, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
	}
	t := g.table.Load()
	if t == nil {
		return l
	}
	if t.Limits.MaxHeaderBytes > 0 {
		l.MaxHeaderBytes = t.Limits.MaxHeaderBytes
	}
	if t.Limits.MaxBodyBytes > 0 {
		l.MaxBodyBytes = t.Limits.MaxBodyBytes
	}
	if t.Limits.HeaderTimeout > 0 {
		l.HeaderTimeout = t.Limits.HeaderTimeout
	}
	if t.Limits.IdleTimeout > 0 {
		l.IdleTimeout = t.Limits.IdleTimeout
	}
	return l
}

// readyHandler serves the load balancer's readiness check: the gateway is ready if
// it can route requests.
func (g *Gateway) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(g.opts.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !g.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

func (g *Gateway) ready() bool {
	return !g.stopping.Load() && g.table.Load() != nil && len(g.targets.Snapshot().All()) > 0
}
