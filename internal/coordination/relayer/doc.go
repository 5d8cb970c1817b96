// Package relayer decides by which entry instance of another availability zone a query's attempts to that zone are carried. It answers queries over so many shards that single messages between zones cost more than the parts they bring, and peers that stop, freeze or are cut off.
package relayer
