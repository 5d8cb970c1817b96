// Package forwarder is an entry instance that forwards callers' requests to the replicas which control instances have enrolled: it follows control, asks replicas and answers callers.
package forwarder
