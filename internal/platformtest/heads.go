package platformtest

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
)

// Response is the text of an HTTP response with a name for tests.
type Response struct{ Name, Text string }

// InvalidStatusLines returns responses with a status line that HTTP/1.1 does not allow.
// fields are further field lines, each terminated by CRLF; body follows the head.
func InvalidStatusLines(fields, body string) []Response {
	rest := fields + contentLength(body) + "\r\n" + body
	sound := "HTTP/1.1 200 OK\r\n" + rest
	return []Response{
		{"status 000", "HTTP/1.1 000 OK\r\n" + rest},
		{"status 000 before another response", "HTTP/1.1 000 OK\r\n\r\n" + sound},
		{"status 000 whose body is another response", "HTTP/1.1 000 OK\r\n" + contentLength(sound) + "\r\n" + sound},
		{"status 099", "HTTP/1.1 099 OK\r\n" + rest},
		{"status 099 before another response", "HTTP/1.1 099 OK\r\n\r\n" + sound},
		{"status 600", "HTTP/1.1 600 OK\r\n" + rest},
		{"status 999", "HTTP/1.1 999 OK\r\n" + rest},
		{"status +20", "HTTP/1.1 +20 OK\r\n" + rest},
		{"status -00 before another response", "HTTP/1.1 -00 OK\r\n\r\n" + sound},
		{"status 20", "HTTP/1.1 20 OK\r\n" + rest},
		{"status 2000", "HTTP/1.1 2000 OK\r\n" + rest},
		{"status 20x", "HTTP/1.1 20x OK\r\n" + rest},
		{"status 101 without a request for it", "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n" + rest},
		{"an invalid informational status line", "HTTP/1.1 103 Early\x01Hints\r\n\r\n" + sound},
		{"two spaces before the status", "HTTP/1.1  200 OK\r\n" + rest},
		{"a tab before the reason phrase", "HTTP/1.1 200\tOK\r\n" + rest},
		{"a control character in the reason phrase", "HTTP/1.1 200 O\x01K\r\n" + rest},
		{"a carriage return in the reason phrase", "HTTP/1.1 200 O\rK\r\n" + rest},
		{"version 2.0", "HTTP/2.0 200 OK\r\n" + rest},
		{"version 0.9", "HTTP/0.9 200 OK\r\n" + rest},
		{"a version in lower case", "http/1.1 200 OK\r\n" + rest},
		{"no version", "200 OK\r\n" + rest},
	}
}

// InvalidFields returns responses with a field line that HTTP/1.1 does not allow. For fields
// and body, see InvalidStatusLines.
func InvalidFields(fields, body string) []Response {
	const status = "HTTP/1.1 200 OK\r\n"
	length, end := contentLength(body), "\r\n"+body
	chunks := "\r\n" + strconv.FormatInt(int64(len(body)), 16) + "\r\n" + body + "\r\n0\r\n\r\n"
	invalid := []Response{
		{"a space before the colon of Content-Length", status + fields + "Content-Length : " + strconv.Itoa(len(body)) + "\r\n" + end + "of another response"},
		{"a space before the colon of Transfer-Encoding", status + fields + "Transfer-Encoding : chunked\r\n" + chunks},
		{"a space before the name of Transfer-Encoding", status + fields + " Transfer-Encoding: chunked\r\n" + chunks},
		{"a folded line as the first field", status + " folded\r\n" + fields + length + end},
		{"an invalid field of an informational response", "HTTP/1.1 103 Early Hints\r\nX Worker: w\r\n\r\n" + status + fields + length + end},
	}
	for _, line := range []Response{
		{"a space in a name", "X Worker: w"},
		{"a space before a colon", "X-Worker : w"},
		{"a space before a name", " X-Worker: w"},
		{"a name of one space", " : w"},
		{"a tab in a name", "X\tWorker: w"},
		{"a tab before a colon", "X-Worker\t: w"},
		{"a tab before a name", "\tX-Worker: w"},
		{"a NUL in a name", "X\x00Worker: w"},
		{"a control character in a name", "X\x01Worker: w"},
		{"a control character before a name", "\x01X-Worker: w"},
		{"a carriage return in a name", "X\rWorker: w"},
		{"a DEL in a name", "X\x7fWorker: w"},
		{"a byte beyond ASCII in a name", "X\xe9Worker: w"},
		{"a parenthesis in a name", "X(Worker): w"},
		{"an empty name", ": w"},
		{"no colon", "X-Worker"},
		{"a folded value", "X-Worker: w\r\n w"},
		{"a NUL in a value", "X-Worker: w\x00"},
		{"a control character in a value", "X-Worker: w\x01"},
		{"a carriage return in a value", "X-Worker: w\rw"},
		{"a DEL in a value", "X-Worker: w\x7f"},
	} {
		invalid = append(invalid, Response{line.Name, status + fields + line.Text + "\r\n" + length + end})
	}
	return invalid
}

// InvalidFraming returns responses whose Content-Length and Transfer-Encoding fields do not
// state where the body ends. For fields and body, see InvalidStatusLines.
func InvalidFraming(fields, body string) []Response {
	const status, chunked = "HTTP/1.1 200 OK\r\n", "Transfer-Encoding: chunked\r\n"
	chunks := "\r\n" + strconv.FormatInt(int64(len(body)), 16) + "\r\n" + body + "\r\n0\r\n\r\n"
	return []Response{
		{"chunks of HTTP/1.0", "HTTP/1.0 200 OK\r\n" + fields + chunked + chunks},
		{"a length and chunks", status + fields + contentLength(body) + chunked + chunks},
		{"chunks and a length", status + fields + chunked + contentLength(body) + chunks},
		{"chunks twice", status + fields + chunked + chunked + chunks},
		{"an unknown transfer coding", status + fields + "Transfer-Encoding: zip\r\n" + chunks},
		{"two lengths", status + fields + contentLength(body) + contentLength(body+"x") + "\r\n" + body},
		{"a negative length", status + fields + "Content-Length: -1\r\n\r\n" + body},
		{"a length with a sign", status + fields + "Content-Length: +" + strconv.Itoa(len(body)) + "\r\n\r\n" + body},
		{"a length without a number", status + fields + "Content-Length:\r\n\r\n" + body},
	}
}

// ValidResponses returns an ordinary response, then unusual ones that HTTP/1.1 allows or that
// widespread servers send. For fields and body, see InvalidStatusLines.
func ValidResponses(fields, body string) []Response {
	const status = "HTTP/1.1 200 OK\r\n"
	length, end := contentLength(body), "\r\n"+body
	return []Response{
		{"an ordinary head", status + fields + length + end},
		{"an empty reason phrase", "HTTP/1.1 200 \r\n" + fields + length + end},
		{"no reason phrase", "HTTP/1.1 200\r\n" + fields + length + end},
		{"a reason phrase beyond ASCII", "HTTP/1.1 200 \xc3\xa7a va\r\n" + fields + length + end},
		{"version 1.0", "HTTP/1.0 200 OK\r\n" + fields + length + end},
		{"status 299", "HTTP/1.1 299 Other\r\n" + fields + length + end},
		{"informational responses", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + status + fields + length + end},
		{"line feeds alone", strings.ReplaceAll(status+fields+length+"\r\n", "\r\n", "\n") + body},
		{"each byte of a token in a name", status + fields + "!#$%&'*+-.^_`|~09azAZ: w\r\n" + length + end},
		{"no space before a value", status + fields + "X-Worker:w\r\n" + length + end},
		{"an empty value", status + fields + "X-Worker:\r\n" + length + end},
		{"a tab and a byte beyond ASCII in a value", status + fields + "X-Worker: \tw\t\xe9 \r\n" + length + end},
		{"a colon and a head in a value", status + fields + "X-Worker: HTTP/1.1 000 : X Y: z\r\n" + length + end},
		{"the same length twice", status + fields + length + length + end},
		{"chunks", status + fields + "Transfer-Encoding: chunked\r\n\r\n" + strconv.FormatInt(int64(len(body)), 16) + "\r\n" + body + "\r\n0\r\n\r\n"},
	}
}

// AcceptedHeads sends requests with use to a server that responds to each with another invalid
// head, and returns the names of those for which use returns no error. It returns an error if
// use fails with an ordinary head. The server closes each connection after its response.
func AcceptedHeads(fields, body string, use func(addr string) error) ([]string, error) {
	l := NewListener()
	defer func() { _ = l.Close() }()
	var text atomic.Value
	go serveTexts(l, &text)
	addr := l.Addr().String()
	// Without it, a client may send the next request on the connection that the server closes.
	fields += "Connection: close\r\n"
	text.Store(ValidResponses(fields, body)[0].Text)
	if err := use(addr); err != nil {
		return nil, err
	}
	var accepted []string
	for _, responses := range [][]Response{InvalidStatusLines(fields, body), InvalidFields(fields, body), InvalidFraming(fields, body)} {
		for _, r := range responses {
			text.Store(r.Text)
			if use(addr) == nil {
				accepted = append(accepted, r.Name)
			}
		}
	}
	return accepted, nil
}

// serveTexts reads one request on each connection, sends the current text and closes it.
func serveTexts(l net.Listener, text *atomic.Value) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = c.Write([]byte(text.Load().(string)))
		}
		_ = c.Close()
	}
}

func contentLength(body string) string { return "Content-Length: " + strconv.Itoa(len(body)) + "\r\n" }
