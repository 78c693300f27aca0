// Package crowdtest runs the daemons as real processes under crowds of clients outside the
// limits, and checks that each process lives, stays within its memory and its descriptors, and
// serves requests within the limits afterwards. It checks no times and no share of served
// requests.
package crowdtest

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	// buildDaemons builds the daemons from these packages. Importing them makes go test
	// discard its cached results when one of them changes.
	_ "github.com/quetzalglade/quetzalglade/agent"
	_ "github.com/quetzalglade/quetzalglade/entry"
	_ "github.com/quetzalglade/quetzalglade/gateway"
	_ "github.com/quetzalglade/quetzalglade/internal/command"
	_ "github.com/quetzalglade/quetzalglade/sidecar"
)

// buildDaemons builds the daemons once for all tests and returns the directory of the
// executables. They are built without the race detector, which takes several times the memory.
var buildDaemons = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "quetzalglade-crowd-")
	if err != nil {
		return "", err
	}
	cmd := exec.Command("go", "build", "-o", dir, "./cmd/...")
	cmd.Dir = filepath.Join("..", "..")
	if out, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build daemons: %w\n%s", err, out)
	}
	return dir, nil
})

// descriptorVariable makes the test's executable limit its descriptors and then execute the
// program of its arguments.
const descriptorVariable = "CROWDTEST_DESCRIPTORS"

func TestMain(m *testing.M) {
	if text := os.Getenv(descriptorVariable); text != "" {
		fmt.Fprintln(os.Stderr, execLimited(text))
		os.Exit(1)
	}
	code := m.Run()
	if dir, err := buildDaemons(); err == nil {
		_ = os.RemoveAll(dir)
	}
	os.Exit(code)
}

// execLimited executes the program of the arguments with a limit of its descriptors. It returns
// only if that fails.
func execLimited(text string) error {
	limit, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return err
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: limit, Max: limit}); err != nil {
		return err
	}
	if err := os.Unsetenv(descriptorVariable); err != nil {
		return err
	}
	return syscall.Exec(os.Args[1], os.Args[1:], os.Environ())
}

// process is a daemon under test.
type process struct {
	t    *testing.T
	name string
	// memoryMB and descriptors are the limits that the process is told.
	memoryMB, descriptors int
	cmd                   *exec.Cmd
	// done is closed when the process has exited.
	done chan struct{}

	mu             sync.Mutex
	log            bytes.Buffer
	maxDescriptors int
}

// Write implements io.Writer for the process's log.
func (p *process) Write(data []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(data)
}

// memoryVariable is the environment variable by which entry and agent learn the memory of
// their VM in MB; gateway and sidecar have a setting.
const memoryVariable = "QUETZALGLADE_MEMORY_MB"

// startProcess starts a daemon with the given settings.
func startProcess(t *testing.T, program, settings string, memoryMB, descriptors int) *process {
	t.Helper()
	dir, err := buildDaemons()
	if err != nil {
		t.Fatal(err)
	}
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), program+".ini")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	p := &process{t: t, name: program, memoryMB: memoryMB, descriptors: descriptors, done: make(chan struct{})}
	p.cmd = exec.Command(self, filepath.Join(dir, program), "--settings", file)
	p.cmd.Env = append(os.Environ(), fmt.Sprintf("%s=%d", descriptorVariable, descriptors), fmt.Sprintf("%s=%d", memoryVariable, memoryMB))
	p.cmd.Stdout, p.cmd.Stderr = p, p
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.done
		if t.Failed() {
			t.Logf("%s: %s", p.name, p.logTail())
		}
	})
	return p
}

// failureLogBytes is how much of a process's log a failed test prints.
const failureLogBytes = 3000

func (p *process) logTail() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	data := p.log.Bytes()
	return string(data[max(0, len(data)-failureLogBytes):])
}

func (p *process) exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// samplePeriod is the time between two counts of a process's open descriptors.
const samplePeriod = 20 * time.Millisecond

// watchDescriptors counts the open descriptors until stop is called.
func (p *process) watchDescriptors() (stop func()) {
	end, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
			if err == nil {
				p.mu.Lock()
				p.maxDescriptors = max(p.maxDescriptors, len(entries))
				p.mu.Unlock()
			}
			select {
			case <-end:
				return
			case <-time.After(samplePeriod):
			}
		}
	}()
	return func() { close(end); <-ended }
}

// Bounds of a process.
const (
	// memoryShare is the part of the memory of its VM that a process may have resident; the
	// rest is for the buffers of its sockets and for the system.
	memoryShare = 0.75
	// descriptorShare is the part of its descriptors that a process may have open under a
	// crowd; the rest is for the store, other processes and targets.
	descriptorShare = 0.9
)

// checkBounds checks that the process lives and has stayed within its memory and descriptors.
func (p *process) checkBounds() {
	p.t.Helper()
	if p.exited() {
		p.t.Errorf("%s has exited: %v", p.name, p.cmd.ProcessState)
		return
	}
	peakKB, err := p.peakMemoryKB()
	if err != nil {
		p.t.Errorf("%s: %v", p.name, err)
		return
	}
	p.mu.Lock()
	open := p.maxDescriptors
	p.mu.Unlock()
	maxMB, maxOpen := int(memoryShare*float64(p.memoryMB)), int(descriptorShare*float64(p.descriptors))
	p.t.Logf("%s: peak memory %d MiB, bound %d; descriptors %d, bound %d", p.name, peakKB>>10, maxMB, open, maxOpen)
	if peakKB>>10 > maxMB {
		p.t.Errorf("%s: peak memory %d MiB, bound %d of %d", p.name, peakKB>>10, maxMB, p.memoryMB)
	}
	if open > maxOpen {
		p.t.Errorf("%s: %d open descriptors, bound %d of %d", p.name, open, maxOpen, p.descriptors)
	}
}

// peakMemoryKB returns the largest resident memory that the process has had.
func (p *process) peakMemoryKB() (int, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			return strconv.Atoi(strings.Fields(rest)[0])
		}
	}
	return 0, fmt.Errorf("no peak memory of process %d", p.cmd.Process.Pid)
}

// addressCount is the number of IP addresses that processes have received.
var addressCount atomic.Uint32

// freeAddrs returns unused ports of a loopback address that no outgoing connection uses.
func freeAddrs(t *testing.T, count int) []string {
	t.Helper()
	pid, number := os.Getpid(), addressCount.Add(1)
	ip := fmt.Sprintf("127.%d.%d.%d", 1+(pid>>8)%126, pid%256, 1+number%254)
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
