package entry_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/quetzalglade/quetzalglade/agent"
	"github.com/quetzalglade/quetzalglade/config"
	"github.com/quetzalglade/quetzalglade/entry"
	"github.com/quetzalglade/quetzalglade/internal/httpclient"
	"github.com/quetzalglade/quetzalglade/internal/standin"
	"github.com/quetzalglade/quetzalglade/kvstore"
	"github.com/quetzalglade/quetzalglade/operator"
	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/vmlist"

	"github.com/quetzalglade/quetzalglade/result"
	"github.com/quetzalglade/quetzalglade/settings"
)

// testAuthority is a self-signed certificate. It serves both as the certificate
// authority and as the certificate of every server.
type testAuthority struct {
	certFile, keyFile string
	certificate       tls.Certificate
	clientTLS         *tls.Config
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func newAuthority(t *testing.T) *testAuthority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	must(t, err)
	raw, err := x509.MarshalECPrivateKey(key)
	must(t, err)
	dir := t.TempDir()
	a := &testAuthority{certFile: filepath.Join(dir, "cert.pem"), keyFile: filepath.Join(dir, "key.pem")}
	must(t, os.WriteFile(a.certFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	must(t, os.WriteFile(a.keyFile, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: raw}), 0o600))
	a.certificate, err = tls.LoadX509KeyPair(a.certFile, a.keyFile)
	must(t, err)
	clientSettings := &settings.TLS{CA: a.certFile}
	a.clientTLS, err = clientSettings.Client()
	must(t, err)
	return a
}

// serve starts a TLS server with the test certificate and returns its URL.
func (a *testAuthority) serve(t *testing.T, h http.Handler) string {
	t.Helper()
	s := httptest.NewUnstartedServer(h)
	s.TLS = &tls.Config{Certificates: []tls.Certificate{a.certificate}, MinVersion: tls.VersionTLS12}
	s.StartTLS()
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s.URL
}

// runUntilCleanup calls serve and stops it when the test ends.
func runUntilCleanup(t *testing.T, serve func(context.Context) error) {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = serve(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-done
	})
}

// tlsFleet is an agent and an entry that are started from settings files and use
// TLS.
type tlsFleet struct {
	client               *http.Client
	agentAddr, entryAddr string
}

// peerClient returns a client for the /peer interface that sends the given key.
func (f *tlsFleet) peerClient(key string) *peer.Client {
	c := peer.NewClient(f.client, peer.Keys{key})
	c.UseTLS()
	return c
}

const processSettings = "datacentre = c1\nregion = central\nlisten = 127.0.0.1:0\noperator_keys = operators\n"

func startTLSFleet(ctx context.Context, t *testing.T) *tlsFleet {
	t.Helper()
	ca := newAuthority(t)
	f := &tlsFleet{client: httpclient.New(httpclient.Options{TLS: ca.clientTLS})}
	vms := standin.NewVMList(0)
	storeURL := ca.serve(t, standin.NewStore().Handler())
	store := kvstore.NewEtcdStore(storeURL, f.client, time.Second)
	_, err := operator.Publish(ctx, store, []config.Document{{
		Name: "test", Services: []config.Service{{Name: "guide", Kind: config.KindModel, Model: "m1"}},
		Workspaces: []config.Workspace{{Name: "w1", Weight: 1, KeyHashes: []string{config.HashKey(w1Key)}}},
	}}, "test", time.Now())
	must(t, err)
	engineOptions := standin.DefaultEngineOptions()
	engineOptions.Models, engineOptions.StepBase = []string{"m1"}, time.Millisecond
	engine := standin.NewEngine(engineOptions)
	t.Cleanup(engine.Close)
	sharedSections := fmt.Sprintf("[tls]\ncert = %s\nkey = %s\nca = %s\n[platform]\nstore = %s\n", ca.certFile, ca.keyFile, ca.certFile, storeURL)
	f.agentAddr = startAgent(t, "[process]\nvm = model-1\nkeys = new, old\ndrain_grace = 1ms\n"+processSettings+sharedSections+
		"[target]\nengine = "+ca.serve(t, engine.Handler())+"\n")
	vms.Put(vmlist.VM{Name: "model-1", Addr: f.agentAddr, Role: vmlist.RoleTarget, State: vmlist.VMLive, Datacentre: "c1", Region: "central"})
	e := startEntry(t, "[process]\nvm = entry-1\nkeys = old, new\nbalancer_grace = 1ms\n"+processSettings+sharedSections+
		"vm_list = "+ca.serve(t, vms.Handler())+"\n", &f.entryAddr)
	for (!e.Ready() || e.UsableTargets() == 0) && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
	return f
}

func startAgent(t *testing.T, settingsText string) string {
	t.Helper()
	s := agent.DefaultSettings()
	must(t, settings.Parse("agent.ini", []byte(settingsText), &s))
	opts, err := s.Options(log.NewNopLogger())
	must(t, err)
	a, err := agent.New(opts)
	must(t, err)
	runUntilCleanup(t, a.Serve)
	return opts.Listener.Addr().String()
}

func startEntry(t *testing.T, settingsText string, addr *string) *entry.Entry {
	t.Helper()
	s := entry.DefaultSettings()
	must(t, settings.Parse("entry.ini", []byte(settingsText), &s))
	opts, err := s.Options(log.NewNopLogger())
	must(t, err)
	e, err := entry.New(opts)
	must(t, err)
	runUntilCleanup(t, e.Serve)
	*addr = opts.Listener.Addr().String()
	return e
}

// TestAccess guards against access with a wrong key or without TLS, and against
// rejected requests during a rotation of the shared key: agent and entry accept the
// old and the new key but send different ones. Operators have a separate key.
func TestAccess(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	f := startTLSFleet(ctx, t)
	Convey("A request is served over TLS while the shared key is rotated", t, func() {
		body := strings.NewReader(completionBody("guide", "<<len=5>>", ""))
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+f.entryAddr+"/v1/completions", body)
		So(err, ShouldBeNil)
		req.Header.Set("Authorization", "Bearer "+w1Key)
		resp, err := f.client.Do(req)
		So(err, ShouldBeNil)
		defer func() { _ = resp.Body.Close() }()
		text, _ := io.ReadAll(resp.Body)
		So(string(text), ShouldNotContainSubstring, "\"error\"")
		So(resp.StatusCode, ShouldEqual, http.StatusOK)
	})
	Convey("Both keys of the rotation and the operators' key are accepted, other keys are not", t, func() {
		for _, addr := range []string{f.agentAddr, f.entryAddr} {
			for _, key := range []string{"new", "old", "operators"} {
				_, err := f.peerClient(key).State(ctx, addr)
				So(err, ShouldBeNil)
			}
			for _, key := range []string{"", "older", "new, old", w1Key} {
				_, err := f.peerClient(key).State(ctx, addr)
				So(result.Is(err, result.Unauthenticated), ShouldBeTrue)
			}
		}
	})
	Convey("Operators' keys permit drain but not generations, and the fleet's keys do not permit drain", t, func() {
		So(result.Is(f.peerClient("new").Drain(ctx, f.agentAddr, true), result.Unauthenticated), ShouldBeTrue)
		_, err := f.peerClient("operators").Start(ctx, f.agentAddr, &peer.Attempt{})
		So(result.Is(err, result.Unauthenticated), ShouldBeTrue)
		So(f.peerClient("operators").Drain(ctx, f.agentAddr, false), ShouldBeNil)
	})
	Convey("A client without TLS or without the CA certificate cannot connect", t, func() {
		_, err := peer.NewClient(f.client, peer.Keys{"new"}).State(ctx, f.agentAddr)
		So(err, ShouldNotBeNil)
		untrustedClient := peer.NewClient(httpclient.New(httpclient.Options{}), peer.Keys{"new"})
		untrustedClient.UseTLS()
		_, err = untrustedClient.State(ctx, f.agentAddr)
		So(err, ShouldNotBeNil)
	})
}
