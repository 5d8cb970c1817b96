// Package parser decodes and validates the requests of callers, and defines the responses to them; both are JSON with kebab-case names.
package parser
