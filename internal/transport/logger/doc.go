// Package logger makes the structured log of a process: logr over slog's JSON lines.
package logger
