// Package forwarder implements an entry instance that forwards callers' requests to the replicas enrolled at control instances. It keeps the routing configuration and the replica table up to date, sends attempts to replicas directly or through peers, and answers callers.
package forwarder
