// Package router chooses the replica that a sub-request goes to, by what this instance has in flight and has observed, never by what an upstream claims of itself.
package router
