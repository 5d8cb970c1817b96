// Package journaler decides how the control instances agree on one journal: terms, votes, entries, snapshots and membership, as a deterministic machine without clocks, files or sockets.
package journaler
