// Package quarantiner keeps the requests under which replicas have crashed, and decides which of them are quarantined: kept from all replicas because they would crash more.
//
// Replicas crash for many reasons, and a crash says nothing of the requests that ran beside its cause. A request is quarantined only once replicas have crashed under several of its attempts, each sent after the crash of the one before, and none of their services has answered it since.
package quarantiner
