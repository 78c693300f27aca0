// Package httpwire exchanges HTTP/1.1 messages on connections whose reuse the
// caller controls. It parses responses with net/http but does not use its
// transport, which retries requests on its own and pairs any response that
// arrives with the next request.
package httpwire

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalglade/quetzalglade/internal/connend"
	"github.com/quetzalglade/quetzalglade/internal/httphead"
)

// Request is an HTTP request to send. Path is sent unchanged.
type Request struct {
	Method string
	Path   string
	Host   string
	Header http.Header
	// Body holds the pieces of the body. They must not change until Sent, if set, is
	// called with the error of the write.
	Body [][]byte
	Sent func(error)
}

func (r *Request) bodyLen() int {
	n := 0
	for _, piece := range r.Body {
		n += len(piece)
	}
	return n
}

// wrote reports the end of the write.
func (r *Request) wrote(err error) {
	if r.Sent != nil {
		r.Sent(err)
	}
}

// Conn is a client connection that carries one request at a time.
type Conn struct {
	net    net.Conn
	input  *headReader
	reader *bufio.Reader
	addr   string
	reused bool
	// expires is the time after which the pool no longer reuses the connection.
	expires time.Time
	// writes records the writes of the requests.
	writes connend.Writes
}

// asyncWriteBytes is the smallest size of an encoded request that Send writes in a
// separate goroutine, since the peer may respond before it has read the whole
// request.
const asyncWriteBytes = 16 << 10

// maxHeadBytes limits the status line and the header of a response, together with the
// informational responses before it.
const maxHeadBytes = 64 << 10

// ErrHeadTooLarge is returned by Receive for a response whose head exceeds the limit.
var ErrHeadTooLarge = errors.New("response head exceeds the size limit")

// headReader limits and checks the data that is read while a response head is received.
type headReader struct {
	r io.Reader
	// remaining is the number of bytes that may still be read. It and head apply if
	// receiving is set.
	remaining int
	head      httphead.Checker
	receiving bool
	// failure is the error that has ended the reads. The system reports a reset once only.
	failure error
}

// begin starts to receive a head, of which the given data has been read before.
func (h *headReader) begin(buffered []byte) error {
	h.receiving, h.remaining, h.head = true, maxHeadBytes, httphead.Checker{}
	return h.check(buffered)
}

func (h *headReader) end() { h.receiving = false }

// check examines data of the current head. After an error, all reads fail.
func (h *headReader) check(p []byte) error {
	err := h.head.Check(p)
	if err != nil {
		h.failure = err
	}
	return err
}

// Read implements io.Reader.
func (h *headReader) Read(p []byte) (int, error) {
	if h.failure != nil {
		return 0, h.failure
	}
	if h.receiving {
		if h.remaining <= 0 {
			return 0, ErrHeadTooLarge
		}
		p = p[:min(len(p), h.remaining)]
	}
	n, err := h.r.Read(p)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		h.failure = err
	}
	if h.receiving {
		h.remaining -= n
		// Without the data of an invalid line, no parser takes the head for complete.
		if err := h.check(p[:n]); err != nil {
			return 0, err
		}
	}
	return n, err
}

// maxInformationalResponses limits the number of 1xx responses before the final one.
const maxInformationalResponses = 5

// Reused reports whether the connection has carried a request before.
func (c *Conn) Reused() bool { return c.reused }

// Close closes the connection. It may be called from any goroutine.
func (c *Conn) Close() { _ = c.net.Close() }

// Send writes a request. After an error the peer may or may not have received
// the request. A large request is written in the background; Reusable reports
// false if that write failed or has not ended.
func (c *Conn) Send(r *Request) error {
	var buf bytes.Buffer
	bodyLen := r.bodyLen()
	buf.Grow(headBytes + min(bodyLen, asyncWriteBytes))
	fmt.Fprintf(&buf, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Path, r.Host)
	if bodyLen > 0 || hasBody(r.Method) {
		buf.WriteString("Content-Length: " + strconv.Itoa(bodyLen) + "\r\n")
	}
	if err := r.Header.Write(&buf); err != nil {
		r.wrote(err)
		return errors.Wrap(err, "encode header")
	}
	buf.WriteString("\r\n")
	c.writes.BeginRequest()
	if buf.Len()+bodyLen < asyncWriteBytes {
		for _, piece := range r.Body {
			buf.Write(piece)
		}
		_, err := c.net.Write(buf.Bytes())
		r.wrote(err)
		c.writes.EndRequest(err)
		return errors.Wrap(err, "write request")
	}
	// The body is not copied. WriteTo changes the slice of pieces, so it gets its own.
	message := append(net.Buffers{buf.Bytes()}, r.Body...)
	go func() {
		_, err := message.WriteTo(c.net)
		r.wrote(err)
		c.writes.EndRequest(err)
	}()
	return nil
}

// headBytes is the assumed size of a request's head.
const headBytes = 1024

// hasBody reports whether requests with this method usually have a body, so that
// Content-Length is sent even for an empty one.
func hasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// Receive reads the status line and the header of the next final response and
// skips informational ones. The method is that of the request. A head that is not
// valid by HTTP/1.1 is an error. So is the end of a body that ends with the connection if the
// connection was broken off while the request was being written: the body may be incomplete.
func (c *Conn) Receive(method string) (*http.Response, error) {
	req := &http.Request{Method: method}
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	defer c.input.end()
	if err := c.input.begin(buffered); err != nil {
		return nil, errors.Wrap(err, "read response")
	}
	for range maxInformationalResponses {
		resp, err := http.ReadResponse(c.reader, req)
		if err != nil {
			return nil, errors.Wrap(err, "read response")
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if !c.input.head.Valid() {
			return nil, errors.Wrap(httphead.ErrInvalid, "read response: the head has not ended")
		}
		if resp.Body != http.NoBody && !isDelimited(resp) {
			resp.Body = &undelimitedBody{ReadCloser: resp.Body, conn: c}
		}
		return resp, nil
	}
	return nil, errors.New("too many informational (1xx) responses before the final one")
}

// isDelimited reports whether a response states where its body ends.
func isDelimited(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// undelimitedBody is a body that ends with its connection.
type undelimitedBody struct {
	io.ReadCloser
	conn *Conn
	// end is the error at the end of the body, nil before.
	end error
}

// Read implements io.Reader. It returns io.EOF only if the body is complete.
func (b *undelimitedBody) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if broken := b.conn.writes.Check(b.conn.net); broken != nil {
			err = broken
		}
		b.end = err
	}
	return n, err
}

// Reusable reports whether the connection can carry another request after a
// response whose body was read to its end.
func (c *Conn) Reusable(resp *http.Response) bool {
	return c.writes.IsWritten() && isDelimited(resp) && !resp.Close && c.reader.Buffered() == 0
}

// Buffered returns the number of bytes that have been received and not read yet. Further
// ones may be on their way.
func (c *Conn) Buffered() int { return c.reader.Buffered() }

// lateReadTime is the time for a last look at the connection after Await has waited. The
// process may have had no processor time while the data arrived.
const lateReadTime = time.Millisecond

// Await waits at most d and reports whether data, or the end of the connection, has arrived.
// It leaves the data unread.
func (c *Conn) Await(d time.Duration) bool {
	defer func() { _ = c.net.SetReadDeadline(time.Time{}) }()
	for _, wait := range []time.Duration{d, lateReadTime} {
		_ = c.net.SetReadDeadline(time.Now().Add(wait))
		if _, err := c.reader.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
			return true
		}
	}
	return false
}

// isIdle reports whether the connection is open and has no data to read.
func (c *Conn) isIdle() bool {
	raw, err := c.net.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		idle = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && idle
}

// CloseOnDone closes the connection when ctx ends. Calling stop cancels this and
// reports whether the connection was left open.
func (c *Conn) CloseOnDone(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, c.Close)
}

// Sizes of the pieces in which a body is read. A buffer that grows by copies would leave
// several times the size of the body to the garbage collector.
const (
	firstPieceBytes = 4 << 10
	maxPieceBytes   = 64 << 10
)

// largePieces holds pieces of maxPieceBytes for the next bodies.
var largePieces = sync.Pool{New: func() any { return new([maxPieceBytes]byte) }}

// newPiece returns an empty piece of the given capacity.
func newPiece(size int) []byte {
	if size < maxPieceBytes {
		return make([]byte, 0, size)
	}
	return largePieces.Get().(*[maxPieceBytes]byte)[:0]
}

// freePieces puts the large ones of the pieces back.
func freePieces(pieces [][]byte) {
	for _, piece := range pieces {
		if cap(piece) == maxPieceBytes {
			largePieces.Put((*[maxPieceBytes]byte)(piece[:maxPieceBytes]))
		}
	}
}

// ReadBody reads a whole body of at most limit bytes. It returns ErrTooLarge for
// a larger one.
func ReadBody(body io.Reader, limit int64) ([]byte, error) {
	limited := io.LimitReader(body, limit+1)
	var full [][]byte
	piece := newPiece(firstPieceBytes)
	defer func() { freePieces(full) }()
	total := 0
	for {
		if len(piece) == cap(piece) {
			full = append(full, piece)
			piece = newPiece(min(2*cap(piece), maxPieceBytes))
		}
		n, err := limited.Read(piece[len(piece):cap(piece)])
		piece = piece[:len(piece)+n]
		total += n
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, errors.Wrap(err, "read body")
		}
	}
	if int64(total) > limit {
		return nil, ErrTooLarge
	}
	if len(full) == 0 {
		return piece, nil
	}
	full = append(full, piece)
	return slices.Concat(full...), nil
}

// DiscardBody reads a whole body of at most limit bytes without keeping it. It returns
// ErrTooLarge for a larger one.
func DiscardBody(body io.Reader, limit int64) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, limit+1))
	if err != nil {
		return errors.Wrap(err, "discard body")
	}
	if n > limit {
		return ErrTooLarge
	}
	return nil
}

// ErrTooLarge is returned by ReadBody and DiscardBody for a body over the limit.
var ErrTooLarge = errors.New("body exceeds the size limit")
