// Package checker reads settings files, which are JSON with comments, and names every mistake in them.
package checker
