// Package publisher decides which whole routing configuration is in force: the one of the highest version.
package publisher
