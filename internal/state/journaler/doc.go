// Package journaler implements a Raft-like replicated log for the control instances: elections with pre-vote, leader leases, log replication, snapshots and membership changes.
//
// It is a deterministic state machine without clocks, files or sockets: the caller passes in the time and the received messages, and executes the actions that it returns.
package journaler
