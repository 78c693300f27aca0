package gateway

import (
	"errors"
	"io"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/quetzalglade/quetzalglade/internal/bufferlimit"
)

func newTestLimit() *bufferlimit.Limit { return bufferlimit.New(maxBufferedBytes, freeBufferBytes) }

// endlessReader repeats a text and counts the bytes that were read.
type endlessReader struct {
	text string
	read int
}

func (r *endlessReader) Read(p []byte) (int, error) {
	n := copy(p, r.text)
	r.read += n
	return n, nil
}

// TestEndlessBytesAreNoEvent guards against a target whose stream never ends and holds no
// event: it fills the memory, or reaches the client as a stream of blank lines.
func TestEndlessBytesAreNoEvent(t *testing.T) {
	for _, text := range []string{"xxxxxxxx", "xxxxxxx\n", "\n", "\r\n"} {
		Convey("Endless bytes without an event end with an error", t, func() {
			endless := &endlessReader{text: text}
			_, err := newEventReader(endless, newTestLimit()).next()
			So(err, ShouldEqual, errEventTooLarge)
			So(endless.read, ShouldBeLessThan, 2*maxEventBytes)
		})
	}
}

// TestStreamKeepsItsBytes guards against a stream that loses bytes, or that ends as
// complete in the middle of an event.
func TestStreamKeepsItsBytes(t *testing.T) {
	readAll := func(text string) (string, error) {
		reader := newEventReader(strings.NewReader(text), newTestLimit())
		var out strings.Builder
		for {
			ev, err := reader.next()
			if err != nil {
				return out.String(), err
			}
			out.Write(ev.raw)
		}
	}
	Convey("Blank lines before, between and after events are kept", t, func() {
		for _, text := range []string{"", "id: 1\ndata: a\n\n", "\n\nid: 1\n\n\n\nid: 2\r\n\r\n\n", "\n"} {
			got, err := readAll(text)
			So(got, ShouldEqual, text)
			So(err, ShouldEqual, io.EOF)
		}
	})
	Convey("A stream that ends inside an event is incomplete", t, func() {
		for _, text := range []string{"id: 1", "id: 1\n", "id: 1\n\nid", "id: 1\n\ndata: x\n", "\nid: 1"} {
			_, err := readAll(text)
			So(err, ShouldEqual, io.ErrUnexpectedEOF)
		}
	})
}

// TestEndlessBodiesDoNotFillMemory guards against targets whose bodies never end, which
// together fill the memory of the process, and against the loss of short responses
// meanwhile.
func TestEndlessBodiesDoNotFillMemory(t *testing.T) {
	Convey("All buffered bodies together are limited, and short ones are read", t, func() {
		limit := newTestLimit()
		total := 0
		var bodies []*bufferlimit.Reader
		for range 64 {
			endless := &endlessReader{text: strings.Repeat("x", 32<<10)}
			body := limit.NewReader(endless)
			bodies = append(bodies, body)
			_, err := io.ReadAll(io.LimitReader(body, maxResponseBytes))
			So(err == nil || errors.Is(err, bufferlimit.ErrExceeded), ShouldBeTrue)
			total += endless.read
		}
		So(total, ShouldBeLessThan, maxBufferedBytes+65*(freeBufferBytes+(64<<10)))
		data, err := io.ReadAll(limit.NewReader(strings.NewReader("short")))
		So(err, ShouldBeNil)
		So(string(data), ShouldEqual, "short")
		for _, b := range bodies {
			b.Release()
		}
		So(limit.Used(), ShouldEqual, 0)
	})
}

// TestEndlessEventsDoNotFillMemory guards against targets whose events never end, which
// together fill the memory of the process, and against the loss of short events meanwhile.
func TestEndlessEventsDoNotFillMemory(t *testing.T) {
	Convey("The buffers of all events together are limited, and short ones are read", t, func() {
		limit := newTestLimit()
		total := 0
		var readers []*eventReader
		for range 64 {
			// The reader stops just below the limit of one event.
			r := newEventReader(io.LimitReader(&endlessReader{text: "xxxxxxxx"}, maxEventBytes-1), limit)
			readers = append(readers, r)
			_, err := r.next()
			So(errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, bufferlimit.ErrExceeded), ShouldBeTrue)
			total += r.buf.Cap()
		}
		So(total, ShouldBeLessThan, maxBufferedBytes+64*(2*freeBufferBytes)+2*maxEventBytes)
		ev, err := newEventReader(strings.NewReader("id: 1\ndata: x\n\n"), limit).next()
		So(err, ShouldBeNil)
		So(ev.id, ShouldEqual, "1")
		for _, r := range readers {
			r.release()
		}
		So(limit.Used(), ShouldEqual, 0)
	})
	Convey("A large event counts until the next one is read", t, func() {
		limit := newTestLimit()
		large := "data: " + strings.Repeat("x", 4*freeBufferBytes) + "\n\n"
		r := newEventReader(strings.NewReader(large+"data: y\n\n"), limit)
		ev, err := r.next()
		So(err, ShouldBeNil)
		So(string(ev.raw), ShouldEqual, large)
		So(limit.Used(), ShouldBeGreaterThan, 0)
		ev, err = r.next()
		So(err, ShouldBeNil)
		So(string(ev.raw), ShouldEqual, "data: y\n\n")
		So(limit.Used(), ShouldEqual, 0)
	})
}
