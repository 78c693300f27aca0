package gateway

import (
	"bufio"
	"bytes"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/internal/bufferlimit"
)

// maxEventBytes limits one event of a stream.
const maxEventBytes = 1 << 20

var errEventTooLarge = errors.New("event exceeds the size limit")

// eventReader splits a stream of server-sent events into events. It never
// returns an incomplete event.
type eventReader struct {
	r   *bufio.Reader
	end *endRecorder
	buf bytes.Buffer
	// account counts buf against the limit of buffered responses.
	limit   *bufferlimit.Limit
	account *bufferlimit.Account
}

// newEventReader returns a reader that counts its buffer against the limit until release.
func newEventReader(r io.Reader, limit *bufferlimit.Limit) *eventReader {
	end := &endRecorder{r: r}
	return &eventReader{r: bufio.NewReaderSize(end, 4<<10), end: end, limit: limit, account: limit.NewAccount()}
}

// endRecorder records that the reader r has ended. Its end may arrive with the last data.
type endRecorder struct {
	r     io.Reader
	ended bool
}

// Read implements io.Reader.
func (e *endRecorder) Read(p []byte) (int, error) {
	n, err := e.r.Read(p)
	e.ended = e.ended || err != nil
	return n, err
}

func (e *eventReader) release() { e.account.Release() }

// reset empties the buffer. It drops a buffer that counts against the limit.
func (e *eventReader) reset() {
	e.buf.Reset()
	if e.account.Counted() > 0 {
		e.buf = bytes.Buffer{}
		e.account.Release()
	}
}

// detach leaves the raw bytes of the last event valid after the next call of next. It returns
// the account of their buffer, which the caller must release.
func (e *eventReader) detach() *bufferlimit.Account {
	account := e.account
	e.buf, e.account = bytes.Buffer{}, e.limit.NewAccount()
	return account
}

// event is one server-sent event, including the blank line that ends it.
type event struct {
	raw []byte
	// id is the event's id, "" if it has none.
	id string
	// hasData is set if the event has a data field, so that it isn't just a comment.
	hasData bool
	// readAt is the time at which the event was read, zero if it is just being passed on.
	readAt time.Time
}

// next returns the next event; raw is valid until the next call. Blank lines before an
// event are part of its raw bytes, so that a stream of them exceeds the size limit. The
// error is io.EOF only if the stream ended cleanly after a complete event.
func (e *eventReader) next() (event, error) {
	e.reset()
	var ev event
	lineContinues, isBlank := false, true
	for {
		line, err := e.r.ReadSlice('\n')
		e.buf.Write(line)
		if e.buf.Len() > maxEventBytes {
			return event{}, errEventTooLarge
		}
		if err := e.account.Resize(int64(e.buf.Cap())); err != nil {
			return event{}, err
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			lineContinues, isBlank = true, false
			continue
		}
		if err != nil {
			switch {
			case !errors.Is(err, io.EOF) || e.buf.Len() == 0:
				return event{}, err
			case !isBlank || len(line) > 0:
				return event{}, io.ErrUnexpectedEOF
			}
			ev.raw = e.buf.Bytes()
			return ev, nil
		}
		if lineContinues {
			lineContinues = false
			continue
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 && isBlank {
			continue
		}
		if len(text) == 0 {
			ev.raw = e.buf.Bytes()
			return ev, nil
		}
		isBlank = false
		if id, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			ev.id = string(bytes.TrimPrefix(id, []byte(" ")))
		}
		ev.hasData = ev.hasData || bytes.HasPrefix(text, []byte("data"))
	}
}

// hasBuffered reports whether more bytes of the stream have already been read.
func (e *eventReader) hasBuffered() bool { return e.r.Buffered() > 0 }

// hasEnded reports whether the end of the stream has already been read.
func (e *eventReader) hasEnded() bool { return e.end.ended }
