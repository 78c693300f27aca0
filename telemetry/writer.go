package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Buffer size and flush period of an AsyncWriter.
const (
	// writerCapacityBytes is the maximum total size of the pending lines. A burst of
	// a few thousand lines fits.
	writerCapacityBytes = 1 << 20
	// flushPeriod is the time between two writes to the output.
	flushPeriod = 100 * time.Millisecond
	// closeTimeout is how long Close waits for an output that accepts nothing.
	closeTimeout = 100 * time.Millisecond
)

// AsyncWriter buffers log lines and writes them to an output in the background, so
// that a slow output does not block the callers of Write. If the buffer is full,
// it drops lines and counts them. It is safe for concurrent use.
type AsyncWriter struct {
	out io.Writer
	mu  sync.Mutex
	// pending holds the lines that wait for the next flush. writeBuffer is the
	// buffer of the last flush, which the next one reuses.
	pending     []byte
	writeBuffer []byte
	dropped     atomic.Int64
	stop        chan struct{}
	done        chan struct{}
}

// NewAsyncWriter returns an AsyncWriter to out and starts its goroutine, which runs
// until Close.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. Each call must pass one complete line. It never
// returns an error.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending)+len(line) > writerCapacityBytes {
		w.dropped.Add(1)
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	return len(line), nil
}

// Dropped returns the number of lines dropped since the start.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

// Close writes the pending lines and stops the goroutine. It returns an error if the
// output has not accepted the lines within closeTimeout; the goroutine then ends once the
// output accepts them. Close must be called only once.
func (w *AsyncWriter) Close() error {
	close(w.stop)
	select {
	case <-w.done:
		return nil
	case <-time.After(closeTimeout):
		return errors.Newf("close log writer: output blocked for over %v", closeTimeout)
	}
}

// run flushes the pending lines once per flushPeriod until Close.
func (w *AsyncWriter) run() {
	defer close(w.done)
	ticker := time.NewTicker(flushPeriod)
	defer ticker.Stop()
	var reported int64
	for {
		select {
		case <-ticker.C:
			reported = w.flush(reported)
		case <-w.stop:
			w.flush(reported)
			return
		}
	}
}

// flush writes the pending lines. reported is the number of dropped lines that the
// output already mentions. If more lines were dropped, flush also writes a line
// with the difference, and returns the new reported number. Lines that the output
// fails to write count as dropped, since there is no other place to report that
// error.
func (w *AsyncWriter) flush(reported int64) int64 {
	w.mu.Lock()
	lines := w.pending
	w.pending = w.writeBuffer[:0]
	w.mu.Unlock()
	if len(lines) > 0 {
		n, err := w.out.Write(lines)
		if err != nil {
			w.dropped.Add(int64(bytes.Count(lines[n:], []byte{'\n'})))
		}
	}
	w.writeBuffer = lines
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
