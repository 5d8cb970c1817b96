// Package integration runs the real processes on loopback, connected through fault-injecting proxies, and compares the answers that callers receive with the requests that upstreams started.
package integration
