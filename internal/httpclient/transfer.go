package httpclient

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// Transfer limits one exchange by its progress instead of its duration, so that a
// large response over a slow link is not dropped and requested again. The exchange ends
// when no data arrives for the idle limit, or at the total limit.
type Transfer struct {
	ctx       context.Context
	cancel    context.CancelCauseFunc
	idle      *time.Timer
	total     *time.Timer
	idleLimit time.Duration
	// bodyStarted is when the header was received.
	bodyStarted time.Time
	bytes       int64
}

// Causes of an exchange that a Transfer ends.
var (
	errNoData  = errors.New("no data received within the limit")
	errTooLong = errors.New("transfer exceeds the total limit")
)

// NewTransfer starts the limits of an exchange: headerLimit until its response header,
// idleLimit between two pieces of the body, and totalLimit for all of it. The caller
// must call Stop.
func NewTransfer(ctx context.Context, headerLimit, idleLimit, totalLimit time.Duration) *Transfer {
	t := &Transfer{idleLimit: idleLimit}
	t.ctx, t.cancel = context.WithCancelCause(ctx)
	t.idle = time.AfterFunc(headerLimit, func() { t.cancel(errNoData) })
	t.total = time.AfterFunc(headerLimit+totalLimit, func() { t.cancel(errTooLong) })
	return t
}

// Context returns the context for the request.
func (t *Transfer) Context() context.Context { return t.ctx }

// Stop releases the resources of the exchange.
func (t *Transfer) Stop() {
	t.idle.Stop()
	t.total.Stop()
	t.cancel(context.Canceled)
}

// Body returns a reader of the response body that extends the idle limit with each
// piece of data.
func (t *Transfer) Body(body io.Reader) io.Reader {
	t.bodyStarted = time.Now()
	t.idle.Reset(t.idleLimit)
	return transferReader{t: t, body: body}
}

// Elapsed returns the time since the header was received, and the size of the body so
// far.
func (t *Transfer) Elapsed() (time.Duration, int64) {
	if t.bodyStarted.IsZero() {
		return 0, 0
	}
	return time.Since(t.bodyStarted), t.bytes
}

// Explain returns err, or the limit that ended the exchange.
func (t *Transfer) Explain(err error) error {
	if cause := context.Cause(t.ctx); err != nil && (errors.Is(cause, errNoData) || errors.Is(cause, errTooLong)) {
		return cause
	}
	return err
}

// maxPieceBytes is the size of the largest read. Without a limit, a reader of the body
// may collect much of it, and progress would show only then.
const maxPieceBytes = 16 << 10

type transferReader struct {
	t    *Transfer
	body io.Reader
}

// Read implements io.Reader.
func (r transferReader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p[:min(len(p), maxPieceBytes)])
	if n > 0 {
		r.t.bytes += int64(n)
		r.t.idle.Reset(r.t.idleLimit)
	}
	return n, err
}
