// Package sender sends sub-requests to upstreams, and writes each non-idempotent request at most once.
package sender
