package soak

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// requestKind is the kind of a request.
type requestKind int

const (
	idempotentCall requestKind = iota
	nonIdempotentCall
	stream
)

// Services and routes of the configuration.
const (
	callService   = "desk"
	streamService = "engines"
	hostname      = "h.example"
	apiKey        = "k-1"
)

// lastEvent marks the complete end of a stream.
const lastEvent = "id: 1000000\ndata: end\n\n"

func eventText(i int) string { return fmt.Sprintf("id: %d\ndata: token %d\n\n", i, i) }

// exchange is one request of a client and what became of it.
type exchange struct {
	id      string
	kind    requestKind
	body    string
	gateway *gateway
	// route is the route of a configuration that the request uses, "" for one that each
	// configuration has.
	route string
	// startedAt is when the client began to send, sentAt when it had sent the last byte,
	// and endedAt when the response was complete or the connection had ended.
	startedAt, sentAt, endedAt time.Time
	// kept is set if the connection had carried a request before.
	kept bool
	// status is 0 if the connection ended without a response.
	status  int
	header  http.Header
	content string
	// complete is set if the whole response was received.
	complete bool
	// timedOut is set if the client gave up waiting.
	timedOut bool
	err      error
}

// client sends requests one after the other. It keeps its connection open as long as the
// gateway does.
type client struct {
	number   int
	gateways []*gateway
	random   *rand.Rand
	conn     net.Conn
	reader   *bufio.Reader
	gateway  *gateway
	used     bool
	sent     int
	// maxThink is the longest pause between two requests.
	maxThink time.Duration
	// streams is the share of requests that are streams.
	streams float64
	// splits makes the client send requests in pieces with pauses between them.
	splits bool
	// large is the share of calls with a large body, and so a large response.
	large float64
	// slow makes the client read responses slowly.
	slow bool
	// leaves is the share of requests whose client leaves before the response.
	leaves float64
	// newestRoute returns a route for the idempotent calls, "" for the one that always
	// exists.
	newestRoute func() string
}

// maxLargeBody is the longest large body, slowReadPause the pause of a slow client after each
// read, and maxLeaveTime the longest time after which a client leaves.
const (
	maxLargeBody  = 400 << 10
	slowReadPause = 3 * time.Millisecond
	maxLeaveTime  = 150 * time.Millisecond
)

// Time limits of a client.
const (
	connectTimeout = time.Second
	callDeadline   = 2500 * time.Millisecond
	streamDeadline = 39 * time.Second
	// answerSlack is the time beyond its deadline that a client waits for a response.
	answerSlack = time.Second
	// eventTimeout is the longest pause of a stream for which a client waits.
	eventTimeout = 7200 * time.Millisecond
)

// run sends requests until the end and passes each exchange on.
func (c *client) run(end time.Time, record func(exchange)) {
	defer c.close()
	for time.Now().Before(end) {
		if e, connected := c.exchange(); connected {
			record(e)
		} else {
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(time.Duration(c.random.Float64() * float64(c.maxThink)))
	}
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// connect opens a connection to a gateway that the load balancer would choose.
func (c *client) connect() bool {
	if c.conn != nil {
		return true
	}
	var choices []*gateway
	for _, g := range c.gateways {
		if g.isInRotation() {
			choices = append(choices, g)
		}
	}
	if len(choices) == 0 {
		choices = c.gateways
	}
	c.gateway = choices[c.random.IntN(len(choices))]
	conn, err := net.DialTimeout("tcp", c.gateway.front, connectTimeout)
	if err != nil {
		return false
	}
	c.conn, c.reader, c.used = conn, bufio.NewReader(conn), false
	return true
}

// exchange sends a request and receives the response. It returns false if no connection
// could be opened.
func (c *client) exchange() (exchange, bool) {
	if !c.connect() {
		return exchange{}, false
	}
	c.sent++
	e := exchange{id: fmt.Sprintf("c%d-%d", c.number, c.sent), gateway: c.gateway, kept: c.used, startedAt: time.Now()}
	var head, body string
	head, body = c.compose(&e)
	deadline := callDeadline
	if e.kind == stream {
		deadline = streamDeadline
	}
	_ = c.conn.SetDeadline(e.startedAt.Add(deadline + answerSlack))
	if err := c.send(head, body); err != nil {
		e.err = err
	}
	e.sentAt = time.Now()
	if c.leaves > 0 && c.random.Float64() < c.leaves {
		time.Sleep(time.Duration(c.random.Int64N(int64(maxLeaveTime))))
		c.close()
		return exchange{}, false
	}
	if e.err == nil {
		c.receive(&e)
	}
	e.endedAt = time.Now()
	c.used = true
	if netErr, ok := e.err.(net.Error); ok && netErr.Timeout() {
		e.timedOut = true
	}
	if e.err != nil {
		c.close()
	}
	return e, true
}

// compose chooses a request and returns its head and its body as sent.
func (c *client) compose(e *exchange) (head, body string) {
	method, path, deadline := http.MethodGet, "/look/", callDeadline
	switch {
	case c.random.Float64() < c.streams:
		e.kind, method, path, deadline = stream, http.MethodPost, "/stream/", streamDeadline
	case c.random.Float64() < 0.7:
		e.kind, method, path = nonIdempotentCall, http.MethodPost, "/book/"
	case c.newestRoute != nil:
		if e.route = c.newestRoute(); e.route != "" {
			path = "/" + e.route + "/"
		}
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s%s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Key: %s\r\nX-Deadline-Ms: %d\r\n", method, path, e.id, hostname, e.id, apiKey, deadline.Milliseconds())
	if e.kind == stream {
		b.WriteString("X-Token-Count: 1000,400\r\n")
	}
	if method == http.MethodGet {
		return b.String() + "\r\n", ""
	}
	e.body = strings.Repeat("x", c.random.IntN(3000))
	if e.kind != stream && c.large > 0 && c.random.Float64() < c.large {
		e.body = strings.Repeat("x", c.random.IntN(maxLargeBody))
	}
	if c.random.IntN(3) == 0 {
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		half := len(e.body) / 2
		return b.String(), chunk(e.body[:half]) + chunk(e.body[half:]) + "0\r\n\r\n"
	}
	b.WriteString("Content-Length: " + strconv.Itoa(len(e.body)) + "\r\n\r\n")
	return b.String(), e.body
}

func chunk(text string) string {
	if text == "" {
		return ""
	}
	return fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
}

// maxSplitPause is the longest pause between the pieces of a request.
const maxSplitPause = 150 * time.Millisecond

func (c *client) send(head, body string) error {
	data := head + body
	for c.splits && len(data) > 1 && c.random.IntN(2) == 0 {
		n := 1 + c.random.IntN(len(data)-1)
		if _, err := io.WriteString(c.conn, data[:n]); err != nil {
			return err
		}
		data = data[n:]
		time.Sleep(time.Duration(c.random.Float64() * float64(maxSplitPause)))
	}
	_, err := io.WriteString(c.conn, data)
	return err
}

// receive reads the response. The connection is closed after a response that ends it.
func (c *client) receive(e *exchange) {
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodGet})
	if err != nil {
		e.err = err
		return
	}
	e.status, e.header = resp.StatusCode, resp.Header
	var content bytes.Buffer
	buf := make([]byte, 4<<10)
	for {
		if e.kind == stream {
			_ = c.conn.SetReadDeadline(time.Now().Add(eventTimeout))
		}
		n, err := resp.Body.Read(buf)
		content.Write(buf[:n])
		if c.slow {
			time.Sleep(slowReadPause)
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			e.err = err
			break
		}
	}
	e.content = content.String()
	e.complete = e.err == nil
	if resp.Close {
		c.close()
	}
}
