// Package balancer decides which replica of a service an attempt goes to, from what this instance has seen of each: latency, work in flight, failures and distance. It answers replicas that pause, run slowly, fail or lie about their health.
package balancer
