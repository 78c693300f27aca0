// Package telemetry provides the JSON log, the metrics and the ring buffer of
// recent decisions of a process.
package telemetry

import (
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// NewLogger returns a logger that writes each event as a line with a JSON object
// to w. Each line has the time, the process name and the VM name. It is safe for
// concurrent use.
func NewLogger(w io.Writer, process, vm string) log.Logger {
	logger := log.NewJSONLogger(log.NewSyncWriter(w))
	return log.With(logger, "ts", log.DefaultTimestampUTC, "process", process, "vm", vm)
}

// Info logs an event of normal operation. Write errors are ignored.
func Info(l log.Logger, msg string, keyvals ...any) {
	_ = level.Info(l).Log(append([]any{"msg", msg}, keyvals...)...)
}

// Warn logs an event that may need an operator's attention. Write errors are
// ignored.
func Warn(l log.Logger, msg string, keyvals ...any) {
	_ = level.Warn(l).Log(append([]any{"msg", msg}, keyvals...)...)
}
