// Package queuer is a deterministic state machine that queues sub-requests until an owned replica has a free
// slot.
package queuer
