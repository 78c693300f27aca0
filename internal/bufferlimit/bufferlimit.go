// Package bufferlimit limits the bytes that a process buffers of responses at the same
// time. It bounds the memory that faulty targets whose responses never end can take.
package bufferlimit

import (
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// ErrExceeded is returned for a buffer that would exceed the limit.
var ErrExceeded = errors.New("buffered responses exceed the size limit of the process")

// Limit limits the bytes of all its accounts together. It may be used from any goroutine.
type Limit struct {
	maxBytes, freeBytes int64
	used                atomic.Int64
}

// New returns a limit of maxBytes. The first freeBytes of each account do not count, so
// that short responses are read while endless ones use up the limit.
func New(maxBytes, freeBytes int64) *Limit { return &Limit{maxBytes: maxBytes, freeBytes: freeBytes} }

// Used returns the number of bytes that count against the limit.
func (l *Limit) Used() int64 { return l.used.Load() }

// Account counts one buffer against a limit until Release. It is not safe for concurrent
// use.
type Account struct {
	limit *Limit
	size  int64
	// Hold, if set, is called with each change of the size.
	Hold func(bytes int64)
}

// NewAccount returns an account of an empty buffer.
func (l *Limit) NewAccount() *Account { return &Account{limit: l} }

// Counted returns the number of bytes of the buffer that count against the limit.
func (a *Account) Counted() int64 { return max(a.size-a.limit.freeBytes, 0) }

// Resize sets the size of the buffer. It returns ErrExceeded if the buffer counts and all
// accounts together exceed the limit.
func (a *Account) Resize(size int64) error {
	before := a.Counted()
	if a.Hold != nil && size != a.size {
		a.Hold(size - a.size)
	}
	a.size = size
	if a.limit.used.Add(a.Counted()-before) > a.limit.maxBytes && a.Counted() > 0 {
		return ErrExceeded
	}
	return nil
}

// Release ends the count of the buffer.
func (a *Account) Release() { _ = a.Resize(0) }

// Reader reads a body and counts all of it against a limit until Release.
type Reader struct {
	*Account
	body io.Reader
}

// NewReader returns a reader of a body that is buffered.
func (l *Limit) NewReader(body io.Reader) *Reader {
	return &Reader{Account: l.NewAccount(), body: body}
}

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if limitErr := r.Resize(r.size + int64(n)); limitErr != nil {
		return n, limitErr
	}
	return n, err
}
