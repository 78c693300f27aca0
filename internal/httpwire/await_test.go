package httpwire

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"
)

// Guards against a reset connection that a stream takes for its regular end.
func TestAwaitKeepsError(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	reset := make(chan struct{})
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		buf := make([]byte, 4096)
		_, _ = c.Read(buf)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\ndata: x\n\n")
		<-reset
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c := &Conn{net: client, input: &headReader{r: client}}
	c.reader = bufio.NewReader(c.input)
	defer c.Close()
	if err := c.Send(&Request{Method: "GET", Path: "/", Host: "h"}); err != nil {
		t.Fatal(err)
	}
	resp, err := c.Receive("GET")
	if err != nil {
		t.Fatal(err)
	}
	buf := make([]byte, 9)
	if _, err := io.ReadFull(resp.Body, buf); err != nil {
		t.Fatal(err)
	}
	close(reset)
	time.Sleep(50 * time.Millisecond)
	if !c.Await(20 * time.Millisecond) {
		t.Error("Await does not report the end of the connection")
	}
	n, err := resp.Body.Read(buf)
	if err == io.EOF {
		t.Errorf("read after a reset: %d bytes, error %v; want a connection error", n, err)
	}
}
