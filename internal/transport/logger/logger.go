package logger

import (
	"io"
	"log/slog"

	"github.com/go-logr/logr"
)

// New returns a logger that writes one JSON object per line to out. The level is info or debug.
func New(out io.Writer, level string) logr.Logger {
	minLevel := slog.LevelInfo
	if level == "debug" {
		minLevel = slog.LevelDebug
	}
	handler := slog.NewJSONHandler(out, &slog.HandlerOptions{
		Level: minLevel,
	})
	return logr.FromSlogHandler(handler)
}
