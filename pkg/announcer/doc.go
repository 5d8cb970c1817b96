// Package announcer registers an upstream at pimentogate's entry instances with a lease, and renews the lease.
package announcer
