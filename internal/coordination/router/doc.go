// Package router picks the replica for each sub-request by what this instance has in flight and has observed, never by what an upstream reports about itself.
package router
