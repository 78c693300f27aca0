package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// lab is one run of a case: its processes, its record and its settings.
type lab struct {
	trouble bool
	root    string
	dir     string
	started time.Time
	store   *store
	ports   int

	mu     sync.Mutex
	record []entry
	procs  []*process
	ending bool
}

// entry is one line of the record.
type entry struct {
	at   time.Time
	text string
}

// current is the lab of this process, for cannotRun.
var current *lab

// cannotRun ends the process with the code for a case that couldn't run.
func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "case can't run: "+format+"\n", args...)
	if current != nil {
		current.killAll()
		current.writeRecord()
		_ = os.RemoveAll(current.dir)
	}
	os.Exit(caseFailed)
}

// newLab starts a lab with an empty store. LAB_ROOT names the project's folder.
func newLab() *lab {
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		cannotRun("%v", err)
	}
	l := &lab{trouble: os.Getenv("TROUBLE") != "0", root: os.Getenv("LAB_ROOT"), dir: dir, started: time.Now()}
	current = l
	// A case that hangs ends within the limit of 120 seconds.
	time.AfterFunc(110*time.Second, func() { cannotRun("no end after 110 s") })
	// A process inherits ignored signals from its parent, for example from nohup. A signal
	// that this process handles has its default action in the processes that it starts.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stop
		cannotRun("stopped")
	}()
	l.store = startStore(l.addr("127.0.0.1"))
	return l
}

// storeAddr is the address of the store, which newLab starts first.
func (l *lab) storeAddr() string { return "127.0.0.1:" + strconv.Itoa(l.ports) }

// addr returns a free port of the given loopback address.
func (l *lab) addr(ip string) string {
	p := freePort(ip)
	if l.ports == 0 {
		l.ports = p
	}
	return ip + ":" + strconv.Itoa(p)
}

// freePort returns a free port below the range from which the system takes the ports of
// outgoing connections.
func freePort(ip string) int {
	for range 100 {
		port := 20000 + rand.IntN(12000)
		s, err := net.Listen("tcp", ip+":"+strconv.Itoa(port))
		if err != nil {
			continue
		}
		_ = s.Close()
		return port
	}
	cannotRun("no free port at %s", ip)
	return 0
}

// note adds a line to the record.
func (l *lab) note(format string, args ...any) { l.noteAt(time.Now(), format, args...) }

func (l *lab) noteAt(at time.Time, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record = append(l.record, entry{at, fmt.Sprintf(format, args...)})
}

// since returns the time since the start of the lab.
func (l *lab) since(at time.Time) time.Duration { return at.Sub(l.started) }

// sleepUntil waits until a time after the start.
func (l *lab) sleepUntil(d time.Duration) { time.Sleep(time.Until(l.started.Add(d))) }

// writeRecord writes record.txt into the folder of the case, which LAB_CASE names.
func (l *lab) writeRecord() {
	l.mu.Lock()
	defer l.mu.Unlock()
	sort.SliceStable(l.record, func(i, j int) bool { return l.record[i].at.Before(l.record[j].at) })
	var b strings.Builder
	for _, e := range l.record {
		fmt.Fprintf(&b, "%8.3f %s\n", e.at.Sub(l.started).Seconds(), e.text)
	}
	_ = os.WriteFile(filepath.Join(os.Getenv("LAB_CASE"), "record.txt"), []byte(b.String()), 0o644)
}

// finish ends all processes, writes the record and exits with the result.
func (l *lab) finish(broken bool) {
	l.killAll()
	verdict, code := "the rule held", ruleHeld
	if broken {
		verdict, code = "the rule was broken", ruleBroken
	}
	l.note("%s", verdict)
	l.writeRecord()
	fmt.Println(verdict)
	if os.Getenv("LAB_KEEP") == "" {
		_ = os.RemoveAll(l.dir)
	}
	os.Exit(code)
}

// process is a process that the lab has started.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

// start starts a process. Each line of its standard output is passed to onLine, or goes to
// a file of the temporary folder if onLine is nil.
func (l *lab) start(name string, env []string, onLine func(string), path string, args ...string) *process {
	cmd := exec.Command(path, args...)
	cmd.Dir = l.root
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + l.dir}, env...)
	log, err := os.OpenFile(filepath.Join(l.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		cannotRun("%v", err)
	}
	cmd.Stderr = log
	lines := make(chan struct{})
	if onLine == nil {
		cmd.Stdout = log
		close(lines)
	} else {
		out, err := cmd.StdoutPipe()
		if err != nil {
			cannotRun("%v", err)
		}
		go func() {
			defer close(lines)
			s := bufio.NewScanner(out)
			for s.Scan() {
				onLine(s.Text())
			}
		}()
	}
	if err := cmd.Start(); err != nil {
		cannotRun("%s: %v", name, err)
	}
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	l.mu.Lock()
	l.procs = append(l.procs, p)
	l.mu.Unlock()
	l.note("%s started", name)
	go func() {
		<-lines
		err := cmd.Wait()
		_ = log.Close()
		if !l.isEnding() {
			l.note("%s ended: %v", name, err)
		}
		close(p.done)
	}()
	return p
}

func (l *lab) isEnding() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ending
}

// signal sends a signal to a process of the lab.
func (l *lab) signal(p *process, s syscall.Signal) {
	l.note("%s gets %v", p.name, s)
	_ = p.cmd.Process.Signal(s)
}

func (l *lab) killAll() {
	l.mu.Lock()
	l.ending = true
	procs := l.procs
	l.mu.Unlock()
	for _, p := range procs {
		select {
		case <-p.done:
			continue
		default:
		}
		_ = p.cmd.Process.Kill()
		<-p.done
	}
}

// gateway is a machine with the gateway's role.
type gateway struct {
	l                  *lab
	name               string
	zone               string
	front, ready, peer string
	settings           string

	mu       sync.Mutex
	proc     *process
	misses   int
	rotation bool
}

// newGateway writes the settings of a gateway and starts it with the command of the deploy
// file. The settings are those that the platform makes from deploy/gateway.ini.
func (l *lab) newGateway(name string, sidecarPort int) *gateway {
	g := &gateway{l: l, name: name, front: l.addr("127.0.0.1"), ready: l.addr("127.0.0.1"), peer: l.addr("127.0.0.1")}
	text := l.fill("deploy/gateway.ini", map[string]string{
		"node_name": name, "zone": "z1", "{{#zones}}{{@}}:{{.}}{{,}}{{/zones}}": "z1:r1",
		"listen.front": g.front, "listen.ready": g.ready, "{{ip}}:{{port_range.0}}": g.peer, "port_range.0": strconv.Itoa(sidecarPort),
		"limits.memory_mb": "134", "platform.address": l.storeAddr(), "bounds.grace_s": "8",
		"bounds.retry_budget_ratio": "0.2", "bounds.retry_slack": "54", "bounds.retry_window_s": "10",
	})
	g.settings = filepath.Join(l.dir, name+".ini")
	if err := os.WriteFile(g.settings, []byte(text), 0o644); err != nil {
		cannotRun("%v", err)
	}
	g.start()
	return g
}

// fill fills in a template of the deploy file. A name in braces is replaced as it stands.
func (l *lab) fill(template string, values map[string]string) string {
	data, err := os.ReadFile(filepath.Join(l.root, template))
	if err != nil {
		cannotRun("%v", err)
	}
	text := string(data)
	for _, whole := range []bool{true, false} {
		for name, value := range values {
			if strings.HasPrefix(name, "{{") == whole {
				if !whole {
					name = "{{" + name + "}}"
				}
				text = strings.ReplaceAll(text, name, value)
			}
		}
	}
	if strings.Contains(text, "{{") {
		cannotRun("%s: a placeholder is left:\n%s", template, text)
	}
	return text
}

func (g *gateway) start() {
	env := []string{"QUETZALGLADE_NODE_FILE=" + g.settings, "QUETZALGLADE_LINK_MBPS=1000.0"}
	p := g.l.start(g.name, env, nil, "target/quetzalglade-gateway")
	g.mu.Lock()
	defer g.mu.Unlock()
	g.proc = p
}

func (g *gateway) process() *process {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.proc
}

// restart starts the gateway again after its end, as the platform does.
func (g *gateway) restartAfterEnd(delay time.Duration) {
	<-g.process().done
	time.Sleep(delay)
	if !g.l.isEnding() {
		g.start()
	}
}

// balancer is a stand-in of the platform's balancer: it asks each gateway once a second, takes
// one out after two misses, and gives new connections to those in rotation.
type balancer struct {
	gateways []*gateway
}

func newBalancer(gateways []*gateway) *balancer {
	b := &balancer{gateways: gateways}
	client := &http.Client{Timeout: 800 * time.Millisecond}
	for _, g := range gateways {
		go func() {
			for {
				resp, err := client.Get("http://" + g.ready + "/v1/readyz")
				ok := err == nil && resp.StatusCode == http.StatusOK
				if err == nil {
					_ = resp.Body.Close()
				}
				g.mu.Lock()
				if g.misses++; ok {
					g.misses, g.rotation = 0, true
				}
				if g.misses >= 2 {
					g.rotation = false
				}
				g.mu.Unlock()
				time.Sleep(time.Second)
			}
		}()
	}
	return b
}

// pick returns the gateway for a new connection; n spreads the clients. If none is in
// rotation, all are used.
func (b *balancer) pick(n int) *gateway {
	var in []*gateway
	for _, g := range b.gateways {
		g.mu.Lock()
		if g.rotation {
			in = append(in, g)
		}
		g.mu.Unlock()
	}
	if len(in) == 0 {
		in = b.gateways
	}
	return in[n%len(in)]
}

// awaitReady waits until all gateways are in rotation.
func (b *balancer) awaitReady() {
	deadline := time.Now().Add(15 * time.Second)
	for time.Now().Before(deadline) {
		n := 0
		for _, g := range b.gateways {
			g.mu.Lock()
			if g.rotation {
				n++
			}
			g.mu.Unlock()
		}
		if n == len(b.gateways) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	cannotRun("the gateways aren't ready after 15 s")
}

// route returns a route of the configuration with the limits of the sheets' plain requests.
func route(name, prefix, kind, service string, timeoutMillis, attempts, priority int) map[string]any {
	return map[string]any{
		"name": name, "hostname": "shop.example", "prefix": prefix, "route_type": kind, "timeout_ms": timeoutMillis, "target_latency_ms": 1800,
		"priority": priority, "service": service, "max_attempts": attempts, "public": true, "sticky": kind == "streaming", "resumable": false, "gap_aim_ms": 180,
	}
}

// configuration is the operator's configuration with the given routes and services.
func configuration(version int, services []map[string]any, routes ...map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "t1", "api_keys": []string{"k1"}, "priority": 1}},
	}
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/healthz", "max_connections": 100, "protocol": "h1", "tls": false}
}

// plain is a plain worker with its entry in the store.
type plain struct {
	l       *lab
	service string
	addr    string
	slots   int
	queue   int
	work    time.Duration
	onLine  func(workerLine)

	id   string
	proc *process
	n    int
}

// workerLine is one line that a worker writes.
type workerLine struct {
	at                       time.Time
	worker, what, id, detail string
}

// startPlain starts a plain worker as a process and registers it.
func (l *lab) startPlain(service string, n, slots, queue int, work time.Duration, onLine func(workerLine)) *plain {
	p := &plain{l: l, service: service, addr: l.addr("127.0.0.1"), slots: slots, queue: queue, work: work, onLine: onLine, n: n}
	p.start(1)
	return p
}

// start starts an incarnation of the worker under a new id.
func (p *plain) start(incarnation int) {
	p.id = fmt.Sprintf("i-%s-%d-%d", p.service, p.n, incarnation)
	self, err := os.Executable()
	if err != nil {
		cannotRun("%v", err)
	}
	p.proc = p.l.start(p.id, nil, func(line string) {
		f := strings.SplitN(line, " ", 5)
		if len(f) < 5 {
			return
		}
		micros, _ := strconv.ParseInt(f[0], 10, 64)
		wl := workerLine{time.UnixMicro(micros), f[1], f[2], f[3], f[4]}
		p.l.noteAt(wl.at, "worker %s: %s %s %s", wl.worker, wl.what, wl.id, wl.detail)
		if p.onLine != nil {
			p.onLine(wl)
		}
	}, self, "plain", "-addr", p.addr, "-id", p.id, "-slots", strconv.Itoa(p.slots), "-queue", strconv.Itoa(p.queue), "-work", p.work.String())
	waitOpen(p.addr)
	p.l.store.write("servers/"+p.id, workerEntry(p.service, p.addr, "ready", p.slots, time.Now().UnixMilli()))
}

// workerEntry is what a worker writes about itself.
func workerEntry(service, addr, state string, slots int, born int64) map[string]any {
	return map[string]any{
		"service": service, "address": addr, "zone": "z1", "version": "v1", "slots": slots, "state": state, "cold_remaining_ms": 0, "seq_no": 1, "born": born,
	}
}

// waitOpen waits until an address accepts connections.
func waitOpen(addr string) {
	for range 200 {
		if c, err := net.DialTimeout("tcp", addr, time.Second); err == nil {
			_ = c.Close()
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	cannotRun("%s accepts no connection", addr)
}
