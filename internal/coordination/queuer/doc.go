// Package queuer keeps the sub-requests that wait for a slot of an owned replica, as a deterministic machine.
package queuer
