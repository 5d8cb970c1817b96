// Package runner is the state machine of one non-idempotent request: it claims the key, dispatches at most
// once and records the outcome.
package runner
