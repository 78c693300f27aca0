package crowdtest

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// Sizes and times of the crowds.
const (
	// pieceBytes is the size of a piece of a body that is sent piece by piece.
	pieceBytes = 32 << 10
	// largeChunkBytes is the size of a large chunk, oneByteChunks the number of chunks of a
	// body of one-byte chunks.
	largeChunkBytes = 64 << 10
	oneByteChunks   = 48 << 10
	// overFactor is the size of a body far over the limit in units of the limit.
	overFactor = 4
	// endlessBytes is what clients send at most of a head, an extension or a trailer that
	// has no end.
	endlessBytes = 1 << 20
	// pipelinedRequests is the number of requests that a client sends without reading.
	pipelinedRequests = 200
	// smallBodyBytes is the size of a small body.
	smallBodyBytes = 1000
	// crowdTime is how long a crowd stays after its connections were opened.
	crowdTime = 1000 * time.Millisecond
	// completeEvery is the number of clients of which one completes its body.
	completeEvery = 10
	// sourceCount is the number of addresses that a crowd comes from.
	sourceCount = 4
)

// client is one connection of a crowd. It sends until the process closes the connection or the
// crowd ends.
type client struct {
	net.Conn
	number int
	s      *service
}

func (c *client) send(data []byte) bool {
	_, err := c.Write(data)
	return err == nil
}

func (c *client) sendText(format string, args ...any) bool {
	return c.send(fmt.Appendf(nil, format, args...))
}

// completes reports whether the client is one of the few that complete their bodies.
func (c *client) completes() bool { return c.number%completeEvery == 0 }

// pattern is what the clients of a crowd send.
type pattern struct {
	send func(*client)
	// many selects the larger crowd.
	many bool
	// reads makes the clients read responses.
	reads bool
}

// filler is the content of bodies: white space, which a decoder of JSON reads on from.
var filler = bytes.Repeat([]byte(" "), agentBodyBytes)

// sendBody sends size bytes in pieces.
func (c *client) sendBody(size, piece int, pause time.Duration) bool {
	for size > 0 {
		n := min(size, piece)
		if !c.send(filler[:n]) {
			return false
		}
		size -= n
		time.Sleep(pause)
	}
	return true
}

// bodySize returns the size of a body that is complete at few clients and one byte short at
// the others.
func (c *client) bodySize(size int) int {
	if c.completes() {
		return size
	}
	return size - 1
}

func sendWhole(c *client) {
	c.sendText("%sContent-Length: %d\r\n\r\n", c.s.post, c.s.maxBody)
	c.sendBody(c.bodySize(c.s.maxBody), c.s.maxBody, 0)
}

func sendPieces(c *client) {
	c.sendText("%sContent-Length: %d\r\n\r\n", c.s.post, c.s.maxBody)
	c.sendBody(c.bodySize(c.s.maxBody), pieceBytes, time.Millisecond)
}

func (c *client) sendChunk(size int) bool {
	return c.sendText("%x\r\n", size) && c.send(filler[:size]) && c.sendText("\r\n")
}

func sendLargeChunks(c *client) {
	c.sendText("%sTransfer-Encoding: chunked\r\n\r\n", c.s.post)
	for rest := c.s.maxBody; rest > 0; rest -= largeChunkBytes {
		if !c.sendChunk(min(rest, largeChunkBytes)) {
			return
		}
	}
	if c.completes() {
		c.sendText("0\r\n\r\n")
	}
}

// byteChunks is a text of one-byte chunks.
var byteChunks = []byte(strings.Repeat("1\r\n \r\n", oneByteChunks))

func sendByteChunks(c *client) {
	if c.sendText("%sTransfer-Encoding: chunked\r\n\r\n", c.s.post) && c.send(byteChunks) && c.completes() {
		c.sendText("0\r\n\r\n")
	}
}

func sendAnnouncedOver(c *client) {
	c.sendText("%sContent-Length: %d\r\n\r\n", c.s.post, overFactor*c.s.maxBody)
	c.sendBody(overFactor*c.s.maxBody, largeChunkBytes, 0)
}

func sendOver(c *client) {
	c.sendText("%sTransfer-Encoding: chunked\r\n\r\n", c.s.post)
	for sent := 0; sent < overFactor*c.s.maxBody; sent += largeChunkBytes {
		if !c.sendChunk(largeChunkBytes) {
			return
		}
	}
}

// sendEndless sends a text again and again.
func (c *client) sendEndless(text string) {
	data := bytes.Repeat([]byte(text), max(1, 4096/len(text)))
	for sent := 0; sent < endlessBytes; sent += len(data) {
		if !c.send(data) {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func sendExtensions(c *client) {
	c.sendText("%sTransfer-Encoding: chunked\r\n\r\n1", c.s.post)
	c.sendEndless(";extension=value")
}

func sendTrailers(c *client) {
	c.sendText("%sTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", c.s.post)
	c.sendEndless("X-Trailer: value\r\n")
}

func sendHead(c *client) {
	c.sendText("%s", c.s.post)
	c.sendEndless("X-Header: value\r\n")
}

// sendSlowHead sends a head that stops just short of the limit.
func sendSlowHead(c *client) {
	c.sendText("%s", c.s.post)
	c.sendText("X-Header: %s", strings.Repeat("x", gatewayHeadBytes-1024))
}

func sendGet(c *client) { c.sendText("%s\r\n", c.s.get) }

func sendPipelined(c *client) {
	for range pipelinedRequests {
		if !c.sendText("%s\r\n", c.s.get) {
			return
		}
	}
}

func sendSmallShort(c *client) {
	size := min(smallBodyBytes, c.s.maxBody)
	c.sendText("%sContent-Length: %d\r\n\r\n", c.s.post, size)
	c.send(filler[:c.bodySize(size)])
}

// open opens a connection of a crowd. Its read buffer is small, so that a response that is not
// read stays at the process.
func (s *service) open(number int) (*client, error) {
	source := fmt.Sprintf("127.200.0.%d", 1+number%sourceCount)
	dialer := net.Dialer{Timeout: 5 * time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}}
	conn, err := dialer.Dial("tcp", s.addr)
	if err != nil {
		return nil, err
	}
	tcp := conn.(*net.TCPConn)
	_ = tcp.SetReadBuffer(4096)
	_ = tcp.SetWriteBuffer(64 << 10)
	return &client{Conn: conn, number: number, s: s}, nil
}

// run opens the connections of a crowd, keeps them for crowdTime and closes them.
func (s *service) run(p pattern) {
	size := s.connections
	if p.many {
		size = s.many
	}
	stop := s.p.watchDescriptors()
	defer stop()
	var mu sync.Mutex
	var clients []*client
	var wg sync.WaitGroup
	opened := make(chan struct{}, size)
	for n := range size {
		wg.Go(func() {
			c, err := s.open(n)
			opened <- struct{}{}
			if err != nil {
				return
			}
			mu.Lock()
			clients = append(clients, c)
			mu.Unlock()
			p.send(c)
			buf := make([]byte, 4096)
			for p.reads {
				if _, err := c.Read(buf); err != nil {
					return
				}
			}
		})
	}
	for range size {
		<-opened
	}
	time.Sleep(crowdTime)
	mu.Lock()
	for _, c := range clients {
		_ = c.Close()
	}
	mu.Unlock()
	wg.Wait()
}

// check checks a process right after a crowd has closed.
func (s *service) check(t *testing.T) {
	t.Helper()
	if err := send(s.ordinary()); err != nil {
		t.Errorf("%s: ordinary request: %v", s.name, err)
	}
	if err := send(s.largest()); err != nil {
		t.Errorf("%s: request of the largest size: %v", s.name, err)
	}
	s.p.checkBounds()
}

// runPattern runs a pattern against each listener. The listeners other than that for clients
// meet their crowds at the same time, which saves running time.
func runPattern(t *testing.T, p pattern) {
	t.Helper()
	t.Run("gateway", func(t *testing.T) {
		front, _, _ := startGateway(t)
		front.run(p)
		front.check(t)
	})
	t.Run("internal", func(t *testing.T) {
		_, ready, peers := startGateway(t)
		side := startSidecar(t)
		entry, agent := startFleet(t)
		services := []*service{ready, peers, side, entry, agent}
		var wg sync.WaitGroup
		for _, s := range services {
			wg.Go(func() { s.run(p) })
		}
		wg.Wait()
		for _, s := range services {
			s.check(t)
		}
	})
}

// The tests guard against clients outside the limits that end a process, make it exceed its
// memory or its descriptors, or leave it unable to serve once they have gone.

func TestWholeBodies(t *testing.T)     { runPattern(t, pattern{send: sendWhole, reads: true}) }
func TestBodiesInPieces(t *testing.T)  { runPattern(t, pattern{send: sendPieces, reads: true}) }
func TestLargeChunks(t *testing.T)     { runPattern(t, pattern{send: sendLargeChunks, reads: true}) }
func TestOneByteChunks(t *testing.T)   { runPattern(t, pattern{send: sendByteChunks, reads: true}) }
func TestAnnouncedOver(t *testing.T)   { runPattern(t, pattern{send: sendAnnouncedOver, reads: true}) }
func TestUnannouncedOver(t *testing.T) { runPattern(t, pattern{send: sendOver, reads: true}) }
func TestChunkExtensions(t *testing.T) { runPattern(t, pattern{send: sendExtensions, reads: true}) }
func TestTrailers(t *testing.T)        { runPattern(t, pattern{send: sendTrailers, reads: true}) }
func TestEndlessHeads(t *testing.T)    { runPattern(t, pattern{send: sendHead, reads: true, many: true}) }

func TestUnfinishedHeads(t *testing.T) {
	runPattern(t, pattern{send: sendSlowHead, reads: true, many: true})
}
func TestUnreadResponses(t *testing.T) { runPattern(t, pattern{send: sendGet, many: true}) }
func TestPipelined(t *testing.T)       { runPattern(t, pattern{send: sendPipelined}) }
func TestSilent(t *testing.T) {
	runPattern(t, pattern{send: func(*client) {}, reads: true, many: true})
}

func TestSmallBodiesHeldShort(t *testing.T) {
	runPattern(t, pattern{send: sendSmallShort, reads: true, many: true})
}
