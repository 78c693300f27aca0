package httpserve

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// Guards against a stop that never ends because clients go on opening connections faster
// than a slow process accepts them.
func TestStoppedListenerClosesWhileClientsOpenConnections(t *testing.T) {
	const dialers, acceptTime, limit = 8, time.Millisecond, 3 * time.Second
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := NewListener(tcp, nil)
	done := make(chan struct{})
	var wg sync.WaitGroup
	for range dialers {
		wg.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
				}
				if c, err := net.DialTimeout("tcp", tcp.Addr().String(), 100*time.Millisecond); err == nil {
					_ = c.Close()
				}
			}
		})
	}
	l.Stop()
	startedAt := time.Now()
	accepted := 0
	for time.Since(startedAt) < limit {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			break
		}
		if err == nil {
			accepted++
			_ = c.Close()
		}
		time.Sleep(acceptTime)
	}
	if took := time.Since(startedAt); took >= limit {
		t.Errorf("the listener is still open %v after its stop, limit %v, %d connections accepted", took, limit, accepted)
	}
	close(done)
	_ = l.Close()
	wg.Wait()
}

// Guards against a stop that resets the connections which wait when its search for opened
// connections has lasted as long as it may.
func TestStoppedListenerAcceptsWhatWaitsAtTheEndOfItsSearch(t *testing.T) {
	const waiting = 20
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := NewListener(tcp, nil)
	l.searched = maxSearchTime
	for range waiting {
		c, err := net.Dial("tcp", tcp.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
	}
	l.Stop()
	accepted := 0
	for {
		c, err := l.Accept()
		if err != nil {
			break
		}
		accepted++
		_ = c.Close()
	}
	if accepted != waiting {
		t.Errorf("%d of %d opened connections were accepted", accepted, waiting)
	}
}

// BenchmarkCount measures one poll of a stop with many idle connections.
func BenchmarkCount(b *testing.B) {
	const opened = 2000
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	conns := NewConnections()
	for range opened {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			b.Fatal(err)
		}
		s, err := l.Accept()
		if err != nil {
			b.Fatal(err)
		}
		defer func() { _, _ = c.Close(), s.Close() }()
		conns.SetState(s, http.StateIdle)
	}
	for b.Loop() {
		conns.count()
	}
}

// Guards against a stop that resets connections which wait in the listener's queue, also if
// the process was late to accept them.
func TestStoppedListenerAcceptsOpenedConnections(t *testing.T) {
	const opened = 50
	for _, late := range []time.Duration{0, 2 * maxSearchTime} {
		tcp, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		l := NewListener(tcp, nil)
		for range opened {
			c, err := net.Dial("tcp", tcp.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
		}
		l.Stop()
		l.searchedAt = time.Now().Add(-late)
		accepted := 0
		for {
			c, err := l.Accept()
			if err != nil {
				if !errors.Is(err, net.ErrClosed) {
					t.Errorf("Accept at the end of the stop: %v, want net.ErrClosed", err)
				}
				break
			}
			_ = c.Close()
			accepted++
		}
		if accepted != opened {
			t.Errorf("%d of %d opened connections accepted, %v after the start of the stop", accepted, opened, late)
		}
		if _, err := net.Dial("tcp", tcp.Addr().String()); err == nil {
			t.Error("the listener is still open")
		}
	}
}
