package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// plain is a stand-in for a worker of a plain service. It records what it runs.
type plain struct {
	id     string
	record *record
	mu     sync.Mutex
	ran    map[string]bool
}

func (p *plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", p.id)
		return
	}
	if r.Header.Get("X-Expect-Instance") != p.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	p.mu.Lock()
	p.ran[id] = true
	p.mu.Unlock()
	p.record.add("%s runs %s, X-Tenant-Id %q", p.id, id, r.Header["X-Tenant-Id"])
	w.Header().Set("X-Response-Signature", "s-"+p.id+"-"+id)
	_, _ = fmt.Fprintf(w, "order of %s", id)
}

func (p *plain) hasRun(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ran[id]
}

// plainConfig is a configuration of one plain service whose route needs a key.
func plainConfig(version int, tenants []any) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "lookup", "hostname": "lab.example", "prefix": "/orders/", "route_type": "idempotent", "timeout_ms": 1200,
			"target_latency_ms": 400, "priority": 2, "service": "duka", "max_attempts": 2, "public": false,
		}},
		"services": []any{map[string]any{"name": "duka", "health_path": "/healthz", "max_connections": 100}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  tenants,
	}
}

// call sends a call with a key, none if it is empty, and returns the status.
func (f *fleet) call(id, key string) (int, error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+f.front+"/orders/1", nil)
	if err != nil {
		return 0, err
	}
	req.Host = "lab.example"
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", "2500")
	if key != "" {
		req.Header.Set("X-Key", key)
	}
	f.record.add("client sends %s with key %q", id, key)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 3 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, _ := io.ReadAll(resp.Body)
	f.record.add("client gets %d for %s: %s", resp.StatusCode, id, strings.TrimSpace(string(body)))
	return resp.StatusCode, nil
}

// settledChange is how long after a change of the configuration requests are sent: config_apply_ms
// and stable_window_ms.
const settledChange = 7500 * time.Millisecond

// lastTenant: the keys of all tenants are taken away, then the tenants themselves. Requests with keys
// that no configuration ever held are sent after each change.
func lastTenant(f *fleet, trouble bool) (bool, error) {
	app := &plain{id: "d1", record: f.record, ran: map[string]bool{}}
	l := listen("127.0.23.1:0")
	go func() { _ = http.Serve(l, app) }()
	entry := map[string]any{
		"service": "duka", "address": l.Addr().String(), "zone": "a", "version": "v1", "slots": 6, "state": "ready",
		"cold_remaining_ms": 0, "seq_no": 1, "born": time.Now().UnixMilli(),
	}
	f.store.put("servers/d1", entry)
	tenant := func(keys ...string) []any { return []any{map[string]any{"name": "t1", "api_keys": keys}} }
	put := func(version int, tenants []any) {
		f.store.put("op/config", plainConfig(version, tenants))
		f.record.add("the store has accepted version %d, tenants %v", version, tenants)
		time.Sleep(settledChange)
	}
	put(2, tenant("key-1"))
	if status, err := f.call("own-key", "key-1"); err != nil || status != http.StatusOK {
		return false, fmt.Errorf("a request with a valid key: status %d, error %v", status, err)
	}
	send := func(when string) error {
		for i := range 10 {
			if _, err := f.call(fmt.Sprintf("%s-%d", when, i), fmt.Sprintf("never-held-%d", i)); err != nil {
				return err
			}
		}
		return nil
	}
	if err := send("with-tenants"); err != nil {
		return false, err
	}
	put(3, tenant())
	if err := send("keys-gone"); err != nil {
		return false, err
	}
	if trouble {
		put(4, []any{})
		if err := send("tenants-gone"); err != nil {
			return false, err
		}
		// Not judged: a key that was taken away, and none.
		if _, err := f.call("tenants-gone-old-key", "key-1"); err != nil {
			return false, err
		}
		if _, err := f.call("tenants-gone-no-key", ""); err != nil {
			return false, err
		}
	}
	ran := 0
	for _, when := range []string{"with-tenants", "keys-gone", "tenants-gone"} {
		for i := range 10 {
			if app.hasRun(fmt.Sprintf("%s-%d", when, i)) {
				ran++
			}
		}
	}
	f.record.add("requests that ran with a key that no configuration ever held: %d", ran)
	return ran > 0, nil
}
