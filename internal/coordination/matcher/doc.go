// Package matcher selects the route of a request by host and longest path prefix, and the service of a split route by weight.
package matcher
