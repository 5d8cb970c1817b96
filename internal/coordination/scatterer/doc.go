// Package scatterer decides how a caller's request is answered by the replicas of one service or of many shards: which replicas to try, when to retry or hedge, when to return a partial answer instead of waiting, and when to refuse. It handles replicas that pause, fail, reject requests, state rate limits or stop responding.
package scatterer
