// Package refuter decides when the heartbeats of a replica show that it has not crashed, although a connection
// to it has ended under a request. It answers faults in which answers are lost while their replicas run on.
package refuter
