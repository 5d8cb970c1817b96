// Package sender sends sub-requests to upstreams or to the entry instances that own them, and never writes a non-idempotent request more than once.
package sender
