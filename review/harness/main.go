// Command harness runs the scripts of the review: it starts the project's programs as
// separate processes, with stand-ins of the platform, the workers and the clients.
//
//	harness CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
// With TROUBLE=0 it leaves the disruption out.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

var (
	recordMu  sync.Mutex
	record    *os.File
	begun     = time.Now()
	cleanups  []func()
	trouble   = os.Getenv("TROUBLE") != "0"
	targetDir string
)

// note writes a line to the record.
func note(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	fmt.Fprintf(record, "%8.3f  %s\n", time.Since(begun).Seconds(), fmt.Sprintf(format, args...))
}

// quit ends all processes and the harness.
func quit(code int, format string, args ...any) {
	note(format, args...)
	fmt.Printf(format+"\n", args...)
	for i := len(cleanups) - 1; i >= 0; i-- {
		cleanups[i]()
	}
	os.Exit(code)
}

// process is one of the project's programs.
type process struct {
	name string
	cmd  *exec.Cmd
	// front, ready are the addresses of a gateway.
	front, ready string
	settings     string
	done         chan struct{}
}

func freePort(hosts ...string) int {
	for range 50 {
		l := listen(hosts[0])
		port := l.Addr().(*net.TCPAddr).Port
		l.Close()
		free := true
		for _, h := range hosts {
			p, err := net.Listen("tcp", fmt.Sprintf("%s:%d", h, port))
			if err != nil {
				free = false
				break
			}
			p.Close()
		}
		if free {
			return port
		}
	}
	quit(2, "no free port")
	return 0
}

const regions = "pwani-a:pwani,pwani-b:pwani"

// gatewaySettings are those of deploy/gateway.ini, filled in.
func gatewaySettings(name, zone, host string, front, ready, peer int, storeAddr string, reserve int) string {
	return fmt.Sprintf(`[process]
vm = %s
datacentre = %s
regions = %s
front = %s:%d
ready = %s:%d
peer = %s:%d
sidecar_port = %d
memory_mb = 284

[store]
address = %s

[stop]
limit = 8s

[retries]
ratio = 0.2
reserve = %d
window = 10s
`, name, zone, regions, host, front, host, ready, host, peer, peer, storeAddr, reserve)
}

func startGateway(dir, name, zone, host string, peer int, storeAddr string) *process {
	front, ready := freePort(host), freePort(host)
	for ready == front {
		ready = freePort(host)
	}
	p := &process{name: name, front: fmt.Sprintf("%s:%d", host, front), ready: fmt.Sprintf("%s:%d", host, ready), settings: filepath.Join(dir, name+".ini")}
	if err := os.WriteFile(p.settings, []byte(gatewaySettings(name, zone, host, front, ready, peer, storeAddr, 54)), 0o600); err != nil {
		quit(2, "settings: %v", err)
	}
	p.start("quetzalglade-gateway", dir)
	return p
}

func startSidecar(dir, name, host string, port int, engine string) *process {
	p := &process{name: name, settings: filepath.Join(dir, name+".ini")}
	text := fmt.Sprintf("[process]\nvm = %s\nlisten = %s:%d\nmemory_mb = 216\n\n[engine]\naddress = %s\n", name, host, port, engine)
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		quit(2, "settings: %v", err)
	}
	p.start("quetzalglade-sidecar", dir)
	return p
}

func (p *process) start(program, dir string) {
	p.cmd = exec.Command(filepath.Join(targetDir, program))
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + dir, "QUETZALGLADE_NODE_FILE=" + p.settings, "QUETZALGLADE_LINK_MBPS=1000.0"}
	out, err := os.Create(filepath.Join(dir, p.name+".log"))
	if err != nil {
		quit(2, "log: %v", err)
	}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		quit(2, "start %s: %v", program, err)
	}
	p.done = make(chan struct{})
	done, cmd := p.done, p.cmd
	go func() {
		err := cmd.Wait()
		note("process %s has ended: %v", p.name, err)
		close(done)
	}()
	cleanups = append(cleanups, func() {
		_ = cmd.Process.Kill()
		<-done
	})
	note("process %s starts", p.name)
}

func (p *process) signal(s syscall.Signal) {
	note("%s gets %s", p.name, s)
	_ = p.cmd.Process.Signal(s)
}

func (p *process) waitReady() {
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + p.ready + "/v1/readyz")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				note("%s is ready", p.name)
				return
			}
		}
	}
	quit(2, "%s did not become ready", p.name)
}

// config returns the operator's configuration.
func config(version int, change func(map[string]any)) map[string]any {
	route := func(name, kind, prefix, service string, timeout, aim, attempts, priority int) map[string]any {
		return map[string]any{
			"name": name, "hostname": "ficu95.example", "prefix": prefix, "route_type": kind, "timeout_ms": timeout, "target_latency_ms": aim,
			"priority": priority, "service": service, "max_attempts": attempts, "public": false, "sticky": kind == "streaming", "resumable": false, "gap_aim_ms": 180,
		}
	}
	c := map[string]any{
		"version": version,
		"routes": []any{
			route("r-draft", "streaming", "/lohu930/", "kalamu", 39000, 1800, 1, 1),
			route("r-confirm", "non_idempotent", "/pule252/", "duka", 2500, 400, 1, 2),
			route("r-lookup", "idempotent", "/puxa403/", "duka", 2500, 400, 2, 2),
		},
		"services": []any{
			map[string]any{"name": "kalamu", "health_path": "/healthz", "max_connections": 242, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 24, "kv_capacity": 34377, "kv_bytes": 163840, "link_mbps": 24000.0, "moves": true, "backups": true, "stride": 4, "most": 12,
				"pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}},
			}},
			map[string]any{"name": "duka", "health_path": "/healthz", "max_connections": 100, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "huka270", "api_keys": []any{"xd9dnn2ctnfzs989anu6"}, "priority": 1}},
	}
	if change != nil {
		change(c)
	}
	return c
}

// result is what a client got.
type result struct {
	id       string
	sentAt   time.Time
	status   int
	events   int
	whole    bool
	signed   bool
	err      error
	tookMS   int64
	nextGap  int
	response http.Header
}

// send sends one request on its own connection and reads the response.
func send(front, method, path, id, extra, body string, onEvent func(int)) result {
	r := result{id: id, sentAt: time.Now()}
	defer func() {}()
	c, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		r.err = err
		note("client %s: no connection: %v", id, err)
		return r
	}
	defer c.Close()
	note("client %s sends %s %s", id, method, path)
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: %s\r\nX-Key: xd9dnn2ctnfzs989anu6\r\n%sContent-Length: %d\r\n\r\n%s", method, path, id, extra, len(body), body)
	_ = c.SetReadDeadline(time.Now().Add(45 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		r.err = err
	} else {
		r.status, r.signed, r.response = resp.StatusCode, resp.Header.Get("X-Response-Signature") != "", resp.Header
		lines := bufio.NewReader(resp.Body)
		for {
			line, err := lines.ReadString('\n')
			if n, ok := strings.CutPrefix(strings.TrimSpace(line), "id: "); ok {
				r.events++
				var number int
				fmt.Sscan(n, &number)
				if number != r.events {
					r.nextGap = number
				}
				if onEvent != nil {
					onEvent(number)
				}
			}
			if err != nil {
				r.whole = err == io.EOF
				if !r.whole {
					r.err = err
				}
				break
			}
		}
	}
	r.tookMS = time.Since(r.sentAt).Milliseconds()
	note("client %s: status %d, signed %v, events %d, whole %v, err %v, after %d ms", id, r.status, r.signed, r.events, r.whole, r.err, r.tookMS)
	return r
}

const draftHeader = "X-Model-Name: m\r\nX-Token-Count: 1460,480\r\nX-Length-Hint: 400\r\nX-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\nX-Deadline-Ms: 39000\r\n"

func main() {
	var err error
	if len(os.Args) != 3 {
		fmt.Println("usage: harness CASE RECORD")
		os.Exit(2)
	}
	if record, err = os.Create(os.Args[2]); err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	exe, err := os.Executable()
	if err != nil {
		quit(2, "%v", err)
	}
	targetDir = filepath.Dir(exe)
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		quit(2, "%v", err)
	}
	cleanups = append(cleanups, func() {
		if os.Getenv("KEEP") == "" {
			os.RemoveAll(dir)
		} else {
			fmt.Println(dir)
		}
	})
	time.AfterFunc(115*time.Second, func() { quit(2, "the time of the script ran out") })
	run, ok := cases[os.Args[1]]
	if !ok {
		quit(2, "unknown case")
	}
	note("case %s, disruption %v", os.Args[1], trouble)
	run(dir)
}
