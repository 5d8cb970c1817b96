// Package scatterer decides how one caller's request is answered from the replicas of one service or of many shards: whom to ask, when to ask another, when a partial answer serves better than waiting, and what is refused. It answers replicas that pause, fail, reject and fall silent.
package scatterer
