// Package applier applies committed journal entries to the replicated state, and encodes and restores
// snapshots of it.
package applier
