// Package enroller keeps the table of replicas: the incarnation, address and state of each. It tolerates
// announcements that are late, duplicated or out of order.
package enroller
