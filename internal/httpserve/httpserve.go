// Package httpserve runs an http.Server as a supervised service.
package httpserve

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/thejerf/suture/v4"
)

// Limits of every listener against slow or oversized senders.
const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 32 << 10
)

// Service serves a handler on a listener until its context ends, then waits
// for requests in progress, at most for the drain time.
type Service struct {
	name     string
	listener net.Listener
	server   *http.Server
	drain    time.Duration
}

// New returns a service. The listener is closed when the service stops.
func New(name string, listener net.Listener, handler http.Handler, drain time.Duration) *Service {
	return &Service{
		name:     name,
		listener: listener,
		drain:    drain,
		server: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
		},
	}
}

// Serve implements suture.Service. A listener cannot be reopened, so the
// service is not restarted.
func (s *Service) Serve(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() { failed <- s.server.Serve(s.listener) }()
	select {
	case err := <-failed:
		return errors.Mark(errors.Wrapf(err, "%s listener", s.name), suture.ErrTerminateSupervisorTree)
	case <-ctx.Done():
	}
	limit, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.drain)
	defer cancel()
	if err := s.server.Shutdown(limit); err != nil {
		_ = s.server.Close()
	}
	return suture.ErrDoNotRestart
}

// String names the service in the supervisor's log.
func (s *Service) String() string { return s.name }
