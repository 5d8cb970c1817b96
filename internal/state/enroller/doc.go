// Package enroller decides which incarnation of which replica is where and in which state, from announcements that come late, twice or out of order.
package enroller
