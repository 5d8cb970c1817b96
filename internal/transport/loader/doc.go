// Package loader is an open-loop load generator: it sends queries at Poisson arrival times, measures latency from the intended send time, and compares routing policies.
package loader
