// Package limiter limits the requests of tenants, the retries and hedges added to requests, and the
// connections of entry instances to upstreams.
package limiter
