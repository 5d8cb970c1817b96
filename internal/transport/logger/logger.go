package logger

import (
	"io"
	"log/slog"

	"github.com/go-logr/logr"
)

// New returns a log that writes one JSON object a line; level is info or debug.
func New(out io.Writer, level string) logr.Logger {
	least := slog.LevelInfo
	if level == "debug" {
		least = slog.LevelDebug
	}
	handler := slog.NewJSONHandler(out, &slog.HandlerOptions{
		Level: least,
	})
	return logr.FromSlogHandler(handler)
}
