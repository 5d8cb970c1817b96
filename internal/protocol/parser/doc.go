// Package parser reads callers' requests and writes their answers, as JSON with kebab-case names.
package parser
