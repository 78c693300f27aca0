package target

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/quetzalglade/quetzalglade/internal/httpclient"
)

// Load of the tests with endless responses, and the memory that they may take together:
// half of what a daemon has for control.
const (
	endlessCalls = 40
	endlessSoFar = 4 << 20
	// endlessBytes bounds what a server of a test sends if its client never stops reading.
	endlessBytes = 16 << 20
	maxLiveBytes = 128 << 20 / 2
)

// endlessServer serves bytes without end. Each response pauses after endlessSoFar bytes until
// resume is closed.
type endlessServer struct {
	*httptest.Server
	resume chan struct{}
	// paused receives a value from each response that pauses, or whose connection has
	// closed before.
	paused chan struct{}
}

func newEndlessServer(t *testing.T, start string) *endlessServer {
	t.Helper()
	s := &endlessServer{resume: make(chan struct{}), paused: make(chan struct{}, endlessCalls)}
	piece := bytes.Repeat([]byte("x"), 32<<10)
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		n, err := w.Write([]byte(start))
		paused := false
		for sent := n; err == nil && sent < endlessBytes; sent += n {
			if sent >= endlessSoFar && !paused {
				paused = true
				s.paused <- struct{}{}
				<-s.resume
			}
			n, err = w.Write(piece)
		}
		if !paused {
			s.paused <- struct{}{}
		}
	}))
	t.Cleanup(s.Close)
	return s
}

func liveBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// liveDuring returns the memory that concurrent calls take while their responses pause.
func (s *endlessServer) liveDuring(call func()) int64 {
	before := liveBytes()
	var wg sync.WaitGroup
	for range endlessCalls {
		wg.Go(call)
	}
	for range endlessCalls {
		<-s.paused
	}
	live := liveBytes()
	close(s.resume)
	wg.Wait()
	return live - before
}

// Guards against a service or an engine whose responses never end, which together fill the
// memory of the agent.
func TestEndlessRepliesDoNotFillMemory(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	convey.Convey("Replies of a plain service", t, func() {
		s := newEndlessServer(t, "")
		plain := NewPlain(s.URL, httpclient.New(httpclient.Options{}))
		live := s.liveDuring(func() {
			if _, err := plain.Do(ctx, PlainCall{Method: http.MethodGet, Path: "/"}); err == nil {
				t.Error("an endless reply is complete")
			}
		})
		convey.So(live, convey.ShouldBeLessThan, int64(maxLiveBytes))
		t.Logf("replies: %d KiB in use", live>>10)
	})
	convey.Convey("Lists of an engine's models", t, func() {
		s := newEndlessServer(t, `{"data":[{"id":"`)
		engine := NewEngine(s.URL, httpclient.New(httpclient.Options{}))
		live := s.liveDuring(func() {
			if _, err := engine.Models(ctx); err == nil {
				t.Error("an endless list is complete")
			}
		})
		convey.So(live, convey.ShouldBeLessThan, int64(maxLiveBytes))
		t.Logf("lists: %d KiB in use", live>>10)
	})
	convey.Convey("Events of an engine's stream", t, func() {
		s := newEndlessServer(t, "id: 0\ndata: ")
		engine := NewEngine(s.URL, httpclient.New(httpclient.Options{}))
		live := s.liveDuring(func() {
			if err := engine.Start(ctx, Completion{ID: "c"}, func(Chunk) error { return nil }); err == nil {
				t.Error("an endless event is complete")
			}
		})
		convey.So(live, convey.ShouldBeLessThan, int64(maxLiveBytes))
		t.Logf("events: %d KiB in use", live>>10)
	})
}
