package httpserve

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"io"
	"math/big"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/quetzalglade/quetzalglade/internal/connguard"
)

func newCertificate(t *testing.T) tls.Certificate {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
}

// Guards against a response to an HTTP/1.0 client that is cut and looks complete, since its end is
// that of the connection: also over TLS, which announces an orderly end.
func TestCutResponseToHTTP10IsReset(t *testing.T) {
	for name, config := range map[string]*tls.Config{"plain": nil, "TLS": {Certificates: []tls.Certificate{newCertificate(t)}}} {
		for _, cut := range []bool{true, false} {
			tcp, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			s := New("test", NewListener(tcp, config), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, "data: 1\n\n")
				_ = http.NewResponseController(w).Flush()
				if cut {
					panic(http.ErrAbortHandler)
				}
			}), time.Second)
			s.SetGuard(connguard.New(connguard.Options{}), 1, true)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go func() { _ = s.Serve(ctx) }()
			c, err := net.Dial("tcp", tcp.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			if config != nil {
				c = tls.Client(c, &tls.Config{InsecureSkipVerify: true})
			}
			_, _ = io.WriteString(c, "GET / HTTP/1.0\r\n\r\n")
			if _, err := io.ReadAll(c); (err == nil) == cut {
				t.Errorf("%s, cut %v: the client's read ended with %v", name, cut, err)
			}
		}
	}
}
