package httpserve

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// Guards against requests on kept connections that lie unread, and are reset without an answer
// after a stall, between the moment at which the server finds an idle connection empty and its
// close.
func TestIdleConnectionIsShutDownBeforeTheServerClosesIt(t *testing.T) {
	for _, state := range []http.ConnState{http.StateNew, http.StateIdle} {
		client, server := acceptPair(t)
		conns := NewConnections()
		conns.SetState(server, state)
		conns.expireIdle(true)
		if _, err := server.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("%v: read of an idle connection in the stop: %v, want a timeout", state, err)
		}
		// The server has not closed the connection.
		_, _ = client.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
		_ = client.SetReadDeadline(time.Now().Add(5 * time.Second))
		if _, err := client.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%v: the client was not told that its connection has ended: %v", state, err)
		}
	}
}

// Guards against the shutdown of a connection that carries a request or has received a part of one.
func TestConnectionWithARequestIsNotShutDown(t *testing.T) {
	exchange := func(client, server net.Conn, text string) {
		t.Helper()
		if _, err := server.Write([]byte(text)); err != nil {
			t.Errorf("write of the response: %v", err)
		}
		_ = client.SetReadDeadline(time.Now().Add(5 * time.Second))
		if _, err := io.ReadFull(client, make([]byte, len(text))); err != nil {
			t.Errorf("read of the response: %v", err)
		}
	}
	client, server := acceptPair(t)
	conns := NewConnections()
	conns.SetState(server, http.StateNew)
	conns.SetState(server, http.StateActive)
	_ = server.SetReadDeadline(pastDeadline)
	if _, err := server.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read beside a request after its deadline: %v, want a timeout", err)
	}
	exchange(client, server, "early")
	conns.SetState(server, http.StateIdle)
	if _, err := client.Write([]byte("GET")); err != nil {
		t.Fatal(err)
	}
	for !readable(server) {
		time.Sleep(time.Millisecond)
	}
	conns.expireIdle(true)
	buf := make([]byte, 8)
	if n, err := server.Read(buf); err != nil || string(buf[:n]) != "GET" {
		t.Errorf("read of a request that arrived before the end of the reads: %q, %v", buf[:n], err)
	}
	conns.SetState(server, http.StateActive)
	exchange(client, server, "late")
}

// Guards against a stop that lasts to its limit because the server has replaced the deadline that
// ends the reads of an idle connection.
func TestStopEndsReadsWhoseDeadlineWasReplaced(t *testing.T) {
	_, server := acceptPair(t)
	conns := NewConnections()
	conns.SetState(server, http.StateIdle)
	conns.expireIdle(true)
	_ = server.SetReadDeadline(time.Now().Add(time.Minute))
	conns.expireIdle(true)
	if _, err := server.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read of an idle connection in the stop: %v, want a timeout", err)
	}
}

// endlessContext is a context whose deadline is near but does not come.
type endlessContext struct{ context.Context }

func (endlessContext) Deadline() (time.Time, bool) { return time.Now().Add(lastPhaseTime / 4), true }

// Guards against a stop that keeps idle connections open to its end because others carry requests,
// and then closes them although requests have arrived.
func TestStopClosesIdleConnectionsBesideARequest(t *testing.T) {
	conns := NewConnections()
	_, active := acceptPair(t)
	conns.SetState(active, http.StateActive)
	client, idle := acceptPair(t)
	conns.SetState(idle, http.StateIdle)
	read := make(chan error, 1)
	go func() {
		_, err := idle.Read(make([]byte, 1))
		read <- err
	}()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan int, 1)
	go func() { done <- conns.Close(endlessContext{ctx}) }()
	_ = client.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := client.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("read of the client of an idle connection: %v, want its end", err)
	}
	cancel()
	if busy := <-done; busy == 0 {
		t.Error("the connection with a request has not been open until the end of the stop")
	}
	_ = idle.SetReadDeadline(pastDeadline)
	<-read
}

// Stalls of a process that closes its idle connections.
const (
	sweepStalls   = 12
	sweepConns    = 400
	sweepCanaries = 40
	sweepStall    = 100 * time.Millisecond
)

// Guards against several requests that are lost at once because a process stalls while it closes
// its idle connections. Between two system calls of one thread no process can know of a
// request.
func TestStallLosesOneIdleConnectionAtMost(t *testing.T) {
	var lost, open int
	for range sweepStalls {
		l, o := stallWhileClosing(t)
		if l > 1 {
			t.Errorf("a stall lost %d of %d requests on idle connections, limit 1", l, o)
		}
		lost, open = lost+l, open+o
	}
	t.Logf("%d stalls lost %d of %d requests on connections that were open", sweepStalls, lost, open)
}

// startServing starts a process that serves until SIGTERM, and returns its address.
func startServing(t *testing.T) (cmd *exec.Cmd, addr string) {
	t.Helper()
	cmd = exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), serveVariable+"=1")
	// The kernel continues the stopped processes of an orphaned process group.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cmd.Process.Kill(); _ = cmd.Wait() })
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	return cmd, strings.TrimSpace(line)
}

// stallWhileClosing stops a process, stalls it while it closes its idle connections, and sends a
// request on each that is open then. It returns how many of them got no answer.
func stallWhileClosing(t *testing.T) (lost, open int) {
	cmd, addr := startServing(t)
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	conns, readers := make([]net.Conn, sweepConns), make([]*bufio.Reader, sweepConns)
	var err error
	for i := range conns {
		if conns[i], err = net.Dial("tcp", addr); err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conns[i].Close() }()
		readers[i] = bufio.NewReader(conns[i])
		_, _ = io.WriteString(conns[i], request)
		if _, err := http.ReadResponse(readers[i], nil); err != nil {
			t.Fatal(err)
		}
	}
	closed := make(chan struct{}, sweepCanaries)
	for _, r := range readers[:sweepCanaries] {
		go func() { _, _ = r.Peek(1); closed <- struct{}{} }()
	}
	_ = cmd.Process.Signal(syscall.SIGTERM)
	<-closed
	_ = cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(10 * time.Millisecond)
	var unanswered atomic.Int32
	var wg sync.WaitGroup
	var resetInStall sync.Map
	for i := sweepCanaries; i < sweepConns; i++ {
		if readable(conns[i]) {
			continue
		}
		if _, err := io.WriteString(conns[i], request); err != nil {
			continue
		}
		open++
		wg.Go(func() {
			if _, err := http.ReadResponse(readers[i], nil); err == nil {
				return
			}
			if _, ok := resetInStall.Load(i); !ok {
				unanswered.Add(1)
			}
		})
	}
	time.Sleep(sweepStall)
	// The system has told these clients at once that their requests were not read.
	for i := sweepCanaries; i < sweepConns; i++ {
		if readable(conns[i]) {
			resetInStall.Store(i, true)
		}
	}
	_ = cmd.Process.Signal(syscall.SIGCONT)
	wg.Wait()
	return int(unanswered.Load()), open
}
