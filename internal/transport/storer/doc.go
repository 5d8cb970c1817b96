// Package storer persists a control instance's journal (the Raft log) in its data folder: an append-only file of checksummed frames, synced after each write, and one snapshot.
package storer
