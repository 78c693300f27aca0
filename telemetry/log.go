// Package telemetry provides the JSON log, the metrics and the bounded ring of
// recent decisions of a process.
package telemetry

import (
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// NewLogger returns a logger that writes one JSON object a line to w. The
// process and VM names are part of each line.
func NewLogger(w io.Writer, process, vm string) log.Logger {
	logger := log.NewJSONLogger(log.NewSyncWriter(w))
	return log.With(logger, "ts", log.DefaultTimestampUTC, "process", process, "vm", vm)
}

// Info logs an event of normal operation. Logging is best effort.
func Info(l log.Logger, msg string, keyvals ...any) {
	_ = level.Info(l).Log(append([]any{"msg", msg}, keyvals...)...)
}

// Warn logs an event that an operator may want to look at.
func Warn(l log.Logger, msg string, keyvals ...any) {
	_ = level.Warn(l).Log(append([]any{"msg", msg}, keyvals...)...)
}
