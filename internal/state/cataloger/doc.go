// Package cataloger holds the configuration that operators have confirmed, and decides on each confirm.
package cataloger
