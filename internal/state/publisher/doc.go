// Package publisher holds the current routing configuration: the published one with the highest version.
package publisher
