// Package claimer stores the idempotency-key claims that let a non-idempotent request run at most once, and decides each new claim.
package claimer
