// Package gateway runs an entry instance: it accepts callers' requests and upstreams' announcements, runs the
// event loop around the gatherer's state machine, and performs the actions that the state machine returns.
package gateway
