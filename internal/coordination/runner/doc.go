// Package runner decides the life of one non-idempotent request: claim, one dispatch at most, outcome.
package runner
