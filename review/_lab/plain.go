package main

import (
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// plainWorker is a stand-in of a plain worker. It runs some requests at once, keeps a few
// more waiting and turns others away as not run. It drops a request whose connection closes.
type plainWorker struct {
	id     string
	slots  chan struct{}
	places chan struct{}
	work   time.Duration
	out    sync.Mutex
}

// runPlainWorker is the main function of a process that is one plain worker. It writes what
// it does to its standard output.
func runPlainWorker(args []string) {
	f := flag.NewFlagSet("plain", flag.ExitOnError)
	addr := f.String("addr", "", "ip:port")
	id := f.String("id", "", "id of this incarnation")
	slots := f.Int("slots", 6, "requests run at once")
	queue := f.Int("queue", 4, "requests waiting")
	work := f.Duration("work", 100*time.Millisecond, "time of a request")
	_ = f.Parse(args)
	w := &plainWorker{id: *id, slots: make(chan struct{}, *slots), places: make(chan struct{}, *slots+*queue), work: *work}
	l, err := net.Listen("tcp", *addr)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	_ = http.Serve(l, http.HandlerFunc(w.serve))
}

func (w *plainWorker) note(what, id, detail string) {
	w.out.Lock()
	defer w.out.Unlock()
	fmt.Printf("%d %s %s %s %s\n", time.Now().UnixMicro(), w.id, what, id, detail)
}

func (w *plainWorker) serve(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	h := rw.Header()
	h.Set("X-Request-Id", id)
	h.Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", len(w.slots), max(len(w.places)-len(w.slots), 0), cap(w.slots)))
	if r.URL.Path == "/healthz" {
		h.Set("X-Instance-Id", w.id)
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		h.Set("X-Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.note("arrived", id, r.RequestURI)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		w.note("dropped", id, "reading")
		return
	}
	select {
	case w.places <- struct{}{}:
	default:
		w.note("rejected", id, "full")
		h.Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-w.places }()
	select {
	case w.slots <- struct{}{}:
	case <-r.Context().Done():
		w.note("dropped", id, "waiting")
		return
	}
	defer func() { <-w.slots }()
	w.note("runs", id, r.RequestURI)
	select {
	case <-time.After(w.work):
	case <-r.Context().Done():
		w.note("dropped", id, "running")
		return
	}
	h.Set("X-Response-Signature", "sig-"+w.id+"-"+id)
	_, _ = rw.Write([]byte("answer to " + id + strings.Repeat(".", 700)))
	w.note("ran", id, "200")
}
