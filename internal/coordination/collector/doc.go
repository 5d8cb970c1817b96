// Package collector decides when a process that answers requests collects garbage. It answers small instances, on which a collection takes a processor share that a query over many shards needs: collections are moved into the time between requests.
package collector
