package soak

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	// buildGateway builds the gateway from these packages. Importing them makes go test
	// discard its cached results when one of them changes.
	_ "github.com/quetzalglade/quetzalglade/gateway"
	_ "github.com/quetzalglade/quetzalglade/internal/command"
	"github.com/quetzalglade/quetzalglade/platform"
)

// gatewayVariable is the environment variable with the path of the gateway's executable,
// for runs of earlier builds. The gateway is built from the source if it is empty.
const gatewayVariable = "SOAK_GATEWAY"

// buildGateway returns the path of the gateway's executable.
var buildGateway = sync.OnceValues(func() (string, error) {
	if path := os.Getenv(gatewayVariable); path != "" {
		return path, nil
	}
	dir, err := os.MkdirTemp("", "quetzalglade-soak-")
	if err != nil {
		return "", err
	}
	buildDir = dir
	args := []string{"build", "-o", dir}
	if raceEnabled {
		args = append(args, "-race")
	}
	cmd := exec.Command("go", append(args, "./cmd/quetzalglade-gateway")...)
	cmd.Dir = filepath.Join("..", "..")
	if out, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build the gateway: %w\n%s", err, out)
	}
	return filepath.Join(dir, "quetzalglade-gateway"), nil
})

// omitVariable is the environment variable with the settings, separated by commas, that an
// earlier build does not know.
const omitVariable = "SOAK_OMIT_SETTINGS"

// omitSettings removes the settings that the build under test does not know.
func omitSettings(text string) string {
	for name := range strings.SplitSeq(os.Getenv(omitVariable), ",") {
		lines := strings.SplitAfter(text, "\n")
		text = strings.Join(slices.DeleteFunc(lines, func(line string) bool { return name != "" && strings.HasPrefix(line, name+" = ") }), "")
	}
	return text
}

// buildDir is the directory that buildGateway has created, "" if none.
var buildDir string

func TestMain(m *testing.M) {
	code := m.Run()
	if buildDir != "" {
		_ = os.RemoveAll(buildDir)
	}
	os.Exit(code)
}

// graceTime is the time after SIGTERM at which the platform kills a process, restartDelay
// the time until it starts an ended one again.
const (
	graceTime    = 8 * time.Second
	restartDelay = 300 * time.Millisecond
)

// gateway is a VM with a gateway process, which is started again when it ends.
type gateway struct {
	t            testing.TB
	name         string
	front, ready string
	settingsFile string
	settings     string
	log          *os.File

	// settingsMu is held while the settings file is not to be read by a process that starts.
	settingsMu sync.Mutex

	mu  sync.Mutex
	cmd *exec.Cmd
	// startedAt is when the process of cmd was started.
	startedAt time.Time
	// exited is closed when the process of cmd has ended.
	exited chan struct{}
	// closing is set once the gateway is not started again.
	closing bool
	// inRotation is set while the load balancer opens connections to the gateway.
	inRotation bool
	// stopped is set once the process has received SIGTERM.
	stopped bool
	// failedChecks is the number of readiness checks in a row that have failed.
	failedChecks int
	signals      signalTimes
}

// signalTimes holds what happened to the processes of a gateway, and when.
type signalTimes struct {
	stops, hangups, kills []time.Time
	// resumes are the ends of pauses.
	resumes []time.Time
	// ownEnds are the ends of processes that no signal ended, overdue those of processes
	// that had not stopped at the end of the grace time.
	ownEnds, overdue []time.Time
}

// gatewayMemoryMB is the memory of a gateway's VM.
const gatewayMemoryMB = 284

// startGateway starts a gateway that uses the given store.
func startGateway(t testing.TB, name, storeAddr string) *gateway {
	t.Helper()
	return startSizedGateway(t, name, storeAddr, gatewayMemoryMB)
}

// startSizedGateway is like startGateway for a VM with the given memory.
func startSizedGateway(t testing.TB, name, storeAddr string, memoryMB int) *gateway {
	t.Helper()
	addrs := freeAddrs(t, newIP(), 3)
	g := &gateway{t: t, name: name, front: addrs[0], ready: addrs[1]}
	g.settings = fmt.Sprintf("[process]\nvm = %s\ndatacentre = a\nregions = a:north\nfront = %s\nready = %s\npeer = %s\nsidecar_port = 0\nmemory_mb = %d\n\n"+
		"[store]\naddress = %s\n\n[stop]\nlimit = %s\n\n[retries]\nratio = 0.2\nreserve = 54\nwindow = 10s\n", name, g.front, g.ready, addrs[2], memoryMB, storeAddr, graceTime)
	g.settings = omitSettings(g.settings)
	dir := t.TempDir()
	g.settingsFile = filepath.Join(dir, name+".ini")
	g.writeSettings(g.settings)
	var err error
	if g.log, err = os.Create(filepath.Join(logDir(t), name+".log")); err != nil {
		t.Fatal(err)
	}
	g.start()
	t.Cleanup(g.close)
	go g.checkReadiness()
	return g
}

// addressCount is the number of IP addresses that gateways have received.
var addressCount atomic.Uint32

// newIP returns a loopback address of its own for a gateway. Outgoing connections use other
// addresses as their source, so they do not take a port of the gateway while it restarts.
func newIP() string {
	pid, number := os.Getpid(), addressCount.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 1+(pid>>8)%126, pid%256, 1+number%254)
}

// freeAddrs returns unused ports of an address, all different.
func freeAddrs(t testing.TB, ip string, count int) []string {
	t.Helper()
	var addrs []string
	for range count {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			t.Fatal(err)
		}
		// The ports are all in use until the last one has been chosen.
		defer func() { _ = l.Close() }()
		addrs = append(addrs, l.Addr().String())
	}
	return addrs
}

// writeSettings replaces the settings file. A process that starts meanwhile must not read a part
// of it.
func (g *gateway) writeSettings(text string) {
	next := g.settingsFile + ".next"
	err := os.WriteFile(next, []byte(text), 0o600)
	if err == nil {
		err = os.Rename(next, g.settingsFile)
	}
	if err != nil {
		g.t.Error(err)
	}
}

// settingsReadTime is the time within which a process that starts has read its settings.
const settingsReadTime = 2 * time.Second

// hasReadSettings reports whether the process has been running for long enough to have read its
// settings. One that reads invalid ones can't start.
func (g *gateway) hasReadSettings() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Since(g.startedAt) > settingsReadTime
}

// start starts the process, and starts it again whenever it ends.
func (g *gateway) start() {
	g.t.Helper()
	executable, err := buildGateway()
	if err != nil {
		g.t.Fatal(err)
	}
	cmd := exec.Command(executable)
	cmd.Env = append(os.Environ(), "QUETZALGLADE_NODE_FILE="+g.settingsFile, "QUETZALGLADE_LINK_MBPS=1000")
	if raceEnabled {
		// The race detector otherwise delays the end of a process by a second.
		cmd.Env = append(cmd.Env, "GORACE=atexit_sleep_ms=0")
	}
	cmd.Stdout, cmd.Stderr = g.log, g.log
	// The kernel continues the stopped processes of an orphaned process group.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	g.settingsMu.Lock()
	defer g.settingsMu.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	// After close, the log is closed and nothing would end the process.
	if g.closing {
		return
	}
	if err := cmd.Start(); err != nil {
		g.t.Error(err)
		return
	}
	exited := make(chan struct{})
	g.cmd, g.exited, g.startedAt = cmd, exited, time.Now()
	go func() {
		err := cmd.Wait()
		now := time.Now()
		close(exited)
		g.recordEnd(err, now)
		time.Sleep(restartDelay)
		g.mu.Lock()
		closing := g.closing
		g.mu.Unlock()
		if !closing {
			g.start()
		}
	}()
}

// recordEnd records the end of a process, which is planned if the process was stopped.
func (g *gateway) recordEnd(err error, at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var exit *exec.ExitError
	var by syscall.Signal
	if errors.As(err, &exit) {
		by = exit.Sys().(syscall.WaitStatus).Signal()
	}
	// SIGTERM ends a process that has not installed its handler yet.
	if g.closing || by == syscall.SIGKILL || g.stopped && (err == nil || by == syscall.SIGTERM) {
		g.stopped = false
		return
	}
	g.stopped = false
	g.signals.ownEnds = append(g.signals.ownEnds, at)
	g.t.Logf("%s ended by itself: %v", g.name, err)
}

func (g *gateway) close() {
	g.mu.Lock()
	g.closing = true
	cmd, exited := g.cmd, g.exited
	g.mu.Unlock()
	_ = cmd.Process.Kill()
	<-exited
	_ = g.log.Close()
}

// signal sends a signal to the process and records it. After SIGTERM the process is killed
// at the end of the grace time.
func (g *gateway) signal(sig syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	cmd, exited, now := g.cmd, g.exited, time.Now()
	select {
	case <-exited:
		return
	default:
	}
	switch sig {
	case syscall.SIGTERM:
		g.signals.stops = append(g.signals.stops, now)
		g.stopped = true
		go g.killOverdue(cmd, exited)
	case syscall.SIGHUP:
		g.signals.hangups = append(g.signals.hangups, now)
	case syscall.SIGKILL:
		g.signals.kills = append(g.signals.kills, now)
	case syscall.SIGCONT:
		g.signals.resumes = append(g.signals.resumes, now)
	}
	_ = cmd.Process.Signal(sig)
}

// stall suspends the process for a short time without a record, as a machine does that has
// too little processor time.
func (g *gateway) stall(d time.Duration) {
	g.mu.Lock()
	process := g.cmd.Process
	g.mu.Unlock()
	_ = process.Signal(syscall.SIGSTOP)
	time.Sleep(d)
	_ = process.Signal(syscall.SIGCONT)
}

// killOverdue kills a process that has not ended at the end of the grace time.
func (g *gateway) killOverdue(cmd *exec.Cmd, exited <-chan struct{}) {
	select {
	case <-exited:
		return
	case <-time.After(graceTime):
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closing {
		g.signals.overdue = append(g.signals.overdue, time.Now())
	}
	_ = cmd.Process.Kill()
}

// Readiness checks of the load balancer.
const (
	readinessPeriod    = time.Second
	readinessTimeout   = 800 * time.Millisecond
	maxFailedReadiness = 2
)

// checkReadiness checks the gateway as the load balancer does, until the gateway closes.
func (g *gateway) checkReadiness() {
	client := &http.Client{Timeout: readinessTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		resp, err := client.Get("http://" + g.ready + platform.ReadyPath)
		ok := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			_ = resp.Body.Close()
		}
		g.mu.Lock()
		if ok {
			g.failedChecks, g.inRotation = 0, true
		} else if g.failedChecks++; g.failedChecks >= maxFailedReadiness {
			g.inRotation = false
		}
		closing := g.closing
		g.mu.Unlock()
		if closing {
			return
		}
		time.Sleep(readinessPeriod)
	}
}

func (g *gateway) isInRotation() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inRotation
}

// history returns what has happened so far.
func (g *gateway) history() signalTimes {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.signals
	return signalTimes{
		stops: slices.Clone(s.stops), hangups: slices.Clone(s.hangups), kills: slices.Clone(s.kills),
		resumes: slices.Clone(s.resumes), ownEnds: slices.Clone(s.ownEnds), overdue: slices.Clone(s.overdue),
	}
}

// logDirVariable is the environment variable with the directory that keeps the logs of the
// processes; a temporary one is used if it is empty.
const logDirVariable = "SOAK_LOGS"

func logDir(t testing.TB) string {
	t.Helper()
	root := os.Getenv(logDirVariable)
	if root == "" {
		return t.TempDir()
	}
	dir := filepath.Join(root, strings.ReplaceAll(t.Name(), "/", "-"))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		t.Fatal(err)
	}
	return dir
}
