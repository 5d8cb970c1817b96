// Package tracker is a deterministic state machine that tracks the membership of the entry instances.
package tracker
