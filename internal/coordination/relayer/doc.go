// Package relayer picks the entry instances that relay a query's attempts.
// Attempts to another availability zone are relayed in batches, since for queries over many shards, single messages between zones cost more than the partial results they return. A few instances of each zone relay for all others, so that their connections to replicas stay in use.
// The package skips peers that have stopped, hang or are unreachable.
package relayer
