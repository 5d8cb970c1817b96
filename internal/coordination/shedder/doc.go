// Package shedder decides which sub-requests are not worth sending because their service is congested. It answers services that get more work than they can do in time, as when one of two replicas is slow or unreachable: a query leaves a few congested shards out where its coverage allows that, and is refused at once where it does not, so that what is sent is answered in time.
package shedder
