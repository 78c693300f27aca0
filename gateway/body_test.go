package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/quetzalglade/quetzalglade/internal/bodybudget"
	"github.com/quetzalglade/quetzalglade/internal/httpserve"
	"github.com/quetzalglade/quetzalglade/result"
	"github.com/quetzalglade/quetzalglade/routing"
)

// Guards against a refusal that waits for the rest of an upload without a limit.
func TestRefusalDoesNotWaitForStalledUpload(t *testing.T) {
	for _, sent := range []int{0, 1000} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			discardBody(w, r, defaultBodyBytes)
			w.WriteHeader(http.StatusServiceUnavailable)
		}))
		c, err := net.Dial("tcp", s.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n%s", make([]byte, sent))
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Errorf("sent %d bytes: no response within 5 s: %v", sent, err)
		} else if resp.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("sent %d bytes: status %d, want 503", sent, resp.StatusCode)
		}
		_ = c.Close()
		s.Close()
	}
}

// Guards against an oversized body that is refused as unreadable, since its client sends the
// rest slowly.
func TestOversizedBodyOfSlowClientIsRefusedAsTooLarge(t *testing.T) {
	g := &Gateway{bodies: bodybudget.New(bodyMemoryBytes(0)), stopPhase: newStopPhase()}
	failures := make(chan *result.Error, 1)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		req := &request{route: &routing.Route{}, deadline: time.Now().Add(time.Minute)}
		failures <- g.readBody(w, r, req, 1000)
	}))
	defer s.Close()
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n%s", make([]byte, 2000))
	if failure := <-failures; failure == nil || failure.Code != result.BodyTooLarge {
		t.Errorf("refusal %v, want code %d", failure, result.BodyTooLarge)
	}
}

// Guards against an upload that the end of a stop cuts without an answer, because the request is
// read until then.
func TestUploadInProgressIsRefusedAtTheEndOfAStop(t *testing.T) {
	g := &Gateway{bodies: bodybudget.New(bodyMemoryBytes(0)), stopPhase: newStopPhase()}
	reading := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		req := &request{route: &routing.Route{}, deadline: time.Now().Add(time.Minute)}
		close(reading)
		if failure := g.readBody(w, r, req, 0); failure == nil || failure.Code != result.TargetLeaving || failure.Ran != result.RanNo {
			t.Errorf("refusal %v, want code %d, not run", failure, result.TargetLeaving)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer s.Close()
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n%s", make([]byte, 1000))
	<-reading
	g.stopPhase.endAnswer(errStopping)
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	if resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
		t.Errorf("status %d, connection ends %v, want 503 and its end", resp.StatusCode, resp.Close)
	}
}

// Guards against the refusal of a request whose body has arrived when the uploads are ended.
func TestBodyThatHasArrivedIsReadAtTheEndOfAStop(t *testing.T) {
	g := &Gateway{bodies: bodybudget.New(bodyMemoryBytes(0)), stopPhase: newStopPhase()}
	g.stopPhase.endAnswer(errStopping)
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const length = 1000
	sent := make(chan struct{})
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-sent
		req := &request{route: &routing.Route{}, deadline: time.Now().Add(time.Minute)}
		if failure := g.readBody(w, r, req, 0); failure != nil {
			t.Errorf("refusal %v of a body that has arrived", failure)
		}
	})}
	defer func() { _ = s.Close() }()
	go func() { _ = s.Serve(httpserve.NewListener(tcp, nil)) }()
	c, err := net.Dial("tcp", tcp.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", length)
	time.Sleep(20 * time.Millisecond)
	_, _ = c.Write(make([]byte, length))
	close(sent)
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
		t.Fatalf("no response: %v", err)
	}
}
