// Package applier applies committed journal entries to the catalog and the claims, and turns both into snapshots.
package applier
