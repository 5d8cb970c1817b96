// Package logger creates the structured logs of a process: logr loggers that write JSON lines through slog.
package logger
