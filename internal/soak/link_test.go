package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// linkState is what a link does with the calls of its gateway.
type linkState struct {
	// refused closes connections, silent accepts calls and does not answer them.
	refused, silent bool
	// delay holds each answer back.
	delay time.Duration
	// heldWatches does not answer watches, mutedWatches answers them without events.
	heldWatches, mutedWatches bool
	// late closes the connections of writes and passes them on after this time.
	late time.Duration
}

// link is the way from one gateway to the store.
type link struct {
	server *httptest.Server
	store  string

	mu    sync.Mutex
	state linkState
	// changed is closed and replaced when the state changes.
	changed chan struct{}
}

// newLink returns a link to the store at the given address.
func newLink(t testing.TB, store string) *link {
	l := &link{store: store, changed: make(chan struct{})}
	l.server = httptest.NewServer(l)
	t.Cleanup(func() {
		l.set(linkState{refused: true})
		l.server.Close()
	})
	return l
}

func (l *link) addr() string { return l.server.Listener.Addr().String() }

// set replaces the state. The connections end if the new state refuses calls.
func (l *link) set(s linkState) {
	l.mu.Lock()
	l.state = s
	close(l.changed)
	l.changed = make(chan struct{})
	l.mu.Unlock()
	if s.refused {
		l.server.CloseClientConnections()
	}
}

func (l *link) current() (linkState, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state, l.changed
}

// ServeHTTP implements http.Handler.
func (l *link) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	state, _ := l.current()
	if state.late > 0 && r.Method == http.MethodPost {
		time.AfterFunc(state.late, func() {
			if resp, err := l.pass(context.Background(), r, body); err == nil {
				_ = resp.Body.Close()
			}
		})
		panic(http.ErrAbortHandler)
	}
	l.hold(r)
	resp, err := l.pass(r.Context(), r, body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = resp.Body.Close() }()
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	l.hold(r)
	state, changed := l.current()
	select {
	case <-time.After(state.delay):
	case <-changed:
	}
	if state.mutedWatches && isWatch(r) {
		resp.StatusCode, content = http.StatusOK, emptyWatch(r)
	}
	if era := resp.Header.Get("Store-Era"); era != "" {
		w.Header().Set("Store-Era", era)
	}
	w.Header().Set("Content-Type", resp.Header.Get("Content-Type"))
	w.WriteHeader(resp.StatusCode)
	_, _ = w.Write(content)
}

func isWatch(r *http.Request) bool { return strings.HasSuffix(r.URL.Path, "/kv-watch") }

// emptyWatch returns the answer to a watch that says that nothing has changed.
func emptyWatch(r *http.Request) []byte {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	data, _ := json.Marshal(object{"events": []object{}, "as_of": after})
	return data
}

// hold waits while the link does not pass the call on, and ends it if the link refuses it.
func (l *link) hold(r *http.Request) {
	for {
		state, changed := l.current()
		switch {
		case state.refused:
			panic(http.ErrAbortHandler)
		case state.silent || state.heldWatches && isWatch(r):
			select {
			case <-changed:
			case <-r.Context().Done():
				panic(http.ErrAbortHandler)
			}
		default:
			return
		}
	}
}

// pass sends a call to the store.
func (l *link) pass(ctx context.Context, r *http.Request, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+l.store+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", r.Header.Get("Content-Type"))
	return http.DefaultClient.Do(req)
}
