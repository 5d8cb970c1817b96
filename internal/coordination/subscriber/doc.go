// Package subscriber chooses the control instance from which an entry instance receives updates (its
// primary), how often it polls the others, and which control instances are still members. With one primary,
// updates aren't sent to every entry instance by every control instance. The others are polled because a
// primary may be lost, partitioned, frozen or replaced. While none of them answers, it chooses the peer to ask
// instead.
package subscriber
