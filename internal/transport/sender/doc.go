// Package sender sends sub-requests to upstreams, and never writes a non-idempotent request more than once.
package sender
