package faulttest

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	// buildDaemons builds the daemons from these packages. Importing them makes go
	// test discard its cached results when one of them changes.
	_ "github.com/quetzalglade/quetzalglade/agent"
	_ "github.com/quetzalglade/quetzalglade/entry"
	_ "github.com/quetzalglade/quetzalglade/internal/command"
)

// buildDaemons builds the daemons once for all tests and returns the directory
// of the executables.
var buildDaemons = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "quetzalglade-test-")
	if err != nil {
		return "", err
	}
	args := []string{"build", "-o", dir}
	if raceEnabled {
		args = append(args, "-race")
	}
	cmd := exec.Command("go", append(args, "./cmd/...")...)
	cmd.Dir = filepath.Join("..", "..")
	if out, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build daemons: %w\n%s", err, out)
	}
	return dir, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if dir, err := buildDaemons(); err == nil {
		_ = os.RemoveAll(dir)
	}
	os.Exit(code)
}

// process is a daemon that a test starts and can signal and restart.
type process struct {
	t          testing.TB
	name       string
	addr       string
	executable string
	cmd        *exec.Cmd
	// done is closed when the process has exited.
	done chan struct{}

	mu       sync.Mutex
	logLines []string
	exitCode int
	// lastPID is the process id of the latest incarnation.
	lastPID int
}

// startDaemon starts a daemon with the given settings, which must make it listen
// on addr.
func startDaemon(t testing.TB, program, name, addr, settings string) *process {
	t.Helper()
	dir, err := buildDaemons()
	if err != nil {
		t.Fatal(err)
	}
	settingsFile := filepath.Join(t.TempDir(), name+".ini")
	if err := os.WriteFile(settingsFile, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	p := &process{t: t, name: name, addr: addr, executable: filepath.Join(dir, program)}
	p.cmd = exec.Command(p.executable, "--settings", settingsFile)
	t.Cleanup(p.logOnFailure)
	p.start()
	return p
}

// failureLogLines is the number of log lines per daemon that logOnFailure prints.
const failureLogLines = 40

// logOnFailure prints the daemon's last log lines if the test has failed, to help
// analyse failures that are hard to reproduce.
func (p *process) logOnFailure() {
	if !p.t.Failed() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, line := range p.logLines[max(0, len(p.logLines)-failureLogLines):] {
		p.t.Logf("%s: %s", p.name, line)
	}
}

func (p *process) start() {
	p.t.Helper()
	// The kernel continues the stopped processes of a process group that becomes
	// orphaned, for example the test's when its shell exits.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	stdout, err := p.cmd.StdoutPipe()
	if err != nil {
		p.t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.done = make(chan struct{})
	p.mu.Lock()
	p.lastPID = p.cmd.Process.Pid
	p.mu.Unlock()
	go func() {
		scanner := bufio.NewScanner(stdout)
		scanner.Buffer(nil, 1<<20)
		for scanner.Scan() {
			p.mu.Lock()
			p.logLines = append(p.logLines, scanner.Text())
			p.mu.Unlock()
		}
		_ = p.cmd.Wait()
		p.mu.Lock()
		p.exitCode = p.cmd.ProcessState.ExitCode()
		p.mu.Unlock()
		close(p.done)
	}()
	p.t.Cleanup(p.kill)
}

// restartLine separates the incarnations of a daemon in logLines. It contains
// "config_version" so that it is among the lines that checkVersionUse selects.
const restartLine = `{"msg":"restarted by the test","config_version":0}`

// restart starts the daemon again with the same settings. The process must have
// exited or be about to exit.
func (p *process) restart() {
	p.t.Helper()
	if _, ok := p.exited(startTimeout); !ok {
		p.t.Fatalf("restart %s: process has not exited", p.name)
	}
	p.mu.Lock()
	p.logLines = append(p.logLines, restartLine)
	p.mu.Unlock()
	p.cmd = exec.Command(p.cmd.Path, p.cmd.Args[1:]...)
	p.start()
}

func (p *process) signal(sig syscall.Signal) { _ = p.cmd.Process.Signal(sig) }

// kill sends SIGKILL and waits until the process has exited.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// stop sends SIGTERM for a graceful stop and does not wait.
func (p *process) stop() { p.signal(syscall.SIGTERM) }

// pause suspends the process with SIGSTOP; resume continues it.
func (p *process) pause()  { p.signal(syscall.SIGSTOP) }
func (p *process) resume() { p.signal(syscall.SIGCONT) }

// requirePaused fails the test if the process has been continued by another process.
func (p *process) requirePaused() {
	p.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil || !bytes.Contains(status, []byte("\nState:\tT")) {
		p.t.Fatalf("%s is not paused any more: %v %.200s", p.name, err, status)
	}
}

// exited waits up to limit for the process to exit. It returns the exit code, 0
// without an exit, and whether the process has exited.
func (p *process) exited(limit time.Duration) (int, bool) {
	select {
	case <-p.done:
	case <-time.After(limit):
		return 0, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exitCode, true
}

// grepLog returns the log lines that contain all of the texts.
func (p *process) grepLog(texts ...string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var matches []string
	for _, line := range p.logLines {
		matchesAll := true
		for _, text := range texts {
			matchesAll = matchesAll && strings.Contains(line, text)
		}
		if matchesAll {
			matches = append(matches, line)
		}
	}
	return matches
}

// addressCount is the number of addresses that freeAddr has returned.
var addressCount atomic.Uint32

// freeAddr returns a loopback "ip:port" that no process listens on. Its IP address
// is not 127.0.0.1 and differs from those of the previous calls (it repeats after
// 254). Outgoing connections use 127.0.0.1 as their source and so cannot occupy the
// port before the daemon does.
func freeAddr(t testing.TB) string {
	t.Helper()
	pid, number := os.Getpid(), addressCount.Add(1)
	ip := fmt.Sprintf("127.%d.%d.%d", 1+(pid>>8)%126, pid%256, 1+number%254)
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// eventually polls until the condition holds and fails the test after limit.
func eventually(t testing.TB, limit time.Duration, description string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %v: %s", limit, description)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// ready reports whether the daemon's readiness endpoint returns 200.
func (p *process) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.addr+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// logTail returns the last 20 log lines for a failure message.
func (p *process) logTail() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var b bytes.Buffer
	for _, line := range p.logLines[max(0, len(p.logLines)-20):] {
		fmt.Fprintf(&b, "%s: %s\n", p.name, line)
	}
	return b.String()
}
