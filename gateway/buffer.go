package gateway

import (
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Limits of the responses that are buffered at the same time.
const (
	// maxBufferedBytes limits all of them together.
	maxBufferedBytes = 16 << 20
	// freeBufferBytes is the part of each response that does not count, so that short
	// responses are read while endless ones use up the limit.
	freeBufferBytes = 64 << 10
)

var errBufferLimit = errors.New("buffered responses exceed the size limit of the process")

// bufferLimit limits the bytes of buffered responses. It may be used from any goroutine.
type bufferLimit struct{ used atomic.Int64 }

// limitedBody reads a body and counts it against the limit until release.
type limitedBody struct {
	limit *bufferLimit
	body  io.Reader
	read  int64
}

func (l *bufferLimit) reader(body io.Reader) *limitedBody { return &limitedBody{limit: l, body: body} }

// counted returns the number of bytes that count against the limit.
func (b *limitedBody) counted() int64 { return max(b.read-freeBufferBytes, 0) }

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	before := b.counted()
	b.read += int64(n)
	if b.limit.used.Add(b.counted()-before) > maxBufferedBytes && b.counted() > 0 {
		return n, errBufferLimit
	}
	return n, err
}

// release ends the count of the body.
func (b *limitedBody) release() {
	b.limit.used.Add(-b.counted())
	b.read = 0
}
