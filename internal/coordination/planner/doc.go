// Package planner says what an intent would do before anyone confirms it.
package planner
