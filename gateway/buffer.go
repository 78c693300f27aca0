package gateway

import (
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Limits of what is buffered of responses at the same time.
const (
	// maxBufferedBytes limits the buffers of all responses together.
	maxBufferedBytes = 16 << 20
	// freeBufferBytes is the part of each buffer that does not count, so that short
	// responses are read while endless ones use up the limit.
	freeBufferBytes = 64 << 10
)

var errBufferLimit = errors.New("buffered responses exceed the size limit of the process")

// bufferLimit limits the bytes of buffered responses. It may be used from any goroutine.
type bufferLimit struct{ used atomic.Int64 }

// bufferAccount counts one buffer against the limit until release.
type bufferAccount struct {
	limit *bufferLimit
	size  int64
}

func (l *bufferLimit) account() *bufferAccount { return &bufferAccount{limit: l} }

// counted returns the number of bytes that count against the limit.
func (a *bufferAccount) counted() int64 { return max(a.size-freeBufferBytes, 0) }

// resize sets the size of the buffer. It returns errBufferLimit if the buffer counts and
// all together exceed the limit.
func (a *bufferAccount) resize(size int64) error {
	before := a.counted()
	a.size = size
	if a.limit.used.Add(a.counted()-before) > maxBufferedBytes && a.counted() > 0 {
		return errBufferLimit
	}
	return nil
}

// release ends the count of the buffer.
func (a *bufferAccount) release() { _ = a.resize(0) }

// limitedBody reads a body and counts it against the limit until release.
type limitedBody struct {
	*bufferAccount
	body io.Reader
}

func (l *bufferLimit) reader(body io.Reader) *limitedBody {
	return &limitedBody{bufferAccount: l.account(), body: body}
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if limitErr := b.resize(b.size + int64(n)); limitErr != nil {
		return n, limitErr
	}
	return n, err
}
