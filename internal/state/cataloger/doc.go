// Package cataloger holds the configuration confirmed by operators and decides each confirm request.
package cataloger
