// Package versioner chooses the index version a query is pinned to and computes the coverage of its shards.
package versioner
