// Package checker reads and validates settings, intent and plan files, which are JSON with comments, and reports every mistake in them. It also checks the records of replicas, which other programs write.
package checker
