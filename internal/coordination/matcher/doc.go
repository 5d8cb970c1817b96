// Package matcher decides which route a request takes: by host and longest path prefix, and within a split by weights.
package matcher
