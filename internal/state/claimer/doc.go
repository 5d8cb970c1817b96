// Package claimer holds the claims that let a non-idempotent request run at most once, and decides on each of them.
package claimer
