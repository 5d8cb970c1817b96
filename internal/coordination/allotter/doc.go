// Package allotter limits the requests of organisations over all entry instances.
// It answers the load of 80 to 300 entry instances, 3,678 at the scale target, of which each sees a small and uneven part of an organisation's requests, with 83 to 1,000 organisations whose rates differ by a factor of a thousand. In every availability zone one instance, the keeper, holds the zone's share of an organisation's tokens. Keepers lend tokens to those of other zones and never create them, so the sum stays within the allotment while zones are partitioned and keepers change.
package allotter
