package httpserve

import (
	"crypto/tls"
	"net"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/settings"
)

// Listen opens the listener of a process, with TLS if its settings say so, and
// returns the configuration of its connections to others.
func Listen(addr string, t *settings.TLS) (net.Listener, *tls.Config, error) {
	server, err := t.Server()
	if err != nil {
		return nil, nil, err
	}
	client, err := t.Client()
	if err != nil {
		return nil, nil, err
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, nil, errors.Wrap(err, "listen")
	}
	if server != nil {
		listener = tls.NewListener(listener, server)
	}
	return listener, client, nil
}
