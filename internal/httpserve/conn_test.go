package httpserve

import (
	"errors"
	"net"
	"net/http"
	"os"
	"testing"
	"time"
)

// acceptPair returns both ends of a connection of a Listener.
func acceptPair(t *testing.T) (client, server net.Conn) {
	t.Helper()
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := NewListener(tcp, nil)
	defer func() { _ = l.Close() }()
	if client, err = net.Dial("tcp", tcp.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if server, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = client.Close(), server.Close() })
	return client, server
}

// Guards against a read deadline that discards received data, and against a client that
// sends byte by byte and so extends its time limit again and again.
func TestReadDeadlineIsExtendedOnceForReceivedData(t *testing.T) {
	client, server := acceptPair(t)
	read := func() error {
		_, err := server.Read(make([]byte, 1))
		return err
	}
	if err := server.SetReadDeadline(time.Unix(1, 0)); err != nil {
		t.Fatal(err)
	}
	if err := read(); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read without received data after its deadline: %v, want a timeout", err)
	}
	if _, err := client.Write([]byte("ab")); err != nil {
		t.Fatal(err)
	}
	for !readable(server) {
		time.Sleep(time.Millisecond)
	}
	if err := read(); err != nil {
		t.Errorf("read of received data after its deadline: %v", err)
	}
	time.Sleep(lateReadTimeout)
	if err := read(); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read after the extended deadline: %v, want a timeout", err)
	}
	if err := server.SetReadDeadline(time.Now().Add(time.Minute)); err != nil {
		t.Fatal(err)
	}
	if err := read(); err != nil {
		t.Errorf("read after a new deadline: %v", err)
	}
}

// Guards against an upload that is cut without an answer at the end of a stop: unread data put off
// the end of its reads for longer than the stop has left for the refusal.
func TestReadOfABodyEndsSoonAfterItsDeadline(t *testing.T) {
	client, server := acceptPair(t)
	conns := NewConnections()
	conns.SetState(server, http.StateActive)
	if _, err := client.Write([]byte("a")); err != nil {
		t.Fatal(err)
	}
	for !readable(server) {
		time.Sleep(time.Millisecond)
	}
	if err := server.SetReadDeadline(pastDeadline); err != nil {
		t.Fatal(err)
	}
	if _, err := server.Read(make([]byte, 1)); err != nil {
		t.Errorf("read of received data after its deadline: %v", err)
	}
	time.Sleep(lateBodyReadTimeout)
	if _, err := client.Write([]byte("b")); err != nil {
		t.Fatal(err)
	}
	for !readable(server) {
		time.Sleep(time.Millisecond)
	}
	if _, err := server.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read of a body after the extended deadline: %v, want a timeout", err)
	}
}
