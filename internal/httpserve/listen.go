package httpserve

import (
	"crypto/tls"
	"net"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/settings"
)

// Listen opens the listener of a process, with TLS if the settings enable it. It also
// returns the TLS configuration for connections that the process opens as a client.
func Listen(addr string, tlsSettings *settings.TLS) (net.Listener, *tls.Config, error) {
	serverConfig, err := tlsSettings.Server()
	if err != nil {
		return nil, nil, err
	}
	clientConfig, err := tlsSettings.Client()
	if err != nil {
		return nil, nil, err
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, nil, errors.Wrap(err, "listen")
	}
	return NewListener(listener, serverConfig), clientConfig, nil
}
