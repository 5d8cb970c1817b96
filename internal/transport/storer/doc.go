// Package storer keeps a control instance's journal in its data folder: framed records with checksums, durable once synced, and one snapshot.
package storer
