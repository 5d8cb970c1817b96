// Package advertiser decides whether an entry instance advertises itself to callers. It handles network
// partitions of availability zones: an instance that has lost most control instances and fails most requests
// withdraws, so that callers reach instances in other zones.
package advertiser
