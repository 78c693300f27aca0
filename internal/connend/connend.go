// Package connend decides whether a response body that ends with its connection, because it has
// neither a length nor chunks, is complete.
//
// Invariant: such a body is complete only if the reads ended in order and no write on the
// connection has failed; and, unless the peer has received the request in full, only if no reset
// follows the end.
//
// The end of the reads alone doesn't show this. The system reports a reset once: if a write
// meets it first, that write fails and the next read returns an orderly end.
package connend

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// ErrBrokenOff is the cause of the error for a body that may be incomplete.
var ErrBrokenOff = errors.New("connection broken off while the request was being written")

// Writes records the writes on a connection. The zero value is ready to use. Its methods may be
// called from any goroutine.
type Writes struct {
	mu sync.Mutex
	// inProgress counts the writes in progress, isRequestPending is set until the current
	// request has been written in full.
	inProgress       int
	isRequestPending bool
	// err is the first error of a write.
	err error
	// changed is closed at the next change, nil if nobody waits for it.
	changed chan struct{}
}

// BeginRequest records that the write of a request begins.
func (w *Writes) BeginRequest() { w.change(func() { w.isRequestPending = true }) }

// EndRequest records that the request was written in full, or why it was not.
func (w *Writes) EndRequest(err error) {
	w.change(func() {
		w.isRequestPending = false
		w.fail(err)
	})
}

// Begin records that a write begins, a part of a request or of a protocol below it.
func (w *Writes) Begin() { w.change(func() { w.inProgress++ }) }

// End records the result of a write.
func (w *Writes) End(err error) {
	w.change(func() {
		w.inProgress--
		w.fail(err)
	})
}

func (w *Writes) change(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
	if w.changed != nil {
		close(w.changed)
		w.changed = nil
	}
}

func (w *Writes) fail(err error) {
	if w.err == nil {
		w.err = err
	}
}

// IsWritten reports whether the current request was written in full and no write has failed.
func (w *Writes) IsWritten() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.isPending() && w.err == nil
}

func (w *Writes) isPending() bool { return w.isRequestPending || w.inProgress > 0 }

func (w *Writes) state() (isPending bool, changed <-chan struct{}, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.changed == nil {
		w.changed = make(chan struct{})
	}
	return w.isPending(), w.changed, w.err
}

// resetDelay is how long the reset of a connection may follow its end. A process that ends, or
// closes the connection, resets it when further data of the request arrive: within a round trip,
// also between regions. Servers that end an early answer in order leave the connection open
// longer (net/http for 500 ms), since their clients could lose the answer otherwise.
// pollInterval is the time between two looks at the connection meanwhile.
const (
	resetDelay   = 250 * time.Millisecond
	pollInterval = 5 * time.Millisecond
)

// Check is called at the end of the reads from a connection. It returns an error if a body that
// ends there may be incomplete. Until the peer has received the request in full, or the write has
// failed, it waits for a reset, resetDelay at most.
func (w *Writes) Check(conn net.Conn) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for start := time.Now(); ; {
		isLate := time.Since(start) >= resetDelay
		isPending, changed, err := w.state()
		// The system's buffer may hold the end of a request that was written in full.
		isClosed, unacknowledged := inspect(conn)
		switch {
		case err != nil:
			return errors.Mark(errors.Wrap(err, "write of the request"), ErrBrokenOff)
		case !isPending && unacknowledged == 0:
			return nil
		case isClosed:
			return errors.WithStack(ErrBrokenOff)
		case isLate:
			return nil
		}
		select {
		case <-changed:
		case <-ticker.C:
		}
	}
}

// stateClosed is the state of a TCP connection after a reset or a timeout (TCP_CLOSE).
const stateClosed = 7

// inspect returns whether a connection is closed in both directions, and how many of the written
// bytes the peer has not acknowledged. Neither is known of a connection without a descriptor,
// which counts as open.
func inspect(conn net.Conn) (isClosed bool, unacknowledged int) {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return false, 0
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false, 0
	}
	err = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			isClosed = info.State == stateClosed
		}
		// A reset does not change the result.
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			unacknowledged = n
		}
	})
	// An error means that this process has closed the connection.
	return isClosed || err != nil, unacknowledged
}
