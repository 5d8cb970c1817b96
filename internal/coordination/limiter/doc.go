// Package limiter limits the requests of tenants, the retries and hedges added to requests, the connections of
// entry instances to upstreams, and the requests to replicas that accept only a certain rate.
package limiter
