// Package packer encodes the table of replicas and suspect requests once for all instances that ask for the whole
// state, and merges it with the changes made since at the receiver. It is designed for tables of 1,000 to 23,000
// replicas, whose encoding takes 3 to 60 ms of a core.
package packer
