package platformtest

import (
	"bufio"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// ConnEnd is how a server ends a connection.
type ConnEnd int

const (
	// Reset resets the connection. The system drops what the client has not received.
	Reset ConnEnd = iota
	// Close closes the connection. That resets it if received data is unread.
	Close
	// HalfClose ends the answer in order, and closes the connection when the client has closed
	// it or after a second.
	HalfClose
	// HalfCloseReset ends the answer in order and resets the connection at once, as the system
	// does for a process that ends and receives further data.
	HalfCloseReset
	// CutTLS ends the connection in order, but not TLS on it.
	CutTLS
)

// EarlyAnswer is an answer that a server sends before it has read the body of the request.
type EarlyAnswer struct {
	Name string
	// Text is all that the server sends. In it, {id} stands for the request ID.
	Text string
	// ReadsOn makes the server read the body of the request slowly. AfterBody makes it read
	// all of the body before the end.
	ReadsOn, AfterBody bool
	// Delay is the time from the answer, or from the end of the body, to the end.
	Delay time.Duration
	End   ConnEnd
	// Whole is set if the client may take the answer for complete.
	Whole bool
}

// Sizes of a request's body: a connection to a listener of ListenEarly buffers EarlyUploadBytes
// rarely, and never LongUploadBytes.
const (
	EarlyUploadBytes = 4 << 20
	LongUploadBytes  = 16 << 20
)

const (
	earlyReceiveBuffer = 64 << 10
	// earlyPiece is what the server reads of the body at once.
	earlyPiece = 16 << 10
	// earlyHold is how long a connection stays open whose answer has ended in order.
	earlyHold = time.Second
)

// ListenEarly returns a listener on an ephemeral port of the loopback interface whose
// connections have a small receive window. The system would receive most of a body otherwise.
func ListenEarly() net.Listener {
	return listen(func(fd uintptr) error {
		return syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, earlyReceiveBuffer)
	})
}

// EarlyPart is a body, or a part of one.
var EarlyPart = strings.Repeat("early. \n", 128)

// EarlyAnswers returns answers that end with their connection, with the given status line and
// fields, and the given body. The connections end in all ways that a client without TLS can tell
// apart.
func EarlyAnswers(head, body string) []EarlyAnswer {
	text := head + "\r\n" + body
	const soon, late = 20 * time.Millisecond, 200 * time.Millisecond
	return []EarlyAnswer{
		{Name: "reset, upload unread", Text: text, Delay: soon},
		{Name: "reset later, upload unread", Text: text, Delay: late},
		{Name: "reset while the upload is read", Text: text, ReadsOn: true, Delay: soon},
		{Name: "closed, upload unread", Text: text, Delay: soon, End: Close},
		{Name: "closed while the upload is read", Text: text, ReadsOn: true, Delay: soon, End: Close},
		{Name: "ended in order and reset at once", Text: text, Delay: soon, End: HalfCloseReset},
		{Name: "closed after the upload", Text: text, ReadsOn: true, AfterBody: true, End: Close, Whole: true},
		{Name: "ended in order before the upload", Text: text, Delay: soon, End: HalfClose, Whole: true},
		{Name: "ended in order while the upload is read", Text: text, ReadsOn: true, Delay: soon, End: HalfClose, Whole: true},
	}
}

// ServeEarly answers each request on the connections of a listener, which may use TLS, with a,
// until the listener is closed.
func ServeEarly(l net.Listener, a EarlyAnswer) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			req, err := http.ReadRequest(bufio.NewReaderSize(c, 512))
			if err != nil {
				_ = c.Close()
				return
			}
			a.Serve(c, req.Body)
		}()
	}
}

// Serve answers a request on a connection, with or without TLS. The body reads the body of the
// request from it.
func (a EarlyAnswer) Serve(conn net.Conn, body io.Reader) {
	defer func() { _ = conn.Close() }()
	raw := conn
	if secure, ok := conn.(*tls.Conn); ok {
		raw = secure.NetConn()
	}
	tcp := raw.(*net.TCPConn)
	if _, err := io.WriteString(conn, a.Text); err != nil {
		return
	}
	read := make(chan struct{})
	if a.ReadsOn {
		go func() {
			defer close(read)
			for {
				if _, err := io.CopyN(io.Discard, body, earlyPiece); err != nil {
					return
				}
				if !a.AfterBody {
					time.Sleep(time.Millisecond)
				}
			}
		}()
	}
	if a.AfterBody {
		<-read
	}
	time.Sleep(a.Delay)
	switch a.End {
	case Reset:
		_ = tcp.SetLinger(0)
		_ = tcp.Close()
	case HalfClose:
		_ = conn.(interface{ CloseWrite() error }).CloseWrite()
		select {
		case <-read:
		case <-time.After(earlyHold):
		}
	case HalfCloseReset:
		_ = conn.(interface{ CloseWrite() error }).CloseWrite()
		_ = tcp.SetLinger(0)
		_ = tcp.Close()
	case CutTLS:
		_ = tcp.Close()
	case Close:
	}
}
