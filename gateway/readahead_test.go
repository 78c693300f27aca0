package gateway

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/quetzalglade/quetzalglade/internal/bufferlimit"
)

// slowClient is a client whose writes block while it doesn't read.
type slowClient struct {
	received strings.Builder
	// blocked receives a value when a write begins to block, which ends with read.
	blocked, read chan struct{}
}

func newSlowClient() *slowClient {
	return &slowClient{blocked: make(chan struct{}, 1), read: make(chan struct{})}
}

// write writes an event; it blocks if the client doesn't read.
func (c *slowClient) write(ev event, blocks bool) func() error {
	return func() error {
		if blocks {
			c.blocked <- struct{}{}
			<-c.read
		}
		c.received.Write(ev.raw)
		return nil
	}
}

// numberedEvents returns the events with the IDs in [from, to), each with the given text.
func numberedEvents(from, to int, text string) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", i, text)
	}
	return b.String()
}

// relay passes on all events to a client; blocks reports which events it doesn't read at
// once.
func relay(a *readAhead, c *slowClient, blocks func(id string) bool) error {
	return relayEach(a, func(ev event) error { return c.write(ev, blocks(ev.id))() })
}

// relayEach passes on all events to a function that writes one.
func relayEach(a *readAhead, write func(event) error) error {
	for {
		ev, err := a.next()
		if err != nil {
			return err
		}
		if err := a.write(func() error { return write(ev) }); err != nil {
			return err
		}
	}
}

func blocksAt(id string) func(string) bool { return func(got string) bool { return got == id } }

// Guards against a target that aborts a response because the client reads slowly, and
// against the loss of what was read when the target then ends or breaks.
func TestTargetIsReadWhileTheClientIsBlocked(t *testing.T) {
	for name, end := range map[string]error{"ends": io.EOF, "breaks": io.ErrUnexpectedEOF} {
		Convey("The whole stream is read during one write, then the target "+name, t, func() {
			limit := bufferlimit.New(1<<20, 0)
			target, body := io.Pipe()
			a := newReadAhead(newEventReader(target, newTestLimit()), limit, 1<<20)
			c := newSlowClient()
			relayed := make(chan error, 1)
			go func() { relayed <- relay(a, c, blocksAt("1")) }()
			// Each write to the pipe ends when it has been read.
			_, _ = io.WriteString(body, numberedEvents(0, 2, "x"))
			<-c.blocked
			_, _ = io.WriteString(body, numberedEvents(2, 50, "x"))
			_ = body.CloseWithError(end)
			close(c.read)
			So(<-relayed, ShouldEqual, end)
			a.stop()
			So(c.received.String(), ShouldEqual, numberedEvents(0, 50, "x"))
			So(limit.Used(), ShouldEqual, 0)
		})
	}
	Convey("A client that keeps up again is served without a queue", t, func() {
		limit := bufferlimit.New(1<<20, 0)
		target, body := io.Pipe()
		a := newReadAhead(newEventReader(target, newTestLimit()), limit, 1<<20)
		a.delay = time.Microsecond
		c := newSlowClient()
		relayed := make(chan error, 1)
		go func() {
			relayed <- relay(a, c, func(id string) bool { return strings.HasSuffix(id, "5") })
		}()
		go func() {
			for range c.blocked {
				c.read <- struct{}{}
			}
		}()
		for i := range 300 {
			_, _ = io.WriteString(body, numberedEvents(i, i+1, "x"))
		}
		_ = body.Close()
		So(<-relayed, ShouldEqual, io.EOF)
		close(c.blocked)
		a.stop()
		So(c.received.String(), ShouldEqual, numberedEvents(0, 300, "x"))
		So(limit.Used(), ShouldEqual, 0)
	})
}

// Guards against memory that grows with the number of slow readers or with their streams,
// and against a large event that never fits.
func TestReadAheadIsBounded(t *testing.T) {
	const streamLimit, processLimit, streams = 64 << 10, 256 << 10, 16
	Convey("All streams together stay within the limit, and each is complete", t, func() {
		limit := bufferlimit.New(processLimit, 0)
		text := strings.Repeat("x", 1000)
		var all []*readAhead
		var clients []*slowClient
		full, relayed := make(chan struct{}, streams), make(chan error, streams)
		for range streams {
			a := newReadAhead(newEventReader(strings.NewReader(numberedEvents(0, 300, text)), newTestLimit()), limit, streamLimit)
			a.full = func() { full <- struct{}{} }
			c := newSlowClient()
			all, clients = append(all, a), append(clients, c)
			go func() { relayed <- relay(a, c, blocksAt("3")) }()
		}
		for range streams {
			<-full
		}
		So(limit.Used(), ShouldBeLessThanOrEqualTo, processLimit)
		So(limit.Used(), ShouldBeGreaterThan, processLimit/2)
		for _, a := range all {
			a.mu.Lock()
			So(a.size, ShouldBeLessThanOrEqualTo, streamLimit)
			a.mu.Unlock()
		}
		for _, c := range clients {
			close(c.read)
		}
		for range streams {
			So(<-relayed, ShouldEqual, io.EOF)
		}
		for i, a := range all {
			a.stop()
			So(clients[i].received.String(), ShouldEqual, numberedEvents(0, 300, text))
		}
		So(limit.Used(), ShouldEqual, 0)
	})
	Convey("An event over the limit is passed on", t, func() {
		large := numberedEvents(0, 4, strings.Repeat("x", 2*streamLimit))
		a := newReadAhead(newEventReader(strings.NewReader(large), newTestLimit()), bufferlimit.New(processLimit, 0), streamLimit)
		full := make(chan struct{}, 1)
		a.full = func() { full <- struct{}{} }
		c := newSlowClient()
		relayed := make(chan error, 1)
		go func() { relayed <- relay(a, c, blocksAt("0")) }()
		<-full
		close(c.read)
		So(<-relayed, ShouldEqual, io.EOF)
		a.stop()
		So(c.received.String(), ShouldEqual, large)
	})
}

// Guards against memory beyond the limit of the process: the copy of an event lives until it
// has been written, not only while it is queued, and its ID is a copy of its own.
func TestReadAheadCountsTheEventBeingWritten(t *testing.T) {
	const processLimit, eventBytes, streams = 1 << 20, 100 << 10, 50
	Convey("Many streams that each write a large event hold no more than is counted", t, func() {
		limit := bufferlimit.New(processLimit, 0)
		text := numberedEvents(0, 2, strings.Repeat("x", eventBytes))
		var all []*readAhead
		var clients []*slowClient
		relayed := make(chan error, streams)
		var held int64
		for range streams {
			a := newReadAhead(newEventReader(strings.NewReader(text), newTestLimit()), limit, processLimit)
			a.delay, a.full = time.Microsecond, func() { a.changed.Broadcast() }
			c := newSlowClient()
			all, clients = append(all, a), append(clients, c)
			copied := make(chan int64, 1)
			go func() {
				relayed <- relayEach(a, func(ev event) error {
					if ev.id == "1" && !ev.readAt.IsZero() {
						copied <- int64(len(ev.raw))
					} else if ev.id == "1" {
						copied <- 0
					}
					return c.write(ev, true)()
				})
			}()
			<-c.blocked
			a.mu.Lock()
			for len(a.queue) == 0 && !a.wasFull {
				a.changed.Wait()
			}
			a.mu.Unlock()
			c.read <- struct{}{}
			<-c.blocked
			held += <-copied
			So(limit.Used(), ShouldBeGreaterThanOrEqualTo, held)
			So(held, ShouldBeLessThanOrEqualTo, processLimit)
		}
		So(held, ShouldBeGreaterThan, processLimit/2)
		for i, a := range all {
			clients[i].read <- struct{}{}
			So(<-relayed, ShouldEqual, io.EOF)
			a.stop()
			So(clients[i].received.String(), ShouldEqual, text)
		}
		So(limit.Used(), ShouldEqual, 0)
	})
	Convey("A long ID counts beside the bytes of its event", t, func() {
		limit := bufferlimit.New(processLimit, 0)
		// The reader takes no ID from a line that exceeds its buffer of 4 KiB.
		const idBytes = 2 << 10
		long := "id: " + strings.Repeat("9", idBytes) + "\ndata: x\n\n"
		a := newReadAhead(newEventReader(strings.NewReader(numberedEvents(0, 1, "x")+long), newTestLimit()), limit, processLimit)
		c := newSlowClient()
		relayed := make(chan error, 1)
		go func() { relayed <- relay(a, c, blocksAt("0")) }()
		<-c.blocked
		a.mu.Lock()
		for len(a.queue) == 0 {
			a.changed.Wait()
		}
		a.mu.Unlock()
		So(limit.Used(), ShouldBeGreaterThanOrEqualTo, len(long)+idBytes)
		close(c.read)
		So(<-relayed, ShouldEqual, io.EOF)
		a.stop()
		So(limit.Used(), ShouldEqual, 0)
	})
}

// Guards against a goroutine, and memory, that outlive a stream whose client has left.
func TestReadAheadStops(t *testing.T) {
	for _, size := range []int{10, 1 << 20} {
		Convey(fmt.Sprintf("While it reads, or waits for room: limit %d", size), t, func() {
			limit := bufferlimit.New(1<<20, 0)
			target, body := io.Pipe()
			a := newReadAhead(newEventReader(target, newTestLimit()), limit, int64(size))
			a.closeTarget = func() { _ = target.Close() }
			c := newSlowClient()
			began, failed := make(chan struct{}), make(chan error, 1)
			a.began = func() { close(began) }
			go func() {
				ev, _ := a.next()
				failed <- a.write(func() error {
					_ = c.write(ev, true)()
					return errClientWrite
				})
			}()
			_, _ = io.WriteString(body, numberedEvents(0, 1, "x"))
			<-began
			_, _ = io.WriteString(body, numberedEvents(1, 2, "x"))
			close(c.read)
			So(<-failed, ShouldEqual, errClientWrite)
			a.stop()
			So(a.isReading, ShouldBeFalse)
			So(limit.Used(), ShouldEqual, 0)
		})
	}
}

// BenchmarkEvent measures one event of a stream whose client keeps up, as it was read before
// and with the check for slow writes.
func BenchmarkEvent(b *testing.B) {
	text := numberedEvents(0, 1, strings.Repeat("x", 60))
	sink := func(event) error { return nil }
	b.Run("reader", func(b *testing.B) {
		b.ReportAllocs()
		r := newEventReader(&endlessReader{text: text}, newTestLimit())
		for b.Loop() {
			ev, err := r.next()
			if err != nil || sink(ev) != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("read ahead", func(b *testing.B) {
		b.ReportAllocs()
		a := newReadAhead(newEventReader(&endlessReader{text: text}, newTestLimit()), bufferlimit.New(1<<20, 0), 1<<20)
		defer a.stop()
		for b.Loop() {
			ev, err := a.next()
			if err != nil {
				b.Fatal(err)
			}
			if err := a.write(func() error { return sink(ev) }); err != nil {
				b.Fatal(err)
			}
		}
	})
}
