// Package shedder decides which sub-requests are not sent because their service is congested, for example when one of two replicas is slow or unreachable. A query skips a few congested shards if its coverage allows that and is refused at once otherwise, so that the sub-requests that are sent are answered in time.
package shedder
