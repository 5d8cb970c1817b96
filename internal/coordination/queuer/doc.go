// Package queuer is a deterministic state machine that queues sub-requests until a replica has a free slot.
package queuer
