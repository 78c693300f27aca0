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

	// The daemons are built from these packages: a change of one must
	// invalidate cached test results.
	_ "github.com/quetzalglade/quetzalglade/agent"
	_ "github.com/quetzalglade/quetzalglade/entry"
	_ "github.com/quetzalglade/quetzalglade/internal/command"
)

// binaries builds the daemons once for all tests.
var binaries = sync.OnceValues(func() (string, error) {
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
		return "", fmt.Errorf("build: %w\n%s", err, out)
	}
	return dir, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if dir, err := binaries(); err == nil {
		_ = os.RemoveAll(dir)
	}
	os.Exit(code)
}

// process is a running daemon.
type process struct {
	t    testing.TB
	name string
	addr string
	file string
	cmd  *exec.Cmd
	done chan struct{}

	mu   sync.Mutex
	log  []string
	code int
	// started is the process id of the last start.
	started int
}

// startDaemon runs a daemon with settings text. The text must make it listen
// on addr.
func startDaemon(t testing.TB, program, name, addr, settings string) *process {
	t.Helper()
	dir, err := binaries()
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), name+".ini")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	p := &process{t: t, name: name, addr: addr, file: filepath.Join(dir, program)}
	p.cmd = exec.Command(p.file, "--settings", file)
	t.Cleanup(p.tellFailure)
	p.start()
	return p
}

// tellLines is how many of a daemon's last lines a failed test shows.
const tellLines = 40

// tellFailure shows the daemon's last lines if the test has failed, so that a
// failure that shows once can be traced.
func (p *process) tellFailure() {
	if !p.t.Failed() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, line := range p.log[max(0, len(p.log)-tellLines):] {
		p.t.Logf("%s: %s", p.name, line)
	}
}

func (p *process) start() {
	p.t.Helper()
	pipe, err := p.cmd.StdoutPipe()
	if err != nil {
		p.t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.done = make(chan struct{})
	p.mu.Lock()
	p.started = p.cmd.Process.Pid
	p.mu.Unlock()
	go func() {
		scan := bufio.NewScanner(pipe)
		scan.Buffer(nil, 1<<20)
		for scan.Scan() {
			p.mu.Lock()
			p.log = append(p.log, scan.Text())
			p.mu.Unlock()
		}
		_ = p.cmd.Wait()
		p.mu.Lock()
		p.code = p.cmd.ProcessState.ExitCode()
		p.mu.Unlock()
		close(p.done)
	}()
	p.t.Cleanup(p.kill)
}

// restartLine separates the incarnations of a daemon in its log.
const restartLine = `{"msg":"restarted by the test","config_version":0}`

// restart starts the daemon again with the same settings.
func (p *process) restart() {
	p.t.Helper()
	if _, ok := p.exited(startWait); !ok {
		p.t.Fatalf("%s has not ended, so that it cannot be restarted", p.name)
	}
	p.mu.Lock()
	p.log = append(p.log, restartLine)
	p.mu.Unlock()
	p.cmd = exec.Command(p.cmd.Path, p.cmd.Args[1:]...)
	p.start()
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process at once.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// stop asks for a graceful stop.
func (p *process) stop() { p.signal(syscall.SIGTERM) }

// pause freezes the process; resume lets it go on.
func (p *process) pause()  { p.signal(syscall.SIGSTOP) }
func (p *process) resume() { p.signal(syscall.SIGCONT) }

// exited reports whether the process ends within the limit, and its code.
func (p *process) exited(limit time.Duration) (int, bool) {
	select {
	case <-p.done:
	case <-time.After(limit):
		return 0, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.code, true
}

// logged returns the log lines that hold every one of the texts.
func (p *process) logged(texts ...string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for _, line := range p.log {
		all := true
		for _, text := range texts {
			all = all && strings.Contains(line, text)
		}
		if all {
			out = append(out, line)
		}
	}
	return out
}

// addresses counts the addresses that freeAddr has given out.
var addresses atomic.Uint32

// freeAddr returns a loopback address that nothing listens on. Each has an IP
// number of its own: outgoing connections start at 127.0.0.1 and so cannot
// take the port before the daemon does.
func freeAddr(t testing.TB) string {
	t.Helper()
	pid, n := os.Getpid(), addresses.Add(1)
	ip := fmt.Sprintf("127.%d.%d.%d", 1+(pid>>8)%126, pid%256, 1+n%254)
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// eventually polls until the condition holds.
func eventually(t testing.TB, limit time.Duration, what string, cond func() bool) {
	t.Helper()
	deadline := time.Now().Add(limit)
	for !cond() {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", limit, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// ready reports whether the daemon's readiness endpoint answers with success.
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

// dump returns the last lines of the log for a failure message.
func (p *process) dump() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var b bytes.Buffer
	for _, line := range p.log[max(0, len(p.log)-20):] {
		fmt.Fprintf(&b, "%s: %s\n", p.name, line)
	}
	return b.String()
}
