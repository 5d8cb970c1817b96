// Package reporter collects a process's metrics and serves them as text.
package reporter
