// Package gatherer scatters a query to the shards of one version and gathers their replies into one answer; it is a deterministic state machine that does no I/O and reads no clock.
package gatherer
