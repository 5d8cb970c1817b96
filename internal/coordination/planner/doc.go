// Package planner computes the effects of an intent before an operator confirms it.
package planner
