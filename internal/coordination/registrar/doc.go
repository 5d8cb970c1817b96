// Package registrar keeps the upstreams that have announced themselves: their leases, what they hold, and the manifests they bring.
package registrar
