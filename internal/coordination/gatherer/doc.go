// Package gatherer scatters a query to the shards of one version and gathers their replies into one answer. It is a deterministic state machine without I/O or a clock: a driver passes it events with the current time and carries out the actions that it returns.
package gatherer
