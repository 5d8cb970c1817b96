// Package responder implements a stand-in upstream: it serves searches over shards of generated data and non-idempotent runs, injects configured faults, and records what it started.
package responder
