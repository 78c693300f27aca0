package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// fleet is a small deployment: the stand-ins in this process and the project's programs as
// separate processes.
type fleet struct {
	record  *record
	store   *store
	model   *model
	workers []*worker
	front   string
	ready   string
	storeAt string
	target  string
	dir     string
	procs   []*exec.Cmd
	gateway *exec.Cmd
	size    size
}

// freePort returns a port that is free on all the addresses.
func freePort(ips ...string) int {
	for {
		l, err := net.Listen("tcp", ips[0]+":0")
		if err != nil {
			panic(err)
		}
		port := l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		free := true
		for _, ip := range ips {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return port
		}
	}
}

func listen(addr string) net.Listener {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		panic(err)
	}
	return l
}

const gatewayIP = "127.0.21.1"

func workerIP(i int) string { return fmt.Sprintf("127.0.22.%d", i+1) }

// newFleet starts the store, model workers and, for each, its sidecar, and one gateway.
func newFleet(target string, r *record, size size) (*fleet, error) {
	tmp, err := os.MkdirTemp("", "lab2-")
	if err != nil {
		return nil, err
	}
	n := size.workers
	f := &fleet{size: size, record: r, store: newStore(), model: newModel(r), target: target, dir: tmp}
	storeListener := listen("127.0.20.1:0")
	f.storeAt = storeListener.Addr().String()
	f.store.serve(storeListener)
	ips := []string{gatewayIP}
	for i := range n {
		ips = append(ips, workerIP(i))
	}
	peer := freePort(ips...)
	app := freePort(ips[1:]...)
	f.front = fmt.Sprintf("%s:%d", gatewayIP, freePort(gatewayIP))
	f.ready = fmt.Sprintf("%s:%d", gatewayIP, freePort(gatewayIP))
	f.store.put("op/config", config(1, size.slots))
	for i := range n {
		w := f.model.add(fmt.Sprintf("w%d", i+1), fmt.Sprintf("%s:%d", workerIP(i), app), size.slots, size.queue)
		w.keeps = i < n/4
		w.serve(listen(w.addr))
		f.workers = append(f.workers, w)
		go func() {
			for seq := 1; w.state() == "ready"; seq++ {
				f.store.put("servers/"+w.id, w.entry("models", zone(i), seq))
				time.Sleep(1200 * time.Millisecond)
			}
		}()
		ini := fmt.Sprintf("[process]\nvm = side-%d\nlisten = %s:%d\nmemory_mb = 216\n\n[engine]\naddress = %s\n", i+1, w.ip, peer, w.addr)
		if _, err := f.start("quetzalglade-sidecar", fmt.Sprintf("side-%d", i+1), ini); err != nil {
			return f, err
		}
	}
	ini := fmt.Sprintf("[process]\nvm = edge-1\ndatacentre = a\nregions = a:one,b:one\nfront = %s\nready = %s\npeer = %s:%d\nsidecar_port = %d\nmemory_mb = %d\n\n"+
		"[store]\naddress = %s\n\n[stop]\nlimit = 8s\n\n[retries]\nratio = 0.2\nreserve = 54\nwindow = 10s\n", f.front, f.ready, gatewayIP, peer, peer, size.memoryMB, f.storeAt)
	f.gateway, err = f.start("quetzalglade-gateway", "edge-1", ini)
	if err != nil {
		return f, err
	}
	return f, f.awaitReady()
}

func zone(i int) string { return []string{"a", "b"}[i%2] }

// drain empties a worker and takes it away, as planned work.
func (f *fleet) drain(w *worker) {
	w.leave(f.size.drain)
	for i, other := range f.workers {
		if other == w {
			f.store.put("servers/"+w.id, w.entry("models", zone(i), 1000))
		}
	}
	time.AfterFunc(f.size.drain, func() { f.store.remove("servers/" + w.id) })
}

// start starts a program of the project as the deploy file does.
func (f *fleet) start(program, name, ini string) (*exec.Cmd, error) {
	file := filepath.Join(f.dir, name+".ini")
	if err := os.WriteFile(file, []byte(ini), 0o600); err != nil {
		return nil, err
	}
	out, err := os.Create(filepath.Join(f.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(filepath.Join(f.target, program))
	cmd.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "QUETZALGLADE_NODE_FILE=" + file, "QUETZALGLADE_LINK_MBPS=1000.0", "QUETZALGLADE_COLD_OVER=", "QUETZALGLADE_COLD_SLACK=",
		"QUETZALGLADE_CONTRACTS=base,drain,config,cost,retry,recover,engine,stream,tenants,platform",
	}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	f.procs = append(f.procs, cmd)
	return cmd, nil
}

// awaitReady waits until the gateway is ready and knows all workers.
func (f *fleet) awaitReady() error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		resp, err := http.Get("http://" + f.ready + "/v1/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("the gateway is not ready")
}

// stop ends the processes that this fleet started, by their ids.
func (f *fleet) stop() {
	for _, cmd := range f.procs {
		_ = cmd.Process.Signal(syscall.SIGKILL)
		_ = cmd.Wait()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
		return
	}
	fmt.Println("logs in", f.dir)
}

// config is the operator's configuration: one service of model workers, with a route for long
// and one for short streams, as the sheets of the sites have.
func config(version, slots int) map[string]any {
	route := func(name string, timeout, target, priority int) map[string]any {
		return map[string]any{
			"name": name, "hostname": "lab.example", "prefix": "/" + name + "/", "route_type": "streaming", "timeout_ms": timeout,
			"target_latency_ms": target, "priority": priority, "service": "models", "max_attempts": 1, "gap_aim_ms": 180,
		}
	}
	return map[string]any{
		"version": version,
		"routes":  []any{route("long", 39000, 1800, 1), route("short", 6000, 1500, 0)},
		"services": []any{map[string]any{
			"name": "models", "health_path": "/healthz", "max_connections": 242,
			"engine": map[string]any{"slots": slots, "kv_capacity": 34377, "moves": true, "backups": true, "kv_bytes": 163840, "link_mbps": 24000},
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "t1", "api_keys": []string{"key-1"}}},
	}
}

// tail returns the lines of a log that contain any of the words.
func (f *fleet) tail(name string, words ...string) []string {
	data, _ := os.ReadFile(filepath.Join(f.dir, name+".log"))
	var out []string
	for _, line := range strings.Split(string(data), "\n") {
		for _, word := range words {
			if strings.Contains(line, word) {
				out = append(out, line)
				break
			}
		}
	}
	return out
}
