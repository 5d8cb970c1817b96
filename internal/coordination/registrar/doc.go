// Package registrar tracks the announced upstreams: their leases, the shards they hold and the manifests they announce.
// It derives the routing tables from them.
package registrar
