package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/cockroachdb/errors"
)

// TLS is the [tls] section of a process's settings. If Cert is empty, the listener
// and the connections between processes are not encrypted.
type TLS struct {
	Cert string `ini:"cert" help:"file of this VM's certificate chain in PEM format; turns TLS on between all processes"`
	Key  string `ini:"key" help:"file of the certificate's private key in PEM format"`
	CA   string `ini:"ca" help:"file of the authorities to accept in PEM format; the system's if empty"`
}

// Enabled reports whether this process's listener and the other processes use
// TLS.
func (t *TLS) Enabled() bool { return t.Cert != "" }

// Server returns the TLS configuration of the listener, nil if TLS is off.
func (t *TLS) Server() (*tls.Config, error) {
	if !t.Enabled() {
		if t.Key != "" {
			return nil, errors.New("[tls] key is set but cert is not")
		}
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(t.Cert, t.Key)
	if err != nil {
		return nil, errors.Wrap(err, "[tls] load cert and key")
	}
	return &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS12}, nil
}

// Client returns the TLS configuration of connections to other processes, to the
// target and to the platform. It applies to https URLs.
func (t *TLS) Client() (*tls.Config, error) {
	cfg := &tls.Config{MinVersion: tls.VersionTLS12}
	if t.CA == "" {
		return cfg, nil
	}
	pem, err := os.ReadFile(t.CA)
	if err != nil {
		return nil, errors.Wrap(err, "[tls] read ca")
	}
	cfg.RootCAs = x509.NewCertPool()
	if !cfg.RootCAs.AppendCertsFromPEM(pem) {
		return nil, errors.Newf("[tls] ca: no certificate in %s", t.CA)
	}
	return cfg, nil
}
