package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of a log writer: the bytes that wait to be written, and the time
// between writes. A burst of a few thousand lines fits.
const (
	writerCapacity = 1 << 20
	writerPeriod   = 100 * time.Millisecond
)

// Writer passes log lines on to another writer without ever blocking the
// caller: lines that exceed its capacity are dropped and counted. Lines are
// written together, once per period.
type Writer struct {
	out     io.Writer
	mu      sync.Mutex
	pending []byte
	spare   []byte
	dropped atomic.Int64
	stop    chan struct{}
	done    chan struct{}
}

// NewWriter returns a writer to out that runs until Close.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending)+len(line) > writerCapacity {
		w.dropped.Add(1)
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes what is pending and ends the writer.
func (w *Writer) Close() error {
	close(w.stop)
	<-w.done
	return nil
}

func (w *Writer) run() {
	defer close(w.done)
	t := time.NewTicker(writerPeriod)
	defer t.Stop()
	var reported int64
	for {
		select {
		case <-t.C:
			reported = w.flush(reported)
		case <-w.stop:
			w.flush(reported)
			return
		}
	}
}

// flush writes the pending lines and, if lines were dropped since the last
// report, their number. It returns the number reported. Lines that the output
// does not take count as dropped; there is nowhere else to report the error.
func (w *Writer) flush(reported int64) int64 {
	w.mu.Lock()
	lines := w.pending
	w.pending = w.spare[:0]
	w.mu.Unlock()
	if len(lines) > 0 {
		n, err := w.out.Write(lines)
		if err != nil {
			w.dropped.Add(int64(bytes.Count(lines[n:], []byte{'\n'})))
		}
	}
	w.spare = lines
	dropped := w.dropped.Load()
	if dropped == reported {
		return reported
	}
	_, err := fmt.Fprintf(w.out, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"dropped\":%d}\n", dropped-reported)
	if err != nil {
		return reported
	}
	return dropped
}
