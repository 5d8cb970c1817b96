// Package recorder keeps what became of requests, bounded, until it is handed over, and tells which records are missing.
package recorder
