// Package versioner chooses the one index version that a query is pinned to, and computes coverage.
package versioner
