// Package relayer picks the entry instance that relays a query's attempts to another availability zone.
// Attempts to a zone are relayed in batches, since for queries over many shards, single messages between zones cost more than the partial results they return.
// The package skips peers that have stopped, hang or are unreachable.
package relayer
