// Package responder is a stand-in upstream: it holds shards of made-up data, answers searches and runs, and records what it started.
package responder
