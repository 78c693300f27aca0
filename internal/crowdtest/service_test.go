package crowdtest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/quetzalglade/quetzalglade/config"
	"github.com/quetzalglade/quetzalglade/internal/platformtest"
	"github.com/quetzalglade/quetzalglade/internal/standin"
	"github.com/quetzalglade/quetzalglade/kvstore"
	"github.com/quetzalglade/quetzalglade/operator"
	"github.com/quetzalglade/quetzalglade/peer"
	"github.com/quetzalglade/quetzalglade/platform"
	"github.com/quetzalglade/quetzalglade/sidecar"
	"github.com/quetzalglade/quetzalglade/vmlist"
)

// Limits of the processes under test. The memory of the gateway is that of the smallest one
// of a deployment.
const (
	gatewayMemoryMB = 112
	sidecarMemoryMB = 64
	entryMemoryMB   = 112
	agentMemoryMB   = 216
	// gatewayDescriptors is the limit of the gateway, descriptors that of the others.
	gatewayDescriptors = 2048
	descriptors        = 512
)

// Limits of the requests that the processes accept.
const (
	gatewayBodyBytes = 4 << 20
	gatewayHeadBytes = 16 << 10
	partsBytes       = 256 << 10
	reserveBytes     = 4 << 10
	entryBodyBytes   = 1 << 20
	agentBodyBytes   = 16 << 20
)

// Names and keys of the processes under test.
const (
	clientKey = "key-1"
	fleetKey  = "test-fleet-key"
	callerKey = "test-caller-key"
)

// startLimit is the time within which a process serves its first request.
const startLimit = 30 * time.Second

// service is a listener of a process under test.
type service struct {
	name string
	p    *process
	addr string
	// post is the request line and the headers of a request with a body, without its length,
	// get those of a request with a large response, if there are such.
	post, get string
	maxBody   int
	// connections is the size of a crowd whose clients send large bodies, many that of a crowd
	// whose clients hold little.
	connections, many int
	// ordinary and largest are requests within the limits.
	ordinary, largest func() *http.Request
}

// httpRequest returns a request to a service.
func httpRequest(method, url string, body []byte, header ...string) *http.Request {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	if host := req.Header.Get("Host"); host != "" {
		req.Host = host
	}
	return req
}

// answerLimit is the time within which a request must be answered.
const answerLimit = 20 * time.Second

// send sends a request on a connection of its own and returns an error unless it is served.
func send(req *http.Request) error {
	ctx, cancel := context.WithTimeout(context.Background(), answerLimit)
	defer cancel()
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := transport.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %.300s", resp.StatusCode, data)
	}
	return nil
}

// awaitService waits until a service serves its ordinary request.
func awaitService(t *testing.T, s *service) {
	t.Helper()
	deadline := time.Now().Add(startLimit)
	for {
		err := send(s.ordinary())
		if err == nil {
			return
		}
		if s.p.exited() || time.Now().After(deadline) {
			t.Fatalf("%s is not ready: %v", s.name, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// responseBytes is the size of the response to a request for a large one.
const responseBytes = 1 << 20

// targetHandler is a target of the gateway. It responds with the size of the body, or with a
// large response.
func targetHandler(rw http.ResponseWriter, r *http.Request) {
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	rw.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	rw.Header().Set("X-Response-Signature", "s-i-1")
	if strings.HasSuffix(r.URL.Path, "/large") {
		_, _ = rw.Write(bytes.Repeat([]byte("x"), responseBytes))
		return
	}
	_, _ = fmt.Fprint(rw, n)
}

type object = map[string]any

// startGateway starts a gateway and returns its listeners for clients, for readiness checks
// and for other gateways.
func startGateway(t *testing.T) (client, ready, peers *service) {
	t.Helper()
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	target := serve(t, http.HandlerFunc(targetHandler))
	config, err := json.Marshal(object{
		"version": 1,
		"routes": []object{{
			"name": "upload", "hostname": "site", "prefix": "/", "route_type": "non_idempotent", "timeout_ms": 15000,
			"target_latency_ms": 400, "priority": 1, "service": "uploads", "max_attempts": 1, "gap_aim_ms": 180,
		}},
		"services": []object{{"name": "uploads", "max_connections": 400}},
		"limits":   object{"max_header_bytes": gatewayHeadBytes, "max_body_bytes": gatewayBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []object{{"name": "ws-1", "api_keys": []string{clientKey}, "priority": 2}},
	})
	if err != nil {
		t.Fatal(err)
	}
	entry, err := json.Marshal(object{
		"service": "uploads", "address": target, "zone": "a", "version": "v1", "slots": 64, "state": "ready", "cold_remaining_ms": 0, "seq_no": 1, "born": 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	store.Put(platform.ConfigKey, config)
	store.Put(platform.TargetPrefix+"i-1", entry)
	addrs := freeAddrs(t, 3)
	p := startProcess(t, "quetzalglade-gateway", fmt.Sprintf("[process]\nvm = edge-1\ndatacentre = a\nregions = a:north\nfront = %s\nready = %s\npeer = %s\nmemory_mb = %d\n\n[store]\naddress = %s\n",
		addrs[0], addrs[1], addrs[2], gatewayMemoryMB, store.Addr()), gatewayMemoryMB, gatewayDescriptors)
	header := []string{"Host", "site", "X-Key", clientKey, "X-Request-Id", "0000000000000001", "X-Deadline-Ms", "15000"}
	headText := "Host: site\r\nX-Key: " + clientKey + "\r\nX-Request-Id: 0000000000000002\r\nX-Deadline-Ms: 15000\r\n"
	client = &service{
		name: "gateway", p: p, addr: addrs[0], maxBody: gatewayBodyBytes, connections: 1200, many: 2300,
		post: "POST /upload HTTP/1.1\r\n" + headText, get: "GET /large HTTP/1.1\r\n" + headText,
		ordinary: func() *http.Request {
			return httpRequest(http.MethodPost, "http://"+addrs[0]+"/upload", []byte("hello"), header...)
		},
		largest: func() *http.Request {
			return httpRequest(http.MethodPost, "http://"+addrs[0]+"/upload", make([]byte, gatewayBodyBytes), header...)
		},
	}
	ready = &service{
		name: "gateway readiness", p: p, addr: addrs[1], maxBody: partsBytes, connections: 100, many: 600,
		post: "POST " + platform.ReadyPath + " HTTP/1.1\r\nHost: a\r\n", get: "GET " + platform.ReadyPath + " HTTP/1.1\r\nHost: a\r\n",
		ordinary: func() *http.Request { return httpRequest(http.MethodGet, "http://"+addrs[1]+platform.ReadyPath, nil) },
		largest:  func() *http.Request { return httpRequest(http.MethodGet, "http://"+addrs[1]+platform.ReadyPath, nil) },
	}
	const partsPath = "/quarantine/v1/parts"
	peers = &service{
		name: "gateway peers", p: p, addr: addrs[2], maxBody: partsBytes, connections: 100, many: 600,
		post: "POST " + partsPath + " HTTP/1.1\r\nHost: a\r\n", get: "GET /metrics HTTP/1.1\r\nHost: a\r\n",
		ordinary: func() *http.Request { return httpRequest(http.MethodGet, "http://"+addrs[2]+"/metrics", nil) },
		largest: func() *http.Request {
			return httpRequest(http.MethodPost, "http://"+addrs[2]+partsPath, padded("[", "]", partsBytes))
		},
	}
	awaitService(t, ready)
	awaitService(t, client)
	return client, ready, peers
}

// padded returns a JSON text of the given size, with spaces between its two parts.
func padded(begin, end string, size int) []byte {
	return []byte(begin + strings.Repeat(" ", size-len(begin)-len(end)) + end)
}

func serve(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String()
}

// startSidecar starts a sidecar whose engine can't be reached.
func startSidecar(t *testing.T) *service {
	t.Helper()
	addrs := freeAddrs(t, 2)
	p := startProcess(t, "quetzalglade-sidecar", fmt.Sprintf("[process]\nvm = m-1\nlisten = %s\nmemory_mb = %d\n[engine]\naddress = %s\nperiod = 1s\n",
		addrs[0], sidecarMemoryMB, addrs[1]), sidecarMemoryMB, descriptors)
	const reservation = `{"request":"r","prompt":1,"memory":1`
	s := &service{
		name: "sidecar", p: p, addr: addrs[0], maxBody: reserveBytes, connections: 100, many: 600,
		post: "POST " + sidecar.PathReserve + " HTTP/1.1\r\nHost: a\r\n", get: "GET " + sidecar.PathWatch + " HTTP/1.1\r\nHost: a\r\n",
		ordinary: func() *http.Request {
			return httpRequest(http.MethodPost, "http://"+addrs[0]+sidecar.PathReserve, []byte(reservation+"}"))
		},
		largest: func() *http.Request {
			return httpRequest(http.MethodPost, "http://"+addrs[0]+sidecar.PathReserve, padded(reservation, "}", reserveBytes))
		},
	}
	awaitService(t, s)
	return s
}

// startFleet starts an entry and an agent.
func startFleet(t *testing.T) (entry, agent *service) {
	t.Helper()
	store, vmList, plain := standin.NewStore(), standin.NewVMList(0), standin.NewPlain(0)
	storeAddr := serve(t, store.Handler())
	storeClient := kvstore.NewEtcdStore("http://"+storeAddr, &http.Client{}, 2*time.Second)
	documents := []config.Document{{
		Name: "test",
		Services: []config.Service{{
			Name: "booking", Kind: config.KindPlain, Role: "booking", IdempotentMethods: []string{"GET", "PUT"}, TimeoutMillis: 15000, QueueMillis: 15000, MaxBodyBytes: entryBodyBytes,
		}},
		Workspaces: []config.Workspace{{Name: "w1", Weight: 1, KeyHashes: []string{config.HashKey(callerKey)}}},
	}}
	if _, err := operator.Publish(context.Background(), storeClient, documents, "test", time.Now()); err != nil {
		t.Fatal(err)
	}
	vmListAddr, plainAddr := serve(t, vmList.Handler()), serve(t, plain.Handler())
	addrs := freeAddrs(t, 2)
	platformText := fmt.Sprintf("[platform]\nstore = http://%s\n", storeAddr)
	processText := "[process]\nvm = %s\nlisten = %s\ndatacentre = c1\nregion = central\nkeys = " + fleetKey + "\n"
	agentProcess := startProcess(t, "quetzalglade-agent", fmt.Sprintf(processText, "booking-1", addrs[0])+
		fmt.Sprintf("[target]\nplain = http://%s\nrole = booking\n", plainAddr)+platformText, agentMemoryMB, descriptors)
	vmList.Put(vmlist.VM{Name: "booking-1", Addr: addrs[0], Role: vmlist.RoleTarget, State: vmlist.VMLive, Datacentre: "c1", Region: "central"})
	entryProcess := startProcess(t, "quetzalglade-entry", fmt.Sprintf(processText, "entry-1", addrs[1])+
		platformText+fmt.Sprintf("vm_list = http://%s\n", vmListAddr), entryMemoryMB, descriptors)
	vmList.Put(vmlist.VM{Name: "entry-1", Addr: addrs[1], Role: vmlist.RoleEntry, State: vmlist.VMLive, Datacentre: "c1", Region: "central"})
	const callPath = "/s/booking/visits/17"
	callerHeader, fleetHeader := []string{"Authorization", "Bearer " + callerKey}, []string{"Authorization", "Bearer " + fleetKey}
	entry = &service{
		name: "entry", p: entryProcess, addr: addrs[1], maxBody: entryBodyBytes, connections: 250, many: 600,
		post: "PUT " + callPath + " HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + callerKey + "\r\n",
		get:  "GET " + callPath + " HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + callerKey + "\r\n",
		ordinary: func() *http.Request {
			return httpRequest(http.MethodGet, "http://"+addrs[1]+callPath, nil, callerHeader...)
		},
		largest: func() *http.Request {
			return httpRequest(http.MethodPut, "http://"+addrs[1]+callPath, make([]byte, entryBodyBytes), callerHeader...)
		},
	}
	const drain = `{"on":false,"padding":"`
	agent = &service{
		name: "agent", p: agentProcess, addr: addrs[0], maxBody: agentBodyBytes, connections: 12, many: 600,
		post: "POST " + peer.PathDrain + " HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + fleetKey + "\r\n",
		get:  "GET " + peer.PathState + " HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + fleetKey + "\r\n",
		ordinary: func() *http.Request {
			return httpRequest(http.MethodGet, "http://"+addrs[0]+peer.PathState, nil, fleetHeader...)
		},
		largest: func() *http.Request {
			body := drain + strings.Repeat("x", agentBodyBytes-len(drain)-2) + `"}`
			return httpRequest(http.MethodPost, "http://"+addrs[0]+peer.PathDrain, []byte(body), fleetHeader...)
		},
	}
	awaitService(t, agent)
	awaitService(t, entry)
	return entry, agent
}
