// Package integration starts the real processes on loopback, behind fault-injecting proxies, and compares what callers are told with what upstreams did.
package integration
