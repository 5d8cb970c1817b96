// Package balancer picks the replica of a service for each attempt by what this instance has observed of each: latency, attempts in flight, failures and availability zone. It handles replicas that pause, run slowly, fail, misreport their health or state a rate limit.
package balancer
