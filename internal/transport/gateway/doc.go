// Package gateway runs an entry instance: it takes callers' requests and upstreams' announcements, drives the decisions, and sends what they say.
package gateway
