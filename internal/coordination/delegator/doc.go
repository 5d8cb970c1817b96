// Package delegator decides which entry instances relay attempts for the others of a fleet, and when an instance leaves attempts in its own availability zone to them.
// It answers fleets so large that an instance's own connections to replicas are closed as idle between two of its queries: a few instances of each zone keep theirs in use for all.
package delegator
