// Package httpserve runs an http.Server as a supervised service.
package httpserve

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/thejerf/suture/v4"

	"github.com/quetzalglade/quetzalglade/internal/connguard"
)

// Limits that protect every server against slow clients, idle connections and
// oversized headers.
const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 32 << 10
)

// Service serves a handler on a listener until the context of Serve ends. It then
// accepts no new connections and waits for requests in progress, at most for the
// drain timeout.
type Service struct {
	name         string
	listener     *Listener
	server       *http.Server
	drainTimeout time.Duration
	conns        *Connections
	stopping     atomic.Bool
}

// New returns a service that closes listener when it stops. The name identifies
// the service in errors and in the supervisor's log.
func New(name string, listener net.Listener, handler http.Handler, drainTimeout time.Duration) *Service {
	l, ok := listener.(*Listener)
	if !ok {
		l = NewListener(listener, nil)
	}
	s := &Service{name: name, listener: l, drainTimeout: drainTimeout, conns: NewConnections()}
	s.server = &http.Server{
		ConnState: s.conns.SetState,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if s.stopping.Load() {
				w.Header().Set("Connection", "close")
			}
			handler.ServeHTTP(w, r)
		}),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	return s
}

// SetGuard adds the connections to an account, if g is not nil, in which each byte of a body
// counts as factor bytes. It must be called before Serve.
func (s *Service) SetGuard(g *connguard.Guard, factor int64, paired bool) {
	if g == nil {
		return
	}
	s.listener.SetGuard(g)
	s.server.ConnContext = connguard.Context
	s.server.Handler = ResetCut(connguard.Handler(s.server.Handler, factor, paired))
}

// Serve implements suture.Service. A closed listener cannot be reopened, so the
// service is never restarted: a failure of the listener terminates the
// supervisor tree.
func (s *Service) Serve(ctx context.Context) error {
	serveErr := make(chan error, 1)
	go func() { serveErr <- s.server.Serve(s.listener) }()
	select {
	case err := <-serveErr:
		return errors.Mark(errors.Wrapf(err, "serve on %s listener", s.name), suture.ErrTerminateSupervisorTree)
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.drainTimeout)
	defer cancel()
	s.stopping.Store(true)
	s.listener.Stop()
	select {
	case err := <-serveErr:
		if !errors.Is(err, net.ErrClosed) {
			// The listener stays open if Serve has failed before it accepted the rest.
			_ = s.listener.Close()
		}
	case <-shutdownCtx.Done():
	}
	s.conns.Close(shutdownCtx)
	if err := s.server.Shutdown(shutdownCtx); err != nil {
		_ = s.server.Close()
	}
	return suture.ErrDoNotRestart
}

// String returns the name of the service for the supervisor's log.
func (s *Service) String() string { return s.name }
